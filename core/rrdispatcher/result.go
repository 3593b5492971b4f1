package rrdispatcher

import (
	"time"

	"rattanring/core/rrcode"
	"rattanring/core/rrtask"
)

// maxAttempts is the number of refused dispatches after which a task returns to the
// coordinator.
const maxAttempts = 4

// HandleResult ends one dispatch. It ignores unknown IDs.
func (d *Dispatcher) HandleResult(now time.Time, res DispatchResult) {
	dispatch, ok := d.inFlight.remove(res.ID)
	if !ok {
		return
	}
	b, m := dispatch.batch, dispatch.minion
	b.inFlight--
	m.inFlight--
	d.releaseResources(now, m, res)
	if res.Result.Code != rrcode.TimedOut {
		m.answeredAt = now
		m.unresponsive = false
	}
	b.tenantQueue.tenant.inFlight--
	d.repositionAtLimit(b.tenantQueue.tenant)
	if res.Draining {
		m.recordDraining(now)
	}
	if res.Result.Code.Class() == rrcode.ClassNotRun {
		d.handleRefusal(now, dispatch, res.Result)
	} else {
		d.handleRun(now, dispatch, res.Result)
	}
	d.retireIfDone(now, b)
}

// handleRefusal requeues a task that its minion did not start. After maxAttempts,
// or if its batch is dropped, it returns the task to the coordinator.
func (d *Dispatcher) handleRefusal(now time.Time, dispatch inFlightDispatch, r rrtask.Result) {
	b, m, qt := dispatch.batch, dispatch.minion, dispatch.task
	d.stats.Refused++
	m.recordRefusal(now, dispatch.dispatchedAt, r.Code)
	b.subtractWork(-qt.estimate)
	qt.refusals++
	qt.refusedBy = m
	if b.dropped || qt.refusals >= maxAttempts {
		d.recordOutcome(b, qt, r)
		return
	}
	b.statuses[qt.pos] = statusQueued
	b.push(qt)
	d.reposition(b)
}

// handleRun records the outcome of a task that a minion may have started.
func (d *Dispatcher) handleRun(now time.Time, dispatch inFlightDispatch, r rrtask.Result) {
	b, m, qt := dispatch.batch, dispatch.minion, dispatch.task
	if r.RunTime <= 0 {
		r.RunTime = now.Sub(dispatch.dispatchedAt)
	}
	if r.Minion == "" {
		r.Minion = m.Name
	}
	if r.Code == rrcode.Complete {
		d.handleSuccess(now, dispatch, r)
	} else {
		d.handleFailure(now, dispatch, r)
	}
	d.recordOutcome(b, qt, r)
}

// handleSuccess updates the estimates and the minion's health after a success.
func (d *Dispatcher) handleSuccess(now time.Time, dispatch inFlightDispatch, r rrtask.Result) {
	b, m, qt := dispatch.batch, dispatch.minion, dispatch.task
	b.recordResult(m, true)
	normalRunTime := time.Duration(float64(r.RunTime) / m.slowdownFactor())
	d.RunTimes.Observe(b.Tenant, b.Class, b.Tasks[qt.pos].DeclaredRunTime, normalRunTime)
	m.slowdown.Observe(qt.estimate, r.RunTime)
	m.failureRates.Observe(b.Tenant, b.Class, false)
	m.recordSuccess(now, dispatch.dispatchedAt)
}

// handleFailure counts a failure as evidence against the minion.
func (d *Dispatcher) handleFailure(now time.Time, dispatch inFlightDispatch, r rrtask.Result) {
	b, m := dispatch.batch, dispatch.minion
	switch r.Code {
	case rrcode.TaskFailed, rrcode.ConnectionLost, rrcode.TimedOut:
		m.failureRates.Observe(b.Tenant, b.Class, true)
		m.recordFailure(now, m.pool.peerFailureRate(m, b))
		b.recordResult(m, false)
	}
}
