package rrdispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// minRemainingWork is the lower bound of a job's remaining work and of its ideal response
// time, so that their logarithm is defined.
const minRemainingWork = time.Millisecond

// queuedTask is one task of a batch that has not started.
type queuedTask struct {
	pos       int32         // position in Batch.Tasks
	refusals  int32         // refused dispatches so far
	refusedBy *minion       // the last minion that did not start it; nil for none
	estimate  time.Duration // expected run time
}

// batch is the state of one Batch.
type batch struct {
	Batch
	pool            *pool
	tenantQueue     *tenantQueue
	queued          []queuedTask   // tasks to start; the last one starts next
	statuses        []taskStatus   // of all tasks, by position in Tasks
	queuedWork      time.Duration  // expected run time of queued
	inFlight        int            // dispatches in flight
	minionResults   []minionResult // successes and failures of its tasks, by minion
	reclaimed       []int          // indexes of the tasks removed by Reclaim
	dropped         bool           // canceled or returned as a whole: refused tasks are not queued again
	initialWork     time.Duration  // remaining work of the job when the batch was added
	jobWorkRatio    float64        // remaining work of the whole job ÷ that of the batch, when it was added
	minEstimate     time.Duration  // expected run time of its shortest task when it was added
	idealResponse   time.Duration  // response time of the job on an idle fleet
	priority        float64        // the lowest starts first
	reestimated     bool           // reestimateDue has estimated it again
	bucket          int            // BacklogBucket of the remaining work
	totals          poolTotals     // its part of the pool's totals
	queueIndex      int            // in tenantQueue.batches; -1 when no task is queued
	blockedSince    time.Time      // since when its next task fits on no worker; zero otherwise
	deadlineIndex   int            // in Dispatcher.deadlines; -1 without queued tasks or without a deadline
	reestimateIndex int            // in Dispatcher.reestimates; -1 without queued tasks, without a deadline or when reestimated
}

// queueTasks queues all tasks of a new batch in the order in which they start.
// The arguments fleetSlots and poolSlots are the slots of the fleet and of the batch's
// pool.
func (b *batch) queueTasks(fleetSlots, poolSlots int, estimate func(*rrtask.Task) time.Duration) {
	b.statuses = append(b.statuses, make([]taskStatus, len(b.Tasks))...)
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for i := len(b.Tasks) - 1; i >= 0; i-- {
		runTime := estimate(&b.Tasks[i])
		b.queued = append(b.queued, queuedTask{pos: int32(i), estimate: runTime})
		b.queuedWork += runTime
		shortest = min(shortest, runTime)
		longest = max(longest, runTime)
	}
	b.minEstimate = shortest
	b.initialWork = max(b.RemainingWork, b.queuedWork)
	b.jobWorkRatio = float64(b.initialWork) / float64(max(b.queuedWork, 1))
	b.idealResponse = max(longest, b.initialWork/time.Duration(fleetSlots), minRemainingWork)
	minLongTask := max(b.initialWork/time.Duration(fleetSlots), b.queuedWork/time.Duration(poolSlots)) / longTaskDivisor
	if shortest < longest && longest > minLongTask {
		b.longTasksFirst(minLongTask)
	}
}

// longTaskDivisor defines a long task: one that runs for more than one eighth of the time
// that the job takes on all slots. Started last, it would delay the end of the job by up
// to its run time.
const longTaskDivisor = 8

// longTasksFirst reorders the queued tasks: those that run longer than minLongTask start
// before the others, the longest first. The others keep their order. Starting all tasks
// in descending order of run time would fill every slot with long tasks, and the next
// short job would wait.
func (b *batch) longTasksFirst(minLongTask time.Duration) {
	slices.SortFunc(b.queued, func(x, y queuedTask) int {
		if c := cmp.Compare(x.estimateAbove(minLongTask), y.estimateAbove(minLongTask)); c != 0 {
			return c
		}
		return cmp.Compare(y.pos, x.pos)
	})
}

// estimateAbove returns the expected run time if it exceeds limit, and zero otherwise.
func (qt queuedTask) estimateAbove(limit time.Duration) time.Duration {
	if qt.estimate > limit {
		return qt.estimate
	}
	return 0
}

