package rrmembership

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrrendezvous"
	"rattanring/core/rrtask"
)

// SetMinions takes the minions that the instance list names.
func (v *View) SetMinions(ms []rrtask.Minion) {
	sorted := slices.Clone(ms)
	slices.SortFunc(sorted, func(a, b rrtask.Minion) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(sorted, v.minions) {
		return
	}
	v.minions = sorted
	v.changed = true
}

// Minions returns all known minions by name.
func (v *View) Minions() []rrtask.Minion {
	return v.minions
}

// Owners returns the keeper of each minion in the order of Minions. A minion is
// kept by a live entry of its zone, or by any live entry when its zone has none.
// Every entry with the same view works out the same keepers.
func (v *View) Owners(now time.Time) []string {
	zones := v.candidates(now)
	loads := make(map[pool]*shares)
	keepers := make([]string, len(v.minions))
	for _, i := range byHash(v.minions) {
		m := &v.minions[i]
		zone := m.Zone
		if len(zones[zone]) == 0 {
			zone = ""
		}
		key := pool{zone: zone, service: m.Service, home: m.Zone}
		s, ok := loads[key]
		if !ok {
			s = newShares(zones[zone], v.count(m.Zone, m.Service))
			loads[key] = s
		}
		keepers[i] = s.take(m.Name)
	}
	return keepers
}

// pool is a group of minions that are shared evenly among its keepers.
type pool struct {
	zone    string // whose entries keep the group; empty for all
	service string
	home    string // the minions' zone
}

// candidates returns the names of the entries that keep minions, per zone and,
// under the empty name, of all zones.
func (v *View) candidates(now time.Time) map[string][]string {
	zones := make(map[string][]string)
	add := func(m *Member) {
		zones[m.Zone] = append(zones[m.Zone], m.Name)
		zones[""] = append(zones[""], m.Name)
	}
	if !v.self.Draining {
		add(&v.self)
	}
	for _, name := range v.names {
		if p := v.peers[name]; v.Live(now, p) {
			add(&p.Member)
		}
	}
	return zones
}

func (v *View) count(zone, service string) int {
	n := 0
	for i := range v.minions {
		if v.minions[i].Zone == zone && v.minions[i].Service == service {
			n++
		}
	}
	return n
}

// byHash returns the positions of ms in an order that all entries share and that
// does not favour any name.
func byHash(ms []rrtask.Minion) []int {
	type ranked struct {
		at   int
		hash uint64
	}
	order := make([]ranked, len(ms))
	for i := range ms {
		order[i] = ranked{i, rrrendezvous.Weight(ms[i].Name, "")}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	at := make([]int, len(ms))
	for i, r := range order {
		at[i] = r.at
	}
	return at
}

// shares hands out minions by rendezvous hashing, with at most an even share,
// rounded up, for each keeper.
type shares struct {
	names []string
	taken []int
	limit int
}

func newShares(names []string, minions int) *shares {
	s := &shares{names: names, taken: make([]int, len(names))}
	if len(names) > 0 {
		s.limit = (minions + len(names) - 1) / len(names)
	}
	return s
}

// take returns the keeper of the minion, or the empty name when nobody lives.
func (s *shares) take(minion string) string {
	best := -1
	var top uint64
	for i, name := range s.names {
		if s.taken[i] >= s.limit {
			continue
		}
		if h := rrrendezvous.Weight(minion, name); best < 0 || h > top {
			best, top = i, h
		}
	}
	if best < 0 {
		return ""
	}
	s.taken[best]++
	return s.names[best]
}
