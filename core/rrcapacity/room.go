package rrcapacity

import (
	"time"

	"rattanring/core/rrtask"
)

// reportTime is how long a report of use counts.
const reportTime = 5 * time.Second

// Worker tells how much of one worker is free, by the tasks that were sent there and
// by its lagging reports. The zero value has no capacity.
type Worker struct {
	Capacity rrtask.Resources

	tasks    []sized          // running ones with a size
	reserved rrtask.Resources // planned sizes of tasks
	used     rrtask.Resources // as last reported
	fresh    rrtask.Resources // planned sizes of tasks that the report does not show yet
	reported time.Time
	load     DeclaredLoad
}

// sized is one running task.
type sized struct {
	id       uint64
	label    ClassKey
	declared rrtask.Resources
	plan     rrtask.Resources
	start    time.Time
	slowed   bool // asked to be throttled
	stopped  bool // asked to be stopped
}

// Start notes that a task runs. Tasks without a size take no room.
func (r *Worker) Start(now time.Time, id uint64, l ClassKey, declared, plan rrtask.Resources) {
	if declared.IsZero() {
		return
	}
	r.tasks = append(r.tasks, sized{id: id, label: l, declared: declared, plan: plan, start: now})
	r.reserved = Add(r.reserved, plan)
	r.fresh = Add(r.fresh, plan)
	r.load.Start(now, l, declared)
}

// End notes that a task has ended.
func (r *Worker) End(now time.Time, id uint64) {
	for i, t := range r.tasks {
		if t.id != id {
			continue
		}
		r.tasks = append(r.tasks[:i], r.tasks[i+1:]...)
		r.reserved = Sub(r.reserved, t.plan)
		r.load.End(now, t.label, t.declared)
		if t.start.After(r.reported.Add(-lag)) {
			r.fresh = Sub(r.fresh, t.plan)
		} else {
			r.used = Sub(r.used, t.plan)
		}
		return
	}
}

// ObserveUsage takes in what the worker says that it uses, and lets the table learn from
// it unless tasks without a size run there too.
func (r *Worker) ObserveUsage(now time.Time, used rrtask.Resources, t *Estimator, alone bool) {
	r.used = used
	r.reported = now
	r.fresh = rrtask.Resources{}
	for _, s := range r.tasks {
		if s.start.After(now.Add(-lag)) {
			r.fresh = Add(r.fresh, s.plan)
		}
	}
	r.load.Advance(now)
	if alone {
		t.Observe(&r.load, used)
	}
}

// Len returns the number of running tasks that have a size.
func (r *Worker) Len() int {
	return len(r.tasks)
}

// Reserved returns the planned sizes of the running tasks, summed.
func (r *Worker) Reserved() rrtask.Resources {
	var sum rrtask.Resources
	for _, t := range r.tasks {
		sum = Add(sum, t.plan)
	}
	return sum
}

// Fits reports whether a planned size is free, by what is reserved and by what the
// last report shows. A task alone on its worker may take all of it.
func (r *Worker) Fits(now time.Time, plan rrtask.Resources) bool {
	plan = Min(plan, r.Capacity)
	taken := r.reserved
	if r.current(now) {
		taken = Max(taken, Add(r.used, r.fresh))
	}
	return Add(taken, plan).Fits(r.Capacity)
}

// Overcommitted reports whether the worker uses more than its capacity, by its last
// report less what has ended since.
func (r *Worker) Overcommitted(now time.Time) bool {
	return r.current(now) && !r.Capacity.IsZero() && !r.used.Fits(r.Capacity)
}

// DiscardReport drops the last report, once nothing that it shows runs any more.
func (r *Worker) DiscardReport() {
	r.reported = time.Time{}
}

// ReportExpiry returns when the last report stops to count, or the zero time when none
// counts now.
func (r *Worker) ReportExpiry(now time.Time) time.Time {
	if !r.current(now) {
		return time.Time{}
	}
	return r.reported.Add(reportTime)
}

func (r *Worker) current(now time.Time) bool {
	return !r.reported.IsZero() && now.Sub(r.reported) < reportTime
}
