package rrcapacity

import (
	"time"

	"rattanring/core/rrtask"
)

// Relief of an overfull worker.
const (
	reliefTime = 2 * time.Second // between two orders for one worker: reports lag
	stopExcess = 1.1             // part of the memory above which tasks are stopped
)

// Action asks to throttle or stop one task.
type Action struct {
	TaskID uint64
	Stop   bool
}

// OverloadController decides on orders for one worker. The zero value has given none.
type OverloadController struct {
	last time.Time
}

// Next returns the order that relieves an overfull worker the most, and false when
// there is none to give. The task that takes the most beyond what it declared is
// throttled first. One is stopped, which fails its job, only when memory is still
// far above the capacity after a task was throttled: the kernel would pick one.
func (f *OverloadController) Next(now time.Time, r *Worker) (Action, bool) {
	if !r.Overcommitted(now) || now.Sub(f.last) < reliefTime || r.reported.Before(f.last) {
		return Action{}, false
	}
	i, stop := r.worst(false), false
	if r.danger() && r.slowed() {
		i, stop = r.worst(true), true
	}
	if i < 0 {
		return Action{}, false
	}
	f.last = now
	s := &r.tasks[i]
	s.slowed = true
	s.stopped = s.stopped || stop
	return Action{s.id, stop}, true
}

// worst returns the place of the task with the largest planned part of the worker
// that may still get an order, or -1.
func (r *Worker) worst(stop bool) int {
	worst, most := -1, -1.0
	for i, s := range r.tasks {
		if s.stopped || s.slowed && !stop {
			continue
		}
		if p := r.part(s.plan); p > most {
			worst, most = i, p
		}
	}
	return worst
}

// part returns the part of the worker that a size takes in the resource that is
// exceeded.
func (r *Worker) part(s rrtask.Resources) float64 {
	if r.used.MemoryBytes > r.Capacity.MemoryBytes {
		return float64(s.MemoryBytes) / float64(max(r.Capacity.MemoryBytes, 1))
	}
	return float64(s.MilliCores) / float64(max(r.Capacity.MilliCores, 1))
}

func (r *Worker) danger() bool {
	return float64(r.used.MemoryBytes) > stopExcess*float64(r.Capacity.MemoryBytes)
}

func (r *Worker) slowed() bool {
	for _, s := range r.tasks {
		if s.slowed {
			return true
		}
	}
	return false
}
