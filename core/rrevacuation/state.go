// Package rrevacuation holds which availability zones operators have taken out of use. It has no
// clock, socket or goroutine.
package rrevacuation

import (
	"maps"
	"slices"
	"strings"
)

// Change is a change of a zone: operators evacuated it or put it back in use.
type Change struct {
	Zone      string
	Evacuated bool
	Revision  int64 // of the store at the change, or of the list that showed it
}

// State holds the last known change of each zone. For one zone the higher revision wins, whatever
// the source, so the order in which sources arrive does not matter. The zero value knows nothing.
// It is not safe for concurrent use.
type State struct {
	last     map[string]Change
	base     int64 // revision of the newest list, own or a peer's; a zone without a change was in use then
	revision int64
}

// noChange is the revision of a state that knows that no zone was ever changed.
const noChange = 1

// Known reports whether a list or a peer has told which zones are evacuated.
func (s *State) Known() bool {
	return s.revision != 0
}

// Revision identifies what the state knows: it is the highest revision of a known change, 1 if the
// state knows of none, and 0 if nothing has told it. A state with a lower revision than another
// may lack a change that the other knows. Revisions of the store itself would not do: they rise
// with every write to the store, also where no zone changes.
func (s *State) Revision() int64 {
	return s.revision
}

// Evacuated reports whether a zone is known to be evacuated.
func (s *State) Evacuated(zone string) bool {
	return s.last[zone].Evacuated
}

// EvacuatedZones returns the evacuated zones.
func (s *State) EvacuatedZones() map[string]bool {
	out := make(map[string]bool)
	for zone, c := range s.last {
		if c.Evacuated {
			out[zone] = true
		}
	}
	return out
}

// Base returns the revision at which the zones that Changes lacks were in use; zero if that is not
// known.
func (s *State) Base() int64 {
	return s.base
}

// Changes returns the last known change of each zone, except of those in use at Base, sorted by zone.
func (s *State) Changes() []Change {
	return slices.SortedFunc(maps.Values(s.last), compareZones)
}

func compareZones(a, b Change) int {
	return strings.Compare(a.Zone, b.Zone)
}

// ApplyList applies a complete list of the store, with its revision before the first page: the
// evacuated zones with the revisions of their items, zero if unknown. These were evacuated at the
// list's revision, or at that of a later item, and the other zones were in use. It returns the
// changes that put a zone out of use or back into it, sorted by zone.
func (s *State) ApplyList(evacuated map[string]int64, revision int64) []Change {
	s.observe(noChange)
	if s.base == 0 && len(evacuated) > 0 {
		s.observe(revision) // zones may have come back into use that a peer still holds for evacuated
	}
	changes := make([]Change, 0, len(evacuated)+len(s.last))
	for zone, rev := range evacuated {
		changes = append(changes, Change{zone, true, max(rev, revision)})
	}
	for zone := range s.last {
		if _, listed := evacuated[zone]; !listed {
			changes = append(changes, Change{zone, false, revision})
		}
	}
	effective := s.ApplyChanges(changes)
	s.raiseBase(revision)
	return effective
}

// ApplyPage applies what a peer knows: its Changes, Base and Revision. It returns the same as
// ApplyList.
func (s *State) ApplyPage(changes []Change, base, revision int64) []Change {
	told := make(map[string]bool, len(changes))
	for _, c := range changes {
		told[c.Zone] = true
	}
	for zone := range s.last {
		if !told[zone] {
			changes = append(changes, Change{zone, false, base})
		}
	}
	effective := s.ApplyChanges(changes)
	s.raiseBase(base)
	s.observe(revision)
	return effective
}

// ApplyChanges applies single changes, as a watch shows them. It returns the same as ApplyList.
func (s *State) ApplyChanges(changes []Change) []Change {
	if s.last == nil {
		s.last = make(map[string]Change)
	}
	before := s.EvacuatedZones()
	touched := make(map[string]bool)
	for _, c := range changes {
		s.apply(c)
		touched[c.Zone] = true
	}
	var out []Change
	for zone := range touched {
		if c := s.last[zone]; c.Evacuated != before[zone] {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compareZones)
	return out
}

// apply applies one change. At equal revisions, which a sound store does not give, the evacuation
// wins.
func (s *State) apply(c Change) {
	old, known := s.last[c.Zone]
	if !known {
		old = Change{c.Zone, false, s.base}
	}
	switch {
	case old.Revision > c.Revision || old.Revision == c.Revision && old.Evacuated:
		if old.Evacuated != c.Evacuated {
			s.observe(old.Revision) // the source lacks a change that only a list has shown here
		}
		return
	case c.Evacuated != old.Evacuated:
		s.observe(c.Revision)
	}
	neverOlder.Assert(c.Revision >= old.Revision)
	s.last[c.Zone] = c
}

// raiseBase records that the zones without a change were in use at a revision, and drops the changes
// that say no more. The state is then as small as the list, whatever names operators have used.
func (s *State) raiseBase(revision int64) {
	s.base = max(s.base, revision)
	maps.DeleteFunc(s.last, func(_ string, c Change) bool { return !c.Evacuated && c.Revision <= s.base })
}

func (s *State) observe(revision int64) {
	s.revision = max(s.revision, revision)
}
