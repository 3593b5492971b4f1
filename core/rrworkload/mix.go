// Package rrworkload draws the arrivals of a measure: jobs of given kinds at a given
// load, the same for the same seed.
package rrworkload

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the run time of one task.
const (
	ShortestTask = 50 * time.Millisecond
	LongestTask  = 5 * time.Second
	longTask     = time.Second // where the tasks of several seconds begin
)

// Task is one task to come.
type Task struct {
	Run    time.Duration // what it takes on a healthy minion
	Expect time.Duration // what the caller declares
}

// Job is one job to come.
type Job struct {
	Arrival  time.Duration // arrival, from the start of the measure
	Tenant   string
	Class    string
	Once     bool // non-idempotent
	Patience time.Duration
	Tasks    []Task
}

// TotalRunTime returns the sum of the run times.
func (j Job) TotalRunTime() time.Duration {
	var sum time.Duration
	for _, t := range j.Tasks {
		sum += t.Run
	}
	return sum
}

// LongestTask returns the longest run time.
func (j Job) LongestTask() time.Duration {
	var most time.Duration
	for _, t := range j.Tasks {
		most = max(most, t.Run)
	}
	return most
}

// IdealResponseTime returns the response time of j on a fleet of its own: as long as its
// longest task or its work shared by all slots takes, plus the round trips.
func (j Job) IdealResponseTime(slots int, trips time.Duration) time.Duration {
	return max(j.LongestTask(), j.TotalRunTime()/time.Duration(slots)) + trips
}

// JobClass describes one kind of job.
type JobClass struct {
	Name          string
	Tenants       []string      // drawn evenly
	Weight        float64       // of jobs, relative to the other kinds
	MinTasks      int           // tasks of the smallest job
	MaxTasks      int           // tasks of the largest job; sizes are even on a logarithmic scale
	MedianRunTime time.Duration // typical run time of a task
	Sigma         float64       // standard deviation of the logarithm of run times
	LongFraction  float64       // share of tasks that take several seconds
	Once          bool          // non-idempotent
}

// Phase is a stretch of constant load.
type Phase struct {
	Length time.Duration
	Load   float64 // work that arrives, as a share of what the slots can do
}

// Workload describes all arrivals of a measure.
type Workload struct {
	Classes             []JobClass
	Phases              []Phase
	Slots               int
	Patience            time.Duration // of each job
	DeclaredErrorFactor float64       // declared run times are off by this factor, up or down by class; zero means 1
}

// Length returns the time in which jobs arrive.
func (p Workload) Length() time.Duration {
	var sum time.Duration
	for _, ph := range p.Phases {
		sum += ph.Length
	}
	return sum
}

// Generate draws the arrivals in order of time.
func (p Workload) Generate(seed uint64) []Job {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var jobs []Job
	var from time.Duration
	for _, ph := range p.Phases {
		jobs = append(jobs, p.phase(rnd, ph, from)...)
		from += ph.Length
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) })
	return jobs
}

// Sample returns one job without an arrival time.
func (p Workload) Sample(seed uint64) Job {
	return p.draw(rand.New(rand.NewPCG(seed, 1)))
}

// phase draws jobs until their work makes up the load, at even random times.
func (p Workload) phase(rnd *rand.Rand, ph Phase, from time.Duration) []Job {
	want := time.Duration(ph.Load * float64(p.Slots) * float64(ph.Length))
	var jobs []Job
	for work := time.Duration(0); work < want; {
		job := p.draw(rnd)
		job.Arrival = from + time.Duration(rnd.Float64()*float64(ph.Length))
		work += job.TotalRunTime()
		if work-want > want-(work-job.TotalRunTime()) {
			break // nearer to the load without this job
		}
		jobs = append(jobs, job)
	}
	return jobs
}

func (p Workload) draw(rnd *rand.Rand) Job {
	i := pick(rnd, p.Classes)
	k := p.Classes[i]
	job := Job{Class: k.Name, Once: k.Once, Patience: p.Patience}
	job.Tenant = k.Tenants[rnd.IntN(len(k.Tenants))]
	job.Tasks = make([]Task, k.size(rnd))
	for n := range job.Tasks {
		job.Tasks[n] = Task{Run: k.run(rnd), Expect: p.declared(i)}
	}
	return job
}

// declared returns what callers say of a task of the given kind.
func (p Workload) declared(kind int) time.Duration {
	run := p.Classes[kind].MedianRunTime
	switch {
	case p.DeclaredErrorFactor == 0:
		return run
	case kind%2 == 0:
		return time.Duration(float64(run) * p.DeclaredErrorFactor)
	}
	return time.Duration(float64(run) / p.DeclaredErrorFactor)
}

func pick(rnd *rand.Rand, kinds []JobClass) int {
	var sum float64
	for _, k := range kinds {
		sum += k.Weight
	}
	x := rnd.Float64() * sum
	for i, k := range kinds {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

func (k JobClass) size(rnd *rand.Rand) int {
	ratio := float64(k.MaxTasks) / float64(k.MinTasks)
	n := float64(k.MinTasks) * math.Pow(ratio, rnd.Float64())
	return min(int(math.Round(n)), k.MaxTasks)
}

func (k JobClass) run(rnd *rand.Rand) time.Duration {
	if rnd.Float64() < k.LongFraction {
		return longTask + time.Duration(rnd.Float64()*float64(LongestTask-longTask))
	}
	run := float64(k.MedianRunTime) * math.Exp(k.Sigma*rnd.NormFloat64())
	return min(max(time.Duration(run), ShortestTask), LongestTask)
}
