package rrnode

import (
	"testing"

	"rattanring/core/rrcheck"

	"pgregory.net/rapid"
)

// redChecks bounds the scenarios in which a deliberate fault has to show.
const redChecks = 60

// TestRed checks that each deliberate fault breaks the promise that it aims at.
func TestRed(t *testing.T) {
	tests := []struct {
		name   string
		mutate mutation
		want   promise
		seed   int // of the first scenario to try
	}{
		{"transport sends again", transportResend, startsOnce, 5},
		{"lost answer as refusal", lostAsRefused, startsOnce, 6},
		{"keeper forgets batches", keeperForgets, startsOnce, 41},
		{"broken call as not sent", ambiguousAsSent, startsOnce, 70},
		{"answer cut short", answerCut, wholeAnswer, 0},
		{"answer to another caller", answerSwapped, ownAnswer, 0},
		{"answer twice", answerTwice, ownAnswer, 0},
		{"failure as refusal", refusalLie, trueRefusal, 0},
		{"too many slots listed", slotsLie, withinSlots, 0},
		{"leaving is not listed", listStale, leavingIdle, 11},
		{"time stands still", tickLost, answeredInDue, 0},
		{"version is forgotten", configReverts, neverReverts, 34},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := test.seed; seed < test.seed+redChecks; seed++ {
				_, v := rapid.Custom(drawScenario).Example(seed).check(test.mutate)
				if v != nil && v.promise == test.want {
					t.Logf("seed %d: %s", seed, v.text)
					return
				}
				if v != nil {
					t.Logf("seed %d: first broken: %s: %s", seed, v.promise, v.text)
				}
			}
			t.Errorf("got no broken promise in %d scenarios, want %q", redChecks, test.want)
		})
	}
}

// TestRedInside checks that a broken invariant inside the program ends a run.
func TestRedInside(t *testing.T) {
	s := newSim(1, 0)
	rrcheck.SetHook(func(i *rrcheck.Invariant) { s.fail(insideChecks, "%s", i.Name()) })
	defer rrcheck.SetHook(nil)
	defer func() {
		if v, ok := recover().(violation); !ok || v.promise != insideChecks {
			t.Errorf("got %v, want a broken promise", v)
		}
	}()
	rrcheck.New("a test").Assert(false)
}
