package rrclaim

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrheap"
	"rattanring/core/rrtask"
)

// writeOverheadBytes estimates the size of a write without its results.
const writeOverheadBytes = 512

// Step appends the store calls that are due at now and the pending decisions to out.
func (m *Manager) Step(now time.Time, out *Effects) {
	m.expireAttempts(now)
	for m.callDue(now) && m.limiter.TryTake(now) == 0 {
		m.startCall(now, out)
	}
	out.Decisions = append(out.Decisions, m.decisions...)
	m.decisions = nil
}

// NextWakeup returns the time at which Step must be called next if nothing else
// happens, or the zero time if no call is needed.
func (m *Manager) NextWakeup(now time.Time) time.Time {
	var wake time.Time
	wakeBy := func(t time.Time) {
		if wake.IsZero() || t.Before(wake) {
			wake = t
		}
	}
	if len(m.decisions) > 0 {
		return now
	}
	if m.deadlines.Len() > 0 {
		wakeBy(m.deadlines.At(0).request.Deadline)
	}
	if len(m.inFlight) >= MaxInFlightCalls {
		return wake
	}
	if m.openQueue.Len() > 0 || m.deleteBefore != "" || m.closeQueue.Len() >= closeGroupSize {
		wakeBy(now.Add(m.limiter.Wait(now)))
	} else if m.closeQueue.Len() > 0 {
		wakeBy(later(m.closeQueue.At(0).closingSince.Add(closeGroupDelay), now.Add(m.limiter.Wait(now))))
	}
	return wake
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// ScheduleDeletion schedules the deletion of claims older than Retention, at most once per
// deleteInterval. One entry of the fleet calls it periodically; calls by several
// entries are harmless.
func (m *Manager) ScheduleDeletion(now time.Time) {
	if now.Sub(m.lastDelete) < deleteInterval {
		return
	}
	m.lastDelete = now
	m.deleteBefore = firstKeyAt(now.Add(-Retention))
}

// expireAttempts refuses and abandons the attempts whose deadline has passed.
func (m *Manager) expireAttempts(now time.Time) {
	for m.deadlines.Len() > 0 && !m.deadlines.At(0).request.Deadline.After(now) {
		c := m.deadlines.At(0)
		m.removeDeadline(c)
		code := codeWithoutClaim(c.request, rrcode.StoreUnavailable)
		m.refuse(c.id, code, code.Description())
		m.abandon(now, c)
	}
}

// abandon ends an attempt that was not granted. Its claim stays in m while the store may
// hold it as open.
func (m *Manager) abandon(now time.Time, c *claim) {
	if !c.needsClose() {
		m.remove(c)
		return
	}
	m.dequeue(c)
	m.close(now, c, rrtask.Answer{Code: rrcode.StoreUnavailable, Detail: rrcode.StoreUnavailable.Description()})
}

// callDue reports whether a store call should start now.
func (m *Manager) callDue(now time.Time) bool {
	if len(m.inFlight) >= MaxInFlightCalls {
		return false
	}
	if m.openQueue.Len() > 0 || m.deleteBefore != "" || m.closeQueue.Len() >= closeGroupSize {
		return true
	}
	return m.closeQueue.Len() > 0 && now.Sub(m.closeQueue.At(0).closingSince) >= closeGroupDelay
}

// startCall appends the next store call to out: a due deletion first, then a transaction.
func (m *Manager) startCall(now time.Time, out *Effects) {
	m.lastCallID++
	if m.deleteBefore != "" {
		m.inFlight[m.lastCallID] = pendingCall{}
		out.Calls = append(out.Calls, StoreCall{ID: m.lastCallID, DeleteBefore: m.deleteBefore})
		m.deleteBefore = ""
		return
	}
	group := m.nextGroup()
	call := pendingCall{claims: group, writes: make([]Write, len(group))}
	for i, c := range group {
		call.writes[i] = m.nextWrite(c)
	}
	m.inFlight[m.lastCallID] = call
	out.Calls = append(out.Calls, StoreCall{ID: m.lastCallID, Writes: call.writes})
}

func (m *Manager) nextWrite(c *claim) Write {
	w := Write{Key: c.key, ExpectedRevision: c.revision, Record: c.closeRecord}
	if c.stage == stageOpening {
		w.Record = m.newRecord(c, Open)
	}
	return w
}

// nextGroup removes the claims of the next transaction from the queues.
func (m *Manager) nextGroup() []*claim {
	var group []*claim
	bytes := 0
	take := func(queue *rrheap.Heap[*claim], limit int) {
		for queue.Len() > 0 && len(group) < limit && bytes < MaxTxnBytes {
			c := queue.At(0)
			m.dequeue(c)
			c.inFlight = true
			bytes += writeOverheadBytes + sizeOfResults(c.closeRecord.Results)
			group = append(group, c)
		}
	}
	take(&m.openQueue, MaxTxnClaims-min(m.closeQueue.Len(), closeGroupSize))
	take(&m.closeQueue, MaxTxnClaims)
	return group
}
