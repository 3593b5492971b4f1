package rrcapacity

import (
	"time"

	"rattanring/core/rrtask"
)

// reportTTL is how long a worker's report is valid.
const reportTTL = 5 * time.Second

// Worker tracks the free capacity of one worker by the tasks sent there and by its
// lagging reports. The zero value has no capacity.
type Worker struct {
	Capacity rrtask.Resources

	tasks       []runningTask    // running tasks that declare resources
	reserved    rrtask.Resources // planned for tasks
	reportedUse rrtask.Resources // of the last report, less the tasks that ended since
	unreported  rrtask.Resources // planned for tasks that the last report does not include yet
	reportedAt  time.Time
	load        DeclaredLoad
}

// runningTask is one running task that declares resources.
type runningTask struct {
	id        uint64
	class     ClassKey
	declared  rrtask.Resources
	planned   rrtask.Resources // by Estimator.Estimate
	startedAt time.Time
	throttled bool // got a command to throttle
	stopped   bool // got a command to stop
}

// Start records that a task runs. Tasks that declare no resources take no capacity.
func (w *Worker) Start(now time.Time, id uint64, class ClassKey, declared, planned rrtask.Resources) {
	if declared.IsZero() {
		return
	}
	w.tasks = append(w.tasks, runningTask{id: id, class: class, declared: declared, planned: planned, startedAt: now})
	w.reserved = Add(w.reserved, planned)
	w.unreported = Add(w.unreported, planned)
	w.load.Start(now, class, declared)
}

// End records that a task has ended.
func (w *Worker) End(now time.Time, id uint64) {
	for i, t := range w.tasks {
		if t.id != id {
			continue
		}
		w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
		w.reserved = Sub(w.reserved, t.planned)
		w.load.End(now, t.class, t.declared)
		if t.startedAt.After(w.reportedAt.Add(-reportLag)) {
			w.unreported = Sub(w.unreported, t.planned)
		} else {
			w.reportedUse = Sub(w.reportedUse, t.planned)
		}
		return
	}
}

// ObserveUsage records the worker's report of the resources in use. If all running
// tasks of the minion declare resources (allDeclared), the report also updates the
// estimator.
func (w *Worker) ObserveUsage(now time.Time, used rrtask.Resources, estimator *Estimator, allDeclared bool) {
	w.reportedUse = used
	w.reportedAt = now
	w.unreported = rrtask.Resources{}
	for _, task := range w.tasks {
		if task.startedAt.After(now.Add(-reportLag)) {
			w.unreported = Add(w.unreported, task.planned)
		}
	}
	w.load.Advance(now)
	if allDeclared {
		estimator.Observe(&w.load, used)
	}
}

// Len returns the number of running tasks that declare resources.
func (w *Worker) Len() int {
	return len(w.tasks)
}

// Reserved returns the sum of the resources planned for the running tasks.
func (w *Worker) Reserved() rrtask.Resources {
	var sum rrtask.Resources
	for _, t := range w.tasks {
		sum = Add(sum, t.planned)
	}
	return sum
}

// Fits reports whether the planned resources are free, judged by both the reserved
// resources and the last report. Planned resources above the capacity count as the whole
// capacity, so that such a task fits on an idle worker.
func (w *Worker) Fits(now time.Time, planned rrtask.Resources) bool {
	planned = Min(planned, w.Capacity)
	taken := w.reserved
	if w.reportCurrent(now) {
		taken = Max(taken, Add(w.reportedUse, w.unreported))
	}
	return Add(taken, planned).Fits(w.Capacity)
}

// Overcommitted reports whether the worker uses more than its capacity, by its last
// report less the tasks that ended since.
func (w *Worker) Overcommitted(now time.Time) bool {
	return w.reportCurrent(now) && !w.Capacity.IsZero() && !w.reportedUse.Fits(w.Capacity)
}

// DiscardReport drops the last report. Call it when no task that it includes still runs.
func (w *Worker) DiscardReport() {
	w.reportedAt = time.Time{}
}

// ReportExpiry returns when the last report expires, or the zero time if there is none
// or it has expired.
func (w *Worker) ReportExpiry(now time.Time) time.Time {
	if !w.reportCurrent(now) {
		return time.Time{}
	}
	return w.reportedAt.Add(reportTTL)
}

func (w *Worker) reportCurrent(now time.Time) bool {
	return !w.reportedAt.IsZero() && now.Sub(w.reportedAt) < reportTTL
}
