package rrevacuation

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

var zones = []string{"a", "b", "c"}

// history is what a store went through: the changes of each revision.
type history []Change

// at returns the evacuated zones at a revision, with the revisions of their items.
func (h history) at(revision int64) map[string]int64 {
	out := make(map[string]int64)
	for _, c := range h {
		switch {
		case c.Revision > revision:
		case c.Evacuated:
			out[c.Zone] = c.Revision
		default:
			delete(out, c.Zone)
		}
	}
	return out
}

func drawHistory(t *rapid.T) history {
	var h history
	for i := range rapid.IntRange(0, 12).Draw(t, "changes") {
		zone := rapid.SampledFrom(append(zones, "unknown")).Draw(t, "zone")
		_, set := h.at(int64(1000))[zone]
		h = append(h, Change{zone, !set || rapid.Bool().Draw(t, "set again"), int64(10 + 10*i)})
	}
	return h
}

// The same changes in any order and from any source (watch, lists of any age, peers) must leave the
// state of the newest source: a source that arrives late must undo nothing.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		end := int64(20 + 10*len(h))
		var peer, s State
		peer.ApplyList(h.at(end/2), end/2)
		sources := []func(){
			func() { s.ApplyList(h.at(end), end) },
			func() { s.ApplyList(h.at(end/2), end/2) },
			func() { s.ApplyPage(peer.Changes(), peer.Base(), peer.Revision()) },
		}
		for _, c := range h {
			sources = append(sources, func() { s.ApplyChanges([]Change{c}) })
		}
		for _, apply := range rapid.Permutation(append(sources, sources...)).Draw(t, "order") {
			apply()
		}
		want := make(map[string]bool)
		for zone := range h.at(end) {
			want[zone] = true
		}
		if got := s.EvacuatedZones(); !maps.Equal(got, want) {
			t.Errorf("evacuated: got %v, want %v", got, want)
		}
	})
}

// Peers that have read a list and watched from there for a while, and then exchange their states as
// their revisions ask for, must end with the same knowledge, and
// then stop fetching; otherwise every heartbeat would fetch the fleet's state.
func TestPeersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		states := make([]State, 3)
		for i := range states {
			at := rapid.Int64Range(1, int64(20+10*len(h))).Draw(t, fmt.Sprint("list of ", i))
			end := rapid.Int64Range(at, int64(20+10*len(h))).Draw(t, "watch ends")
			states[i].ApplyList(h.at(at), at)
			for _, c := range h {
				if c.Revision > at && c.Revision <= end {
					states[i].ApplyChanges([]Change{c})
				}
			}
		}
		for range 3 * len(states) {
			for i := range states {
				for k := range states {
					if states[k].Revision() > states[i].Revision() {
						states[i].ApplyPage(states[k].Changes(), states[k].Base(), states[k].Revision())
					}
				}
			}
		}
		for i := range states {
			if got, want := states[i].Revision(), states[0].Revision(); got != want {
				t.Errorf("state %d: got revision %d, want %d", i, got, want)
			}
			if got, want := states[i].EvacuatedZones(), states[0].EvacuatedZones(); !maps.Equal(got, want) {
				t.Errorf("state %d: got %v, want %v", i, got, want)
			}
		}
	})
}

func TestState(t *testing.T) {
	var s State
	if s.Known() || s.Revision() != 0 {
		t.Errorf("zero value: got revision %d, want a state that knows nothing", s.Revision())
	}
	if got := s.ApplyList(nil, 40); len(got) != 0 || s.Revision() != noChange {
		t.Errorf("empty list: got changes %v and revision %d, want none and %d", got, s.Revision(), noChange)
	}
	for _, tt := range []struct {
		name string
		c    Change
		want bool
	}{
		{"older than the list", Change{"a", true, 30}, false},
		{"set", Change{"a", true, 50}, true},
		{"older removal", Change{"a", false, 45}, true},
		{"removed", Change{"a", false, 60}, false},
		{"set again", Change{"a", true, 70}, true},
		{"zone that is not in the settings", Change{"z", true, 80}, true},
	} {
		before := s.Evacuated(tt.c.Zone)
		changed := s.ApplyChanges([]Change{tt.c})
		if got := s.Evacuated(tt.c.Zone); got != tt.want || (len(changed) == 1) != (before != tt.want) {
			t.Errorf("%s: got %v with changes %v, want %v", tt.name, got, changed, tt.want)
		}
	}
	if got := s.ApplyList(map[string]int64{"b": 0}, 90); len(got) != 3 || !s.Evacuated("b") || s.Evacuated("a") || s.Evacuated("z") {
		t.Errorf("list that names b alone, without a revision: got changes %v, want a and z back in use and b evacuated", got)
	}
	if got := s.Changes(); len(got) != 1 {
		t.Errorf("kept: got %v, want only the evacuated zone", got)
	}
}
