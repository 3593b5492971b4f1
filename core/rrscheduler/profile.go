package rrscheduler

import (
	"iter"
	"slices"

	"rattanring/core/rrtask"
)

// MinionProfile is what equal minions can run.
type MinionProfile struct {
	Service  string
	Capacity rrtask.Resources
	Labels   []string
}

// Profile returns the profile of the minion.
func (m *Minion) Profile() MinionProfile {
	return MinionProfile{Service: m.Service, Capacity: m.Capacity, Labels: m.Labels}
}

// fitsPhase reports whether a task of the phase fits an idle minion of the profile.
func (p MinionProfile) fitsPhase(ph *Phase) bool {
	return ph.Resources.Fits(p.Capacity) && hasLabel(p.Labels, ph.RequiredLabel)
}

// hasLabel reports whether labels contains label. The empty label stands for no requirement.
func hasLabel(labels []string, label string) bool {
	return label == "" || slices.Contains(labels, label)
}

// fitsProfiles reports whether each phase of a job fits one of the profiles, and whether any profile
// is of the job's service.
func fitsProfiles(j *job, profiles iter.Seq[MinionProfile]) (fits, anyOfService bool) {
	missing := len(j.Phases)
	found := make([]bool, len(j.Phases))
	for p := range profiles {
		if p.Service != j.Service {
			continue
		}
		anyOfService = true
		for i := range j.Phases {
			if !found[i] && p.fitsPhase(&j.Phases[i]) {
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

// ownProfiles yields the profiles of the scheduler's minions.
func (s *Scheduler) ownProfiles(yield func(MinionProfile) bool) {
	for _, m := range s.sortedMinions {
		if !yield(m.Profile()) {
			return
		}
	}
}

// fitsShard reports whether a job can run on the minions of another shard.
func (s *Scheduler) fitsShard(j *job, shard string) bool {
	fits, _ := fitsProfiles(j, slices.Values(s.shardProfiles[shard]))
	return fits
}

// mayFitShard reports whether a job may be forwarded to another shard. The profiles of a shard are
// unknown if, for example, this process started while the store was unreachable. Such a shard
// receives only jobs that don't fit here, and decides on them itself.
func (s *Scheduler) mayFitShard(j *job, shard string, fitsHere bool) bool {
	if len(s.shardProfiles[shard]) == 0 {
		return !fitsHere
	}
	return s.fitsShard(j, shard)
}

// fitsElsewhere reports whether a job can run on the minions of any other shard.
func (s *Scheduler) fitsElsewhere(j *job) bool {
	for shard := range s.shardProfiles {
		if s.fitsShard(j, shard) {
			return true
		}
	}
	return false
}
