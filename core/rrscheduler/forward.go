package rrscheduler

import (
	"math"
	"slices"
	"time"

	"rattanring/core/rrtask"
)

// roomier returns the seat of a keeper that is expected to start the job clearly sooner
// than this one, or at all if the job does not fit here. It is empty if there is none.
func (p *Scheduler) roomier(now time.Time, j *job, fits bool) string {
	best, bestWait := "", time.Duration(math.MaxInt64)
	if fits && p.anyUsable() {
		if bestWait = p.startsIn(now, j) - forwardGain; bestWait < 0 {
			return ""
		}
	}
	for seat, l := range p.loads {
		if l.CapacityMillicores == 0 {
			continue
		}
		if (l.ExpectedWait < bestWait || l.ExpectedWait == bestWait && seat < best) && p.maySuit(j, seat, fits) {
			best, bestWait = seat, l.ExpectedWait
		}
	}
	return best
}

func (p *Scheduler) anyUsable() bool {
	return slices.ContainsFunc(p.order, func(m *minion) bool { return m.usable })
}

// startsIn estimates when all tasks of a job that are ready will have started here: after
// the work that waits, and when as many runs have ended as it lacks pieces of room.
func (p *Scheduler) startsIn(now time.Time, j *job) time.Duration {
	wait := p.queueTime()
	lacking := 0
	for ph := range j.Phases {
		if j.ready(ph) {
			lacking += max(j.left[ph]-p.pieces(j, ph), 0)
		}
	}
	return wait + p.frees(now, lacking)
}

// frees estimates when so many runs will have ended.
func (p *Scheduler) frees(now time.Time, n int) time.Duration {
	if n <= 0 {
		return 0
	}
	var ends []time.Time
	for _, m := range p.order {
		for _, r := range m.list {
			ends = append(ends, r.sent.Add(r.expect))
		}
	}
	if len(ends) == 0 {
		return 0
	}
	slices.SortFunc(ends, time.Time.Compare)
	return max(ends[min(n, len(ends))-1].Sub(now), 0)
}

// pieces returns how many tasks of a phase have room now.
func (p *Scheduler) pieces(j *job, ph int) int {
	n := 0
	for _, m := range p.order {
		if m.usable && p.allowed(j, &task{id: TaskID{Job: j.ID, Phase: ph}}, m) {
			n += m.pieces(j.Phases[ph].Resources)
		}
	}
	return n
}

// pieces returns how many times s fits beside what runs.
func (m *minion) pieces(s rrtask.Resources) int {
	n := math.MaxInt
	for _, d := range []struct{ free, used, size uint64 }{
		{uint64(m.Capacity.MilliCores), uint64(m.used.MilliCores), uint64(s.MilliCores)},
		{m.Capacity.MemoryBytes, m.used.MemoryBytes, s.MemoryBytes},
		{uint64(m.Capacity.Accelerators), uint64(m.used.Accelerators), uint64(s.Accelerators)},
	} {
		if d.size > 0 {
			n = min(n, int((d.free-min(d.used, d.free))/d.size))
		}
	}
	return n
}

// cores returns the cores of all tasks that have not run.
func (j *job) cores() uint32 {
	var sum uint32
	for i := range j.Phases {
		sum += uint32(j.left[i]) * j.Phases[i].Resources.MilliCores
	}
	return sum
}

// forward gives a job to another keeper and counts it in what is known of its load.
func (p *Scheduler) forward(now time.Time, j *job, seat string) JobOutcome {
	p.away[j.ID] = forward{seat: seat, at: now}
	l := p.loads[seat]
	l.FreeMillicores -= min(j.cores(), l.FreeMillicores)
	if l.CapacityMillicores > 0 {
		l.ExpectedWait += time.Duration(j.work / float64(l.CapacityMillicores))
	}
	p.loads[seat] = l
	p.Stats.Forwards++
	return JobOutcome{Kind: OutcomeForwarded, Shard: seat}
}

// handOn gives a job that waits here to another keeper.
func (p *Scheduler) handOn(now time.Time, j *job, seat string) {
	p.emit(&LogDecision{Message: "turned away", JobID: j.ID, Detail: seat, Age: now.Sub(j.ReceivedAt)})
	p.replyAll(j, p.forward(now, j, seat))
	p.close(now, j)
}

// observeSize learns the cores of the mean task and the tasks of the mean job.
func (p *Scheduler) observeSize(j *job) {
	for i := range j.Phases {
		size := float64(j.Phases[i].Resources.MilliCores)
		if p.usual == 0 {
			p.usual = size
		}
		p.usual += (size - p.usual) / meanMemory
	}
	if p.tasks == 0 {
		p.tasks = float64(len(j.order))
	}
	p.tasks += (float64(len(j.order)) - p.tasks) / meanMemory
}
