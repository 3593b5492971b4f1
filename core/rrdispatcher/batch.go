package rrdispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// minRemainingWork is the least remaining work that ranks a batch.
const minRemainingWork = time.Millisecond

// queuedTask is one task of a batch that has not started.
type queuedTask struct {
	pos       int32         // position in Batch.Tasks
	attempts  int32         // sends that did not start it
	refusedBy *minion       // refused it last; nil for none
	estimate  time.Duration // expected run time
}

// batch is what a keeper knows of one Batch.
type batch struct {
	Batch
	pool            *pool
	tenantQueue     *tenantQueue
	queued          []queuedTask   // not started, the next one last
	statuses        []taskStatus   // of all tasks, by position
	queuedWork      time.Duration  // expected run time of units
	inFlight        int            // sends in flight
	minionResults   []minionResult // how its tasks ended, by minion
	returned        []int          // indexes given back by Reclaim
	dropped         bool           // canceled, or given back when the keeper left
	initialWork     time.Duration  // remaining work of the job when it was added
	jobWorkRatio    float64        // work of the whole job for each part of the batch's own
	minEstimate     time.Duration  // expected run time of its shortest task when it was added
	idealResponse   time.Duration  // response time of the job on an idle fleet
	priority        float64        // smaller starts first
	reestimated     bool           // it was estimated again
	bucket          int            // of the remaining work
	totals          poolTotals     // its part of the pool's totals
	queueIndex      int            // in line.batches; -1 when no task waits
	blockedSince    time.Time      // since when its next task fits on no worker; zero otherwise
	deadlineIndex   int            // in Dispatcher.due; -1 when no task waits or none has a deadline
	reestimateIndex int            // in Dispatcher.late; -1 when no task waits or the batch was reviewed
}

// queueTasks lists all tasks in the order in which they start. Fleet and own are the
// slots of the fleet and of the pool.
func (b *batch) queueTasks(fleetSlots, ownSlots int, estimate func(*rrtask.Task) time.Duration) {
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
	jobTime := max(b.initialWork/time.Duration(fleetSlots), b.queuedWork/time.Duration(ownSlots)) / longTaskDivisor
	if shortest < longest && longest > jobTime {
		b.longTasksFirst(jobTime)
	}
}

// longTaskDivisor is the part of the job's time on all slots from which on a task counts
// as long: a longer one that starts last would hold the job up by as much.
const longTaskDivisor = 8

// longTasksFirst puts first the tasks that run longer than the whole job takes on all
// slots, the longest at the front. The others keep their order: all long ones first
// would fill every slot for long, and the next short job would wait.
func (b *batch) longTasksFirst(jobTime time.Duration) {
	slices.SortFunc(b.queued, func(x, y queuedTask) int {
		if c := cmp.Compare(x.estimateAbove(jobTime), y.estimateAbove(jobTime)); c != 0 {
			return c
		}
		return cmp.Compare(y.pos, x.pos)
	})
}

// estimateAbove returns the expected run time when it exceeds a limit, and zero otherwise.
func (qt queuedTask) estimateAbove(limit time.Duration) time.Duration {
	if qt.estimate > limit {
		return qt.estimate
	}
	return 0
}

// pop takes out the unit that starts next.
func (b *batch) pop() queuedTask {
	last := len(b.queued) - 1
	qt := b.queued[last]
	b.queued = b.queued[:last]
	b.queuedWork -= qt.estimate
	return qt
}

// takeAt takes out the unit at a place; the last place starts next.
func (b *batch) takeAt(i int) queuedTask {
	qt := b.queued[i]
	b.queued = slices.Delete(b.queued, i, i+1)
	b.queuedWork -= qt.estimate
	return qt
}

// maxShortestScan bounds the tasks among which the shortest is looked for.
const maxShortestScan = 256

// shortestIndex returns the place of the shortest task among those that start last.
func (b *batch) shortestIndex() int {
	shortest := 0
	for i := range min(len(b.queued), maxShortestScan) {
		if b.queued[i].estimate < b.queued[shortest].estimate {
			shortest = i
		}
	}
	return shortest
}

// takeShortest takes out the shortest task among those that start last.
func (b *batch) takeShortest() queuedTask {
	i := b.shortestIndex()
	qt := b.queued[i]
	b.queued[i] = b.queued[0]
	b.queued = b.queued[1:]
	b.queuedWork -= qt.estimate
	return qt
}

// push puts a unit back, to start next.
func (b *batch) push(qt queuedTask) {
	b.queued = append(b.queued, qt)
	b.queuedWork += qt.estimate
}

// clearQueued drops all waiting units.
func (b *batch) clearQueued() {
	for _, qt := range b.queued {
		b.statuses[qt.pos] = statusEnded
	}
	b.queued = b.queued[:0]
	b.queuedWork = 0
}

// done reports whether nothing of the batch waits or runs.
func (b *batch) done() bool {
	return len(b.queued) == 0 && b.inFlight == 0
}

// updatePriority sets the rank: remaining work of the job times its ideal response time,
// over the weight. Least first keeps the mean of response ÷ ideal low. It counts
// half as much for every ageing time since the job was accepted. All ranks shrink
// at the same rate, so their order does not depend on when they are compared.
func (b *batch) updatePriority(weight int, halfLife time.Duration) {
	remaining := max(b.RemainingWork, b.queuedWork, minRemainingWork)
	age := float64(b.AcceptedAt.UnixNano()) / float64(max(halfLife, time.Millisecond))
	b.priority = math.Log2(remaining.Seconds()*b.idealResponse.Seconds()/float64(max(weight, 1))) + age
	b.bucket = BacklogBucket(remaining)
}

// reestimateDivisor is the part of its patience after which a waiting batch is estimated
// again.
const reestimateDivisor = 8

// reestimateAt returns when the batch is estimated again. The first jobs of a class come
// before its run times are known, and by a wrong estimate they might wait behind
// others until their deadline.
func (b *batch) reestimateAt() time.Time {
	return b.AcceptedAt.Add(b.Deadline.Sub(b.AcceptedAt) / reestimateDivisor)
}

// reestimate estimates the waiting tasks again, and the whole job in proportion.
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

// subtractWork takes the expected run time of a started task off the remaining work of
// the job. The other keepers of the job are taken to advance alike, since nothing
// is heard of them until their batches end.
func (b *batch) subtractWork(runTime time.Duration) {
	b.RemainingWork -= time.Duration(float64(runTime) * b.jobWorkRatio)
}
