package rrnode

import (
	"testing"

	"rattanring/core/rrinvariant"
)

// redSeeds bounds the seeds with which a deliberate fault has to show.
const redSeeds = 10

// busy returns a scenario with many jobs.
func busy(noise, slots int, fs ...fault) scenario {
	sc := scenario{Noise: noise, Zones: 2, Entries: 4, Slots: slots, Minions: 6, Faults: fs}
	for i := range 30 {
		sc.Loads = append(sc.Loads, load{At: 2000 + 500*i, On: i, Tasks: 40, Run: 100, Patience: 10000})
	}
	return sc
}

// TestRed checks that each deliberate fault breaks the promise that it aims at.
func TestRed(t *testing.T) {
	noisy := busy(80, 4)
	quiet := busy(0, 1)
	leaving := busy(0, 4, fault{At: 5000, Kind: minionLeave, On: 1, For: 12000})
	captures := busy(40, 4)
	for i := range captures.Loads {
		captures.Loads[i].Once = true
		captures.Loads[i].Again = 30
	}
	configs := busy(0, 4, fault{At: 3000, Kind: newConfig, For: 5000}, fault{At: 5000, Kind: newConfig, For: 100})
	tests := []struct {
		name string
		scenario
		mutate mutation
		want   promise
	}{
		{"transport sends again", noisy, transportResend, startsOnce},
		{"lost answer as refusal", noisy, lostAsRefused, startsOnce},
		{"keeper forgets batches", noisy, keeperForgets, startsOnce},
		{"broken call as not sent", noisy, ambiguousAsSent, startsOnce},
		{"answer cut short", quiet, answerCut, wholeAnswer},
		{"answer to another caller", quiet, answerSwapped, ownAnswer},
		{"answer twice", quiet, answerTwice, ownAnswer},
		{"failure as refusal", noisy, refusalLie, trueRefusal},
		{"too many slots listed", quiet, slotsLie, withinSlots},
		{"leaving is not listed", leaving, listStale, leavingIdle},
		{"time stands still", quiet, tickLost, answeredInDue},
		{"store does not compare", captures, storeUnchecked, startsOnce},
		{"version is forgotten", configs, configReverts, neverReverts},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, v := test.check(noMutation); v != nil {
				t.Fatalf("broken without the fault: %s: %s", v.promise, v.text)
			}
			test.expect(t, test.mutate, test.want)
		})
	}
}

// expect checks that a deliberate fault breaks the promise want with some seed.
func (sc scenario) expect(t *testing.T, m mutation, want promise) {
	t.Helper()
	for sc.Seed = 0; sc.Seed < redSeeds; sc.Seed++ {
		_, v := sc.check(m)
		if v != nil && v.promise == want {
			t.Logf("seed %d: %s", sc.Seed, v.text)
			return
		}
		t.Logf("seed %d: %+v", sc.Seed, v)
	}
	t.Errorf("got no broken promise with %d seeds, want %q", redSeeds, want)
}

// TestRedInside checks that a broken invariant inside the program ends a run.
func TestRedInside(t *testing.T) {
	s := newSim(1, 0)
	rrinvariant.SetViolationHandler(func(i *rrinvariant.Invariant) { s.fail(insideChecks, "%s", i.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	defer func() {
		if v, ok := recover().(violation); !ok || v.promise != insideChecks {
			t.Errorf("got %v, want a broken promise", v)
		}
	}()
	rrinvariant.New("a test").Assert(false)
}