// pop removes and returns the task that starts next.
func (b *batch) pop() queuedTask {
	last := len(b.queued) - 1
	qt := b.queued[last]
	b.queued = b.queued[:last]
	b.queuedWork -= qt.estimate
	return qt
}

// takeAt removes and returns the queued task at index i.
func (b *batch) takeAt(i int) queuedTask {
	qt := b.queued[i]
	b.queued = slices.Delete(b.queued, i, i+1)
	b.queuedWork -= qt.estimate
	return qt
}

// maxShortestScan bounds the tasks that shortestIndex compares.
const maxShortestScan = 256

// shortestIndex returns the index of the shortest among the maxShortestScan tasks at the
// back of the queue, which would start last.
func (b *batch) shortestIndex() int {
	shortest := 0
	for i := range min(len(b.queued), maxShortestScan) {
		if b.queued[i].estimate < b.queued[shortest].estimate {
			shortest = i
		}
	}
	return shortest
}

// takeShortest removes and returns the task at shortestIndex.
func (b *batch) takeShortest() queuedTask {
	i := b.shortestIndex()
	qt := b.queued[i]
	b.queued[i] = b.queued[0]
	b.queued = b.queued[1:]
	b.queuedWork -= qt.estimate
	return qt
}

// push queues a task so that it starts next.
func (b *batch) push(qt queuedTask) {
	b.queued = append(b.queued, qt)
	b.queuedWork += qt.estimate
}

// clearQueued drops all queued tasks.
func (b *batch) clearQueued() {
	for _, qt := range b.queued {
		b.statuses[qt.pos] = statusEnded
	}
	b.queued = b.queued[:0]
	b.queuedWork = 0
}

// done reports whether no task of the batch is queued or in flight.
func (b *batch) done() bool {
	return len(b.queued) == 0 && b.inFlight == 0
}

// updatePriority sets the priority to the logarithm of the job's remaining work times
// its ideal response time, divided by the tenant's weight. Starting the lowest first
// keeps the mean of response time ÷ ideal response time low. The product counts half
// as much for every halfLife since the job was accepted. All products shrink at the
// same rate, so adding the acceptance time to the logarithm, in half-lives, gives an
// order that does not depend on the time of the comparison.
func (b *batch) updatePriority(weight int, halfLife time.Duration) {
	remaining := max(b.RemainingWork, b.queuedWork, minRemainingWork)
	acceptedHalfLives := float64(b.AcceptedAt.UnixNano()) / float64(max(halfLife, time.Millisecond))
	b.priority = math.Log2(remaining.Seconds()*b.idealResponse.Seconds()/float64(max(weight, 1))) + acceptedHalfLives
	b.bucket = BacklogBucket(remaining)
}

// reestimateDivisor sets when a waiting batch is estimated again: after one eighth of the
// time from its acceptance to its deadline.
const reestimateDivisor = 8

// reestimateAt returns when the batch is estimated again. The first jobs of a class
// arrive before its run times are known, and a wrong estimate could keep them waiting
// behind others until their deadline.
func (b *batch) reestimateAt() time.Time {
	return b.AcceptedAt.Add(b.Deadline.Sub(b.AcceptedAt) / reestimateDivisor)
}

// reestimate updates the estimates of the queued tasks, and scales those of the whole
// job by the same ratio.
func (b *batch) reestimate(estimate func(*rrtask.Task) time.Duration) {
	before := b.queuedWork
	b.queuedWork = 0
	for i := range b.queued {
		qt := &b.queued[i]
		qt.estimate = estimate(&b.Tasks[qt.pos])
		b.queuedWork += qt.estimate
	}
	ratio := float64(b.queuedWork) / float64(max(before, 1))
	b.RemainingWork = time.Duration(float64(b.RemainingWork) * ratio)
	b.idealResponse = time.Duration(float64(b.idealResponse) * ratio)
}

// subtractWork subtracts the expected run time of a started task from the remaining work
// of the job. It assumes that the job's batches at other owners progress alike,
// because their owners report nothing until a batch ends. A negative run time restores
// the work of a refused task.
func (b *batch) subtractWork(runTime time.Duration) {
	b.RemainingWork -= time.Duration(float64(runTime) * b.jobWorkRatio)
}
