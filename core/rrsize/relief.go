package rrsize

import (
	"time"

	"rattanring/core/rrtask"
)

// Relief of an overfull worker.
const (
	reliefTime = 2 * time.Second // between two orders for one worker: reports lag
	stopExcess = 1.1             // part of the memory above which tasks are stopped
)

// Order asks to throttle or stop one task.
type Order struct {
	ID   uint64
	Stop bool
}

// Relief decides on orders for one worker. The zero value has given none.
type Relief struct {
	last time.Time
}

// Next returns the order that relieves an overfull worker the most, and false when
// there is none to give. The task that takes the most beyond what it declared is
// throttled first. One is stopped, which fails its job, only when memory is still
// far above the capacity after a task was throttled: the kernel would pick one.
func (f *Relief) Next(now time.Time, r *Room) (Order, bool) {
	if !r.Overfull(now) || now.Sub(f.last) < reliefTime || r.reported.Before(f.last) {
		return Order{}, false
	}
	i, stop := r.worst(false), false
	if r.danger() && r.slowed() {
		i, stop = r.worst(true), true
	}
	if i < 0 {
		return Order{}, false
	}
	f.last = now
	s := &r.tasks[i]
	s.slowed = true
	s.stopped = s.stopped || stop
	return Order{s.id, stop}, true
}

// worst returns the place of the task with the largest planned part of the worker
// that may still get an order, or -1.
func (r *Room) worst(stop bool) int {
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
func (r *Room) part(s rrtask.Size) float64 {
	if r.used.Memory > r.Capacity.Memory {
		return float64(s.Memory) / float64(max(r.Capacity.Memory, 1))
	}
	return float64(s.Cores) / float64(max(r.Capacity.Cores, 1))
}

func (r *Room) danger() bool {
	return float64(r.used.Memory) > stopExcess*float64(r.Capacity.Memory)
}

func (r *Room) slowed() bool {
	for _, s := range r.tasks {
		if s.slowed {
			return true
		}
	}
	return false
}
