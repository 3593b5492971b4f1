package rrnode

import (
	"slices"
	"time"

	"rattanring/core/rrconf"
)

func (s *sim) entryOf(f fault) *entry   { return s.entries[f.Target%len(s.entries)] }
func (s *sim) minionOf(f fault) *minion { return s.minions[f.Target%len(s.minions)] }
func (s *sim) zonesOf(f fault) (a, b string) {
	a = s.entryOf(f).Zone
	return a, s.entries[(f.Target/10)%len(s.entries)].Zone
}

func killEntry(s *sim, f fault) {
	e := s.entryOf(f)
	if !e.alive {
		return
	}
	e.kill()
	s.schedule(ms(f.Duration), func() {
		if !e.alive {
			e.boot()
		}
	})
}

func freezeEntry(s *sim, f fault) {
	e := s.entryOf(f)
	e.frozen = e.alive
	s.schedule(ms(f.Duration), e.resume)
}

// drainEntry drains an entry, stops it and then starts it again.
func drainEntry(s *sim, f fault) {
	e := s.entryOf(f)
	if !e.alive || e.frozen || e.draining {
		return
	}
	e.draining = true
	incarnation := e.incarnation
	e.step(&Drain{})
	var wait func()
	wait = func() {
		if !e.alive || e.incarnation != incarnation {
			return
		}
		if e.frozen || !e.node.Drained(s.now) {
			s.schedule(tickInterval, wait)
			return
		}
		e.kill()
		s.schedule(time.Second, e.boot)
	}
	s.schedule(time.Second, wait)
}

func killMinion(s *sim, f fault) {
	m := s.minionOf(f)
	m.kill()
	s.schedule(ms(f.Duration), func() { m.dead = false })
}

// drainMinion lists a minion as draining. Some drained minions also refuse tasks.
func drainMinion(s *sim, f fault) {
	m := s.minionOf(f)
	if m.Draining {
		return
	}
	m.Draining = true
	m.drainListedAt = s.now
	m.refuses = f.Target%2 == 0
	s.schedule(ms(f.Duration), func() {
		m.Draining = false
		m.drainListedAt = time.Time{}
		m.refuses = false
	})
}

func breakMinion(s *sim, f fault) {
	m := s.minionOf(f)
	m.failsTasks = true
	s.schedule(ms(f.Duration), func() { m.failsTasks = false })
}

func cutZones(s *sim, f fault) {
	a, b := s.zonesOf(f)
	s.cuts[link{a, b}], s.cuts[link{b, a}] = true, true
	s.schedule(ms(f.Duration), func() { delete(s.cuts, link{a, b}); delete(s.cuts, link{b, a}) })
}

func cutOneWay(s *sim, f fault) {
	a, b := s.zonesOf(f)
	s.cuts[link{a, b}] = true
	s.schedule(ms(f.Duration), func() { delete(s.cuts, link{a, b}) })
}

func cutPlatform(s *sim, f fault) {
	z := s.entryOf(f).Zone
	s.platformUnreachable[z] = true
	s.schedule(ms(f.Duration), func() { delete(s.platformUnreachable, z) })
}

func unlistMinion(s *sim, f fault) {
	m := s.minionOf(f)
	m.listed = false
	s.schedule(ms(f.Duration), func() { m.listed = true })
}

// changeConfig sends a new configuration to one entry, and later to another one, which may
// have a newer version by then.
func changeConfig(s *sim, f fault) {
	s.version++
	cfg := rrconf.Config{Version: s.version, Preset: rrconf.Presets[f.Target%3], AllowUnlisted: true}
	s.sendConfig(s.entryOf(f), cfg)
	s.schedule(ms(f.Duration), func() { s.sendConfig(s.entries[(f.Target/10)%len(s.entries)], cfg) })
}

// evacuateZone evacuates the zone of an entry, sometimes all zones, with a new configuration
// at that entry. Another entry gets the configuration that ends the evacuation.
func evacuateZone(s *sim, f fault) {
	zones := []string{s.entryOf(f).Zone}
	if f.Target%4 == 0 {
		zones = nil
		for i := range s.entries {
			if z := s.entries[i].Zone; !slices.Contains(zones, z) {
				zones = append(zones, z)
			}
		}
	}
	s.version++
	s.sendConfig(s.entryOf(f), rrconf.Config{Version: s.version, Preset: rrconf.Ordinary, AllowUnlisted: true, Evacuated: zones})
	s.schedule(ms(f.Duration), func() {
		s.version++
		s.sendConfig(s.entries[(f.Target/10)%len(s.entries)], rrconf.Config{Version: s.version, Preset: rrconf.Ordinary, AllowUnlisted: true})
	})
}

func (s *sim) sendConfig(e *entry, cfg rrconf.Config) {
	e.run(e.incarnation, func() { e.step(&PeerConfig{Config: cfg}) })
}

// heal ends all faults.
func (s *sim) heal() {
	s.faultProbability = 0
	clear(s.cuts)
	clear(s.platformUnreachable)
	for _, e := range s.entries {
		if !e.alive {
			e.boot()
		}
		e.resume()
	}
	for _, m := range s.minions {
		m.dead, m.failsTasks, m.refuses, m.listed = false, false, false, true
		m.Draining = false
		m.drainListedAt = time.Time{}
	}
	s.healedAt = s.now
}

// configTimeout is the longest time until a new configuration is active at all entries.
const configTimeout = 14 * time.Second
