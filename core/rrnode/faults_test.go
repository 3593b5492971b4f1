package rrnode

import (
	"time"

	"rattanring/core/rrconf"
)

func (s *sim) anEntry(f fault) *entry  { return s.entries[f.On%len(s.entries)] }
func (s *sim) aMinion(f fault) *minion { return s.minions[f.On%len(s.minions)] }
func (s *sim) aLink(f fault) (a, b string) {
	a = s.anEntry(f).Zone
	return a, s.entries[(f.On/10)%len(s.entries)].Zone
}

func killEntry(s *sim, f fault) {
	e := s.anEntry(f)
	if !e.alive {
		return
	}
	e.kill()
	s.after(ms(f.For), func() {
		if !e.alive {
			e.boot()
		}
	})
}

func freezeEntry(s *sim, f fault) {
	e := s.anEntry(f)
	e.frozen = e.alive
	s.after(ms(f.For), e.thaw)
}

// leaveEntry stops an entry gracefully and then starts it again.
func leaveEntry(s *sim, f fault) {
	e := s.anEntry(f)
	if !e.alive || e.frozen || e.leaving {
		return
	}
	e.leaving = true
	life := e.life
	e.step(&Drain{})
	var wait func()
	wait = func() {
		if !e.alive || e.life != life {
			return
		}
		if e.frozen || !e.node.Drained(s.now) {
			s.after(tickTime, wait)
			return
		}
		e.kill()
		s.after(time.Second, e.boot)
	}
	s.after(time.Second, wait)
}

func killMinion(s *sim, f fault) {
	m := s.aMinion(f)
	m.kill()
	s.after(ms(f.For), func() { m.dead = false })
}

// leaveMinion drains a minion: the list says so, and it refuses.
func leaveMinion(s *sim, f fault) {
	m := s.aMinion(f)
	if m.Draining {
		return
	}
	m.Draining = true
	m.leftAt = s.now
	m.leaving = f.On%2 == 0
	s.after(ms(f.For), func() {
		m.Draining = false
		m.leftAt = time.Time{}
		m.leaving = false
	})
}

func breakMinion(s *sim, f fault) {
	m := s.aMinion(f)
	m.broken = true
	s.after(ms(f.For), func() { m.broken = false })
}

func cutZones(s *sim, f fault) {
	a, b := s.aLink(f)
	s.cuts[link{a, b}], s.cuts[link{b, a}] = true, true
	s.after(ms(f.For), func() { delete(s.cuts, link{a, b}); delete(s.cuts, link{b, a}) })
}

func cutOneWay(s *sim, f fault) {
	a, b := s.aLink(f)
	s.cuts[link{a, b}] = true
	s.after(ms(f.For), func() { delete(s.cuts, link{a, b}) })
}

func cutPlatform(s *sim, f fault) {
	z := s.anEntry(f).Zone
	s.away[z] = true
	s.after(ms(f.For), func() { delete(s.away, z) })
}

func hideMinion(s *sim, f fault) {
	m := s.aMinion(f)
	m.listed = false
	s.after(ms(f.For), func() { m.listed = true })
}

// configure shows one entry a new version, and another one an old one.
func configure(s *sim, f fault) {
	s.version++
	cfg := rrconf.Config{Version: s.version, Preset: rrconf.Presets[f.On%3], AllowUnlisted: true}
	s.show(s.anEntry(f), cfg)
	s.after(ms(f.For), func() { s.show(s.entries[(f.On/10)%len(s.entries)], cfg) })
}

func (s *sim) show(e *entry, cfg rrconf.Config) {
	e.do(e.life, func() { e.step(&PeerConfig{Config: cfg}) })
}

// heal ends all faults.
func (s *sim) heal() {
	s.noise = 0
	clear(s.cuts)
	clear(s.away)
	for _, e := range s.entries {
		if !e.alive {
			e.boot()
		}
		e.thaw()
	}
	for _, m := range s.minions {
		m.dead, m.broken, m.leaving, m.listed = false, false, false, true
		m.Draining = false
		m.leftAt = time.Time{}
	}
	s.settled = s.now
}

// reachTime is the limit for a configuration to be in force everywhere.
const reachTime = 14 * time.Second
