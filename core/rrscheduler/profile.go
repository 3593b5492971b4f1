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

// fits reports whether a task of the phase fits a free minion.
func (s MinionProfile) fits(ph *Phase) bool {
	return ph.Resources.Fits(s.Capacity) && hasLabel(s.Labels, ph.RequiredLabel)
}

// hasLabel reports whether a label is among those of a minion; every one has the empty
// label.
func hasLabel(labels []string, label string) bool {
	return label == "" || slices.Contains(labels, label)
}

// suits reports whether each phase of a job fits one of the shapes, and whether there
// is any of the job's service.
func suits(j *job, shapes iter.Seq[MinionProfile]) (fits, any bool) {
	missing := len(j.Phases)
	found := make([]bool, len(j.Phases))
	for s := range shapes {
		if s.Service != j.Service {
			continue
		}
		any = true
		for i := range j.Phases {
			if !found[i] && s.fits(&j.Phases[i]) {
				found[i] = true
				missing--
			}
		}
		if missing == 0 {
			break
		}
	}
	return missing == 0, any
}

// own yields the shapes of the pool's minions.
func (p *Scheduler) own(yield func(MinionProfile) bool) {
	for _, m := range p.order {
		if !yield(m.Profile()) {
			return
		}
	}
}

// suitsAt reports whether a job can run on the minions of another keeper.
func (p *Scheduler) suitsAt(j *job, seat string) bool {
	fits, _ := suits(j, slices.Values(p.shapes[seat]))
	return fits
}

// maySuit reports whether a job is worth handing to another keeper. One whose minions are
// not known, as in a process that started while the store is away, decides for itself on a
// job that has no place here.
func (p *Scheduler) maySuit(j *job, seat string, fitsHere bool) bool {
	if len(p.shapes[seat]) == 0 {
		return !fitsHere
	}
	return p.suitsAt(j, seat)
}

// suitsElsewhere reports whether a job can run on the minions of any other keeper.
func (p *Scheduler) suitsElsewhere(j *job) bool {
	for seat := range p.shapes {
		if p.suitsAt(j, seat) {
			return true
		}
	}
	return false
}
