package rrkeep

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
	passed   int           // tasks that ran well
	failed   int           // tasks that ran and failed
	returned []int         // indexes given back by Take
	dropped  bool          // canceled, or given back when the keeper left
	rank     float64       // smaller starts first
	octave   int           // of the remaining work
	counted  counted       // its part of the pool's totals
	place    int           // in line.batches; -1 when no task waits
	due      int           // in Keeper.due; -1 when no task waits or none has a deadline
}

// queue puts tasks in the order in which they start: long ones first.
func (b *batch) queue(estimate func(*rrtask.Task) time.Duration) {
	mixed := false
	b.phases = append(b.phases, make([]phase, len(b.Tasks))...)
	for i := range b.Tasks {
		est := estimate(&b.Tasks[i])
		mixed = mixed || est != b.units0(est)
		b.units = append(b.units, unit{task: int32(i), est: est})
		b.work += est
	}
	if !mixed {
		slices.Reverse(b.units)
		return
	}
	slices.SortFunc(b.units, func(x, y unit) int {
		if c := cmp.Compare(x.est, y.est); c != 0 {
			return c
		}
		return cmp.Compare(y.task, x.task)
	})
}

// units0 returns the estimate of the first unit, or est when there is none.
func (b *batch) units0(est time.Duration) time.Duration {
	if len(b.units) == 0 {
		return est
	}
	return b.units[0].est
}

// pop takes out the unit that starts next.
func (b *batch) pop() unit {
	last := len(b.units) - 1
	u := b.units[last]
	b.units = b.units[:last]
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

// score sets the rank. Remaining work counts half as much for every ageing time
// since the job was accepted. All ranks shrink at the same rate, so their order
// does not depend on the time at which they are compared.
func (b *batch) score(weight int, ageing time.Duration) {
	rest := max(b.Rest, b.work, minRest).Seconds()
	age := float64(b.Accepted.UnixNano()) / float64(max(ageing, time.Millisecond))
	b.rank = math.Log2(rest/float64(max(weight, 1))) + age
	b.octave = Octave(max(b.Rest, b.work))
}
