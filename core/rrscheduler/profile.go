package rrscheduler

import (
	"iter"
	"slices"

	"rattanring/core/rrtask"
)

// MinionProfile is what minions of one make can run.
type MinionProfile struct {
	Service  string
	Capacity rrtask.Resources
	Labels   []string
}

// Profile returns what the minion can run.
func (m *Minion) Profile() MinionProfile {
	return MinionProfile{Service: m.Service, Capacity: m.Capacity, Labels: m.Labels}
}

// fitsPhase reports whether a task of the phase fits a free minion.
func (s MinionProfile) fitsPhase(ph *Phase) bool {
	return ph.Resources.Fits(s.Capacity) && hasLabel(s.Labels, ph.RequiredLabel)
}

// hasLabel reports whether a label is among those of a minion; every one has the empty
// label.
func hasLabel(labels []string, label string) bool {
	return label == "" || slices.Contains(labels, label)
}

// fitsProfiles reports whether each phase of a job fits one of the shapes, and whether there
// is any of the job's service.
func fitsProfiles(j *job, profiles iter.Seq[MinionProfile]) (fits, anyOfService bool) {
	missing := len(j.Phases)
	found := make([]bool, len(j.Phases))
	for s := range profiles {
		if s.Service != j.Service {
			continue
		}
		anyOfService = true
		for i := range j.Phases {
			if !found[i] && s.fitsPhase(&j.Phases[i]) {
				found[i] = true
				missing--
			}
		}
		if missing == 0 {
			break
		}
	}
	return missing == 0, anyOfService
}

// ownProfiles yields the shapes of the pool's minions.
func (s *Scheduler) ownProfiles(yield func(MinionProfile) bool) {
	for _, m := range s.sortedMinions {
		if !yield(m.Profile()) {
			return
		}
	}
}

// fitsShard reports whether a job can run on the minions of another keeper.
func (s *Scheduler) fitsShard(j *job, shard string) bool {
	fits, _ := fitsProfiles(j, slices.Values(s.shardProfiles[shard]))
	return fits
}

// mayFitShard reports whether a job is worth handing to another keeper. One whose minions are
// not known, as in a process that started while the store is away, decides for itself on a
// job that has no place here.
func (s *Scheduler) mayFitShard(j *job, shard string, fitsHere bool) bool {
	if len(s.shardProfiles[shard]) == 0 {
		return !fitsHere
	}
	return s.fitsShard(j, shard)
}

// fitsElsewhere reports whether a job can run on the minions of any other keeper.
func (s *Scheduler) fitsElsewhere(j *job) bool {
	for shard := range s.shardProfiles {
		if s.fitsShard(j, shard) {
			return true
		}
	}
	return false
}
