package rrmembership

import (
	"cmp"
	"slices"
	"time"

	"rattanring/core/rrrendezvous"
	"rattanring/core/rrtask"
)

// SetMinions sets the minions that the instance list names.
func (v *View) SetMinions(ms []rrtask.Minion) {
	sorted := slices.Clone(ms)
	slices.SortFunc(sorted, func(a, b rrtask.Minion) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(sorted, v.minions) {
		return
	}
	v.minions = sorted
	v.changed = true
}

// Minions returns all known minions, ordered by name.
func (v *View) Minions() []rrtask.Minion {
	return v.minions
}

// Owners returns the owner of each minion in the order of Minions. A minion is owned by a
// live entry of its zone, or by any live entry if its zone has none. Entries with equal
// views compute equal owners.
func (v *View) Owners(now time.Time) []string {
	candidates := v.candidates(now)
	groups := make(map[minionGroup]*evenShares)
	owners := make([]string, len(v.minions))
	for _, i := range byHash(v.minions) {
		m := &v.minions[i]
		zone := m.Zone
		if len(candidates[zone]) == 0 {
			zone = ""
		}
		key := minionGroup{ownerZone: zone, service: m.Service, minionZone: m.Zone}
		shares, ok := groups[key]
		if !ok {
			shares = newEvenShares(candidates[zone], v.countMinions(m.Zone, m.Service))
			groups[key] = shares
		}
		owners[i] = shares.assign(m.Name)
	}
	return owners
}

// minionGroup identifies minions that are divided evenly among the same owners.
type minionGroup struct {
	ownerZone  string // zone whose entries own the group; empty for all zones
	service    string
	minionZone string // zone of the minions
}

// candidates returns the names of the entries that may own minions, per zone and, under
// the empty name, of all zones.
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

func (v *View) countMinions(zone, service string) int {
	n := 0
	for i := range v.minions {
		if v.minions[i].Zone == zone && v.minions[i].Service == service {
			n++
		}
	}
	return n
}

// byHash returns the indexes of ms in an order that all entries share and that does not
// favor any name.
func byHash(ms []rrtask.Minion) []int {
	type hashedIndex struct {
		index int
		hash  uint64
	}
	order := make([]hashedIndex, len(ms))
	for i := range ms {
		order[i] = hashedIndex{i, rrrendezvous.Weight(ms[i].Name, "")}
	}
	slices.SortFunc(order, func(a, b hashedIndex) int { return cmp.Compare(a.hash, b.hash) })
	indexes := make([]int, len(ms))
	for i, r := range order {
		indexes[i] = r.index
	}
	return indexes
}

// evenShares assigns minions to owners by rendezvous hashing. Each owner gets at most an
// even share, rounded up.
type evenShares struct {
	owners []string
	counts []int
	limit  int
}

func newEvenShares(owners []string, minions int) *evenShares {
	s := &evenShares{owners: owners, counts: make([]int, len(owners))}
	if len(owners) > 0 {
		s.limit = (minions + len(owners) - 1) / len(owners)
	}
	return s
}

// assign returns the owner of the minion, or the empty string if there is no live entry.
func (s *evenShares) assign(minion string) string {
	best := -1
	var bestWeight uint64
	for i, name := range s.owners {
		if s.counts[i] >= s.limit {
			continue
		}
		if weight := rrrendezvous.Weight(minion, name); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	if best < 0 {
		return ""
	}
	s.counts[best]++
	return s.owners[best]
}
