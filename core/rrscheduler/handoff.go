package rrscheduler

import (
	"time"

	"rattanring/core/rrrendezvous"
)

// yield begins to give a minion to another keeper: it gets no new tasks, and what
// runs there ends under this one.
func (p *Scheduler) yield(now time.Time, id string) {
	m := p.minions[id]
	if m == nil {
		p.emit(&ReleaseMinion{MinionID: id})
		return
	}
	if !m.yields {
		m.yields = true
		p.emit(&LogDecision{Message: "minion yields", MinionID: id})
		p.review(now, m)
	}
	p.letGo(m)
}

// letGo forgets a minion that yields and runs nothing, and reports whether it did.
func (p *Scheduler) letGo(m *minion) bool {
	if !m.yields || len(m.runs) > 0 {
		return false
	}
	p.remove(m)
	p.emit(&ReleaseMinion{MinionID: m.ID})
	return true
}

// sibling returns the seat of the same zone that a job belongs to by its ID, or an empty
// string if that is this one or has no room for it now.
func (p *Scheduler) sibling(j *job) string {
	best, most := "", rrrendezvous.Weight(j.ID, "")
	for _, seat := range p.siblings {
		if w := rrrendezvous.Weight(j.ID, seat); w > most {
			best, most = seat, w
		}
	}
	if best == "" || p.loads[best].FreeMillicores < j.cores() || !p.suitsAt(j, best) {
		return ""
	}
	return best
}

// raise gives the orders to come a higher token.
func (p *Scheduler) raise(now time.Time, token int64) {
	if token > p.token {
		p.token, p.raised = token, now
	}
}

// outrun reports whether an order was sent under a lower token than the pool has now.
// That a minion turned it away says nothing about other keepers.
func (p *Scheduler) outrun(sent time.Time) bool {
	return !p.raised.IsZero() && !sent.After(p.raised)
}
