package rrnode

import (
	"testing"

	"rattanring/core/rrinvariant"
)

// maxMutationSeeds is the number of seeds within which a mutation must be detected.
const maxMutationSeeds = 10

// busyScenario returns a scenario with many jobs.
func busyScenario(messageFaults, slots int, fs ...fault) scenario {
	sc := scenario{MessageFaults: messageFaults, Zones: 2, Entries: 4, Slots: slots, Minions: 6, Faults: fs}
	for i := range 30 {
		sc.Loads = append(sc.Loads, jobLoad{At: 2000 + 500*i, Entry: i, Tasks: 40, Run: 100, Timeout: 10000})
	}
	return sc
}

// TestMutationsAreDetected checks that each mutation violates the property that guards
// against it.
func TestMutationsAreDetected(t *testing.T) {
	withMessageFaults := busyScenario(80, 4)
	oneSlotPerMinion := busyScenario(0, 1)
	draining := busyScenario(0, 4, fault{At: 5000, Kind: minionDrain, Target: 1, Duration: 12000})
	nonIdempotent := busyScenario(40, 4)
	for i := range nonIdempotent.Loads {
		nonIdempotent.Loads[i].NonIdempotent = true
		nonIdempotent.Loads[i].ResubmitAfter = 30
	}
	configChanges := busyScenario(0, 4, fault{At: 3000, Kind: newConfig, Duration: 5000}, fault{At: 5000, Kind: newConfig, Duration: 100})
	evacuation := busyScenario(0, 1, fault{At: 5000, Kind: zoneEvacuate, Target: 1, Duration: 5000})
	tests := []struct {
		name string
		scenario
		mutation mutation
		want     property
	}{
		{"transport sends again", withMessageFaults, transportRetries, startsOnce},
		{"lost answer as refusal", withMessageFaults, lostReportedRefused, startsOnce},
		{"keeper forgets batches", withMessageFaults, ownerForgetsBatches, startsOnce},
		{"broken call as not sent", withMessageFaults, unknownReportedNotSent, startsOnce},
		{"answer cut short", oneSlotPerMinion, answerTruncated, wholeAnswer},
		{"answer to another caller", oneSlotPerMinion, answerSwapped, ownAnswer},
		{"answer twice", oneSlotPerMinion, answerTwice, ownAnswer},
		{"failure as refusal", withMessageFaults, mayHaveRunReportedNotRun, notRunIsTrue},
		{"too many slots listed", oneSlotPerMinion, tooManySlotsListed, withinSlots},
		{"leaving is not listed", draining, drainingNotListed, drainingGetsNothing},
		{"time stands still", oneSlotPerMinion, ticksLost, answeredInTime},
		{"store does not compare", nonIdempotent, storeIgnoresCompare, startsOnce},
		{"evacuation is ignored", evacuation, evacuationIgnored, evacuatedIsIdle},
		{"version is forgotten", configChanges, configReverts, neverReverts},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, v := test.check(noMutation); v != nil {
				t.Fatalf("violated without the mutation: %s: %s", v.property, v.text)
			}
			test.checkDetects(t, test.mutation, test.want)
		})
	}
}

// checkDetects checks that a mutation violates the property want with at least one of
// maxMutationSeeds seeds.
func (sc scenario) checkDetects(t *testing.T, m mutation, want property) {
	t.Helper()
	for sc.Seed = 0; sc.Seed < maxMutationSeeds; sc.Seed++ {
		_, v := sc.check(m)
		if v != nil && v.property == want {
			t.Logf("seed %d: %s", sc.Seed, v.text)
			return
		}
		t.Logf("seed %d: %+v", sc.Seed, v)
	}
	t.Errorf("got no violation with %d seeds, want %q", maxMutationSeeds, want)
}

// TestInvariantViolationEndsRun checks that a violated invariant of the program ends a
// simulation.
func TestInvariantViolationEndsRun(t *testing.T) {
	s := newSim(1, 0)
	rrinvariant.SetViolationHandler(func(i *rrinvariant.Invariant) { s.fail(invariantsHold, "%s", i.Name()) })
	defer rrinvariant.SetViolationHandler(nil)
	defer func() {
		if v, ok := recover().(violation); !ok || v.property != invariantsHold {
			t.Errorf("got %v, want a violated invariant", v)
		}
	}()
	rrinvariant.New("a test").Assert(false)
}
