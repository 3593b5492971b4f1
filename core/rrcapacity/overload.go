package rrcapacity

import (
	"time"

	"rattanring/core/rrtask"
)

// Limits of the commands to an overcommitted worker.
const (
	commandInterval  = 2 * time.Second // between two commands to one worker, since its reports lag
	stopMemoryFactor = 1.1             // multiple of the worker's memory above which tasks are stopped
)

// Command asks to throttle or stop one task.
type Command struct {
	ID   uint64 // of the task, as passed to Worker.Start
	Stop bool
}

// OverloadController chooses the commands to one worker. The zero value is ready to use.
type OverloadController struct {
	lastCommandAt time.Time
}

// Next returns the command that relieves an overcommitted worker the most, and false if
// there is none to give. It first throttles the task with the greatest capacityShare. It
// stops a task, which fails the job, only if memory is still far above the capacity after
// a task was throttled. Otherwise the kernel would kill a task.
func (c *OverloadController) Next(now time.Time, w *Worker) (Command, bool) {
	if !w.Overcommitted(now) || now.Sub(c.lastCommandAt) < commandInterval || w.reportedAt.Before(c.lastCommandAt) {
		return Command{}, false
	}
	i, stop := w.heaviestTask(false), false
	if w.memoryCritical() && w.hasThrottled() {
		i, stop = w.heaviestTask(true), true
	}
	if i < 0 {
		return Command{}, false
	}
	c.lastCommandAt = now
	task := &w.tasks[i]
	task.throttled = true
	task.stopped = task.stopped || stop
	return Command{task.id, stop}, true
}

// heaviestTask returns the index of the task with the greatest capacityShare among those
// that may still get the command, or -1.
func (w *Worker) heaviestTask(stop bool) int {
	heaviest, maxShare := -1, -1.0
	for i, task := range w.tasks {
		if task.stopped || task.throttled && !stop {
			continue
		}
		if share := w.capacityShare(task.planned); share > maxShare {
			heaviest, maxShare = i, share
		}
	}
	return heaviest
}

// capacityShare returns planned as a fraction of the worker's capacity, in the exceeded
// resource: memory if it is exceeded, and cores otherwise.
func (w *Worker) capacityShare(planned rrtask.Resources) float64 {
	if w.reportedUse.MemoryBytes > w.Capacity.MemoryBytes {
		return float64(planned.MemoryBytes) / float64(max(w.Capacity.MemoryBytes, 1))
	}
	return float64(planned.MilliCores) / float64(max(w.Capacity.MilliCores, 1))
}

func (w *Worker) memoryCritical() bool {
	return float64(w.reportedUse.MemoryBytes) > stopMemoryFactor*float64(w.Capacity.MemoryBytes)
}

func (w *Worker) hasThrottled() bool {
	for _, task := range w.tasks {
		if task.throttled {
			return true
		}
	}
	return false
}
