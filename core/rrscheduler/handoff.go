package rrscheduler

import (
	"time"

	"rattanring/core/rrrendezvous"
)

// beginHandoff starts to hand a minion off to another shard. The minion receives no new tasks and
// stays with this owner until its runs have ended.
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

// finishHandoff releases a minion that is being handed off and runs nothing, and reports whether it
// did.
func (s *Scheduler) finishHandoff(m *minion) bool {
	if !m.handingOff || len(m.runs) > 0 {
		return false
	}
	s.removeMinion(m)
	s.emit(&ReleaseMinion{MinionID: m.ID})
	return true
}

// peerShardFor returns the shard of the same zone to which the job's ID assigns it. It returns an
// empty string if that is this shard, or if the shard can't run the job or lacks free
// capacity for it now.
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

// raiseToken sets a higher fencing token for later commands.
func (s *Scheduler) raiseToken(now time.Time, fencingToken int64) {
	if fencingToken > s.fencingToken {
		s.fencingToken, s.tokenRaisedAt = fencingToken, now
	}
}

// sentUnderOldToken reports whether a command was sent with a lower fencing token than the current
// one. A minion may refuse it for this owner's own newer token, so the refusal does not show that
// another owner exists.
func (s *Scheduler) sentUnderOldToken(sentAt time.Time) bool {
	return !s.tokenRaisedAt.IsZero() && !sentAt.After(s.tokenRaisedAt)
}
