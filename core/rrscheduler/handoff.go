package rrscheduler

import (
	"time"

	"rattanring/core/rrrendezvous"
)

// beginHandoff begins to give a minion to another keeper: it gets no new tasks, and what
// runs there ends under this one.
func (s *Scheduler) beginHandoff(now time.Time, id string) {
	m := s.minions[id]
	if m == nil {
		s.emit(&ReleaseMinion{MinionID: id})
		return
	}
	if !m.handingOff {
		m.handingOff = true
		s.emit(&LogDecision{Message: "minion yields", MinionID: id})
		s.updateUsable(now, m)
	}
	s.finishHandoff(m)
}

// finishHandoff forgets a minion that yields and runs nothing, and reports whether it did.
func (s *Scheduler) finishHandoff(m *minion) bool {
	if !m.handingOff || len(m.runs) > 0 {
		return false
	}
	s.removeMinion(m)
	s.emit(&ReleaseMinion{MinionID: m.ID})
	return true
}

// peerShardFor returns the seat of the same zone that a job belongs to by its ID, or an empty
// string if that is this one or has no room for it now.
func (s *Scheduler) peerShardFor(j *job) string {
	best, maxWeight := "", rrrendezvous.Weight(j.ID, "")
	for _, shard := range s.peerShards {
		if w := rrrendezvous.Weight(j.ID, shard); w > maxWeight {
			best, maxWeight = shard, w
		}
	}
	if best == "" || s.shardLoads[best].FreeMillicores < j.unfinishedMillicores() || !s.fitsShard(j, best) {
		return ""
	}
	return best
}

// raiseToken gives the orders to come a higher token.
func (s *Scheduler) raiseToken(now time.Time, fencingToken int64) {
	if fencingToken > s.fencingToken {
		s.fencingToken, s.tokenRaisedAt = fencingToken, now
	}
}

// sentUnderOldToken reports whether an order was sent under a lower token than the pool has now.
// That a minion turned it away says nothing about other keepers.
func (s *Scheduler) sentUnderOldToken(sentAt time.Time) bool {
	return !s.tokenRaisedAt.IsZero() && !sentAt.After(s.tokenRaisedAt)
}
