package rrdispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// minRest is the least remaining work that ranks a batch.
const minRest = time.Millisecond

// unit is one task of a batch that has not started.
type unit struct {
	task  int32         // position in Batch.Tasks
	tries int32         // sends that did not start it
	avoid *minion       // refused it last; nil for none
	est   time.Duration // expected run time
}

// batch is what a keeper knows of one Batch.
type batch struct {
	Batch
	pool     *pool
	line     *line
	units    []unit        // not started, the next one last
	phases   []phase       // of all tasks, by position
	work     time.Duration // expected run time of units
	running  int           // sends in flight
	tallies  []tally       // how its tasks ended, by minion
	returned []int         // indexes given back by Reclaim
	dropped  bool          // canceled, or given back when the keeper left
	size     time.Duration // remaining work of the job when it was added
	scale    float64       // work of the whole job for each part of the batch's own
	least    time.Duration // expected run time of its shortest task when it was added
	ideal    time.Duration // response time of the job on an idle fleet
	rank     float64       // smaller starts first
	reviewed bool          // it was estimated again
	octave   int           // of the remaining work
	counted  counted       // its part of the pool's totals
	place    int           // in line.batches; -1 when no task waits
	blocked  time.Time     // since when its next task fits on no worker; zero otherwise
	due      int           // in Dispatcher.due; -1 when no task waits or none has a deadline
	late     int           // in Dispatcher.late; -1 when no task waits or the batch was reviewed
}

// queue lists all tasks in the order in which they start. Fleet and own are the
// slots of the fleet and of the pool.
func (b *batch) queue(fleet, own int, estimate func(*rrtask.Task) time.Duration) {
	b.phases = append(b.phases, make([]phase, len(b.Tasks))...)
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for i := len(b.Tasks) - 1; i >= 0; i-- {
		est := estimate(&b.Tasks[i])
		b.units = append(b.units, unit{task: int32(i), est: est})
		b.work += est
		shortest = min(shortest, est)
		longest = max(longest, est)
	}
	b.least = shortest
	b.size = max(b.RemainingWork, b.work)
	b.scale = float64(b.size) / float64(max(b.work, 1))
	b.ideal = max(longest, b.size/time.Duration(fleet), minRest)
	job := max(b.size/time.Duration(fleet), b.work/time.Duration(own)) / longPart
	if shortest < longest && longest > job {
		b.arrange(job)
	}
}

// longPart is the part of the job's time on all slots from which on a task counts
// as long: a longer one that starts last would hold the job up by as much.
const longPart = 8

// arrange puts first the tasks that run longer than the whole job takes on all
// slots, the longest at the front. The others keep their order: all long ones first
// would fill every slot for long, and the next short job would wait.
func (b *batch) arrange(job time.Duration) {
	slices.SortFunc(b.units, func(x, y unit) int {
		if c := cmp.Compare(x.over(job), y.over(job)); c != 0 {
			return c
		}
		return cmp.Compare(y.task, x.task)
	})
}

// over returns the expected run time when it exceeds a limit, and zero otherwise.
func (u unit) over(limit time.Duration) time.Duration {
	if u.est > limit {
		return u.est
	}
	return 0
}

// pop takes out the unit that starts next.
func (b *batch) pop() unit {
	last := len(b.units) - 1
	u := b.units[last]
	b.units = b.units[:last]
	b.work -= u.est
	return u
}

// take takes out the unit at a place; the last place starts next.
func (b *batch) take(i int) unit {
	u := b.units[i]
	b.units = slices.Delete(b.units, i, i+1)
	b.work -= u.est
	return u
}

// maxShortest bounds the tasks among which the shortest is looked for.
const maxShortest = 256

// shortest returns the place of the shortest task among those that start last.
func (b *batch) shortest() int {
	best := 0
	for i := range min(len(b.units), maxShortest) {
		if b.units[i].est < b.units[best].est {
			best = i
		}
	}
	return best
}

// takeShort takes out the shortest task among those that start last.
func (b *batch) takeShort() unit {
	i := b.shortest()
	u := b.units[i]
	b.units[i] = b.units[0]
	b.units = b.units[1:]
	b.work -= u.est
	return u
}

// push puts a unit back, to start next.
func (b *batch) push(u unit) {
	b.units = append(b.units, u)
	b.work += u.est
}

// clear drops all waiting units.
func (b *batch) clear() {
	for _, u := range b.units {
		b.phases[u.task] = ended
	}
	b.units = b.units[:0]
	b.work = 0
}

// over reports whether nothing of the batch waits or runs.
func (b *batch) over() bool {
	return len(b.units) == 0 && b.running == 0
}

// score sets the rank: remaining work of the job times its ideal response time,
// over the weight. Least first keeps the mean of response ÷ ideal low. It counts
// half as much for every ageing time since the job was accepted. All ranks shrink
// at the same rate, so their order does not depend on when they are compared.
func (b *batch) score(weight int, ageing time.Duration) {
	rest := max(b.RemainingWork, b.work, minRest)
	age := float64(b.AcceptedAt.UnixNano()) / float64(max(ageing, time.Millisecond))
	b.rank = math.Log2(rest.Seconds()*b.ideal.Seconds()/float64(max(weight, 1))) + age
	b.octave = BacklogBucket(rest)
}

// reviewPart is the part of its patience after which a waiting batch is estimated
// again.
const reviewPart = 8

// reviewAt returns when the batch is estimated again. The first jobs of a class come
// before its run times are known, and by a wrong estimate they might wait behind
// others until their deadline.
func (b *batch) reviewAt() time.Time {
	return b.AcceptedAt.Add(b.Deadline.Sub(b.AcceptedAt) / reviewPart)
}

// review estimates the waiting tasks again, and the whole job in proportion.
func (b *batch) review(estimate func(*rrtask.Task) time.Duration) {
	before := b.work
	b.work = 0
	for i := range b.units {
		u := &b.units[i]
		u.est = estimate(&b.Tasks[u.task])
		b.work += u.est
	}
	change := float64(b.work) / float64(max(before, 1))
	b.RemainingWork = time.Duration(float64(b.RemainingWork) * change)
	b.ideal = time.Duration(float64(b.ideal) * change)
}

// advance takes the expected run time of a started task off the remaining work of
// the job. The other keepers of the job are taken to advance alike, since nothing
// is heard of them until their batches end.
func (b *batch) advance(est time.Duration) {
	b.RemainingWork -= time.Duration(float64(est) * b.scale)
}
