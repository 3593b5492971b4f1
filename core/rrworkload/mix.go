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
	minLongTask  = time.Second // where the tasks of several seconds begin
)

// Task is one task to come.
type Task struct {
	Run             time.Duration // what it takes on a healthy minion
	DeclaredRunTime time.Duration // what the caller declares
}

// Job is one job to come.
type Job struct {
	Arrival       time.Duration // arrival, from the start of the measure
	Tenant        string
	Class         string
	NonIdempotent bool // non-idempotent
	Timeout       time.Duration
	Tasks         []Task
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
	var longest time.Duration
	for _, t := range j.Tasks {
		longest = max(longest, t.Run)
	}
	return longest
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
	NonIdempotent bool          // non-idempotent
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
	Timeout             time.Duration // of each job
	DeclaredErrorFactor float64       // declared run times are off by this factor, up or down by class; zero means 1
}

// Length returns the time in which jobs arrive.
func (w Workload) Length() time.Duration {
	var sum time.Duration
	for _, ph := range w.Phases {
		sum += ph.Length
	}
	return sum
}

// Generate draws the arrivals in order of time.
func (w Workload) Generate(seed uint64) []Job {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var jobs []Job
	var from time.Duration
	for _, ph := range w.Phases {
		jobs = append(jobs, w.drawPhase(rnd, ph, from)...)
		from += ph.Length
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) })
	return jobs
}

// Sample returns one job without an arrival time.
func (w Workload) Sample(seed uint64) Job {
	return w.drawJob(rand.New(rand.NewPCG(seed, 1)))
}

// drawPhase draws jobs until their work makes up the load, at even random times.
func (w Workload) drawPhase(rnd *rand.Rand, ph Phase, from time.Duration) []Job {
	wantWork := time.Duration(ph.Load * float64(w.Slots) * float64(ph.Length))
	var jobs []Job
	for work := time.Duration(0); work < wantWork; {
		job := w.drawJob(rnd)
		job.Arrival = from + time.Duration(rnd.Float64()*float64(ph.Length))
		work += job.TotalRunTime()
		if work-wantWork > wantWork-(work-job.TotalRunTime()) {
			break // nearer to the load without this job
		}
		jobs = append(jobs, job)
	}
	return jobs
}

func (w Workload) drawJob(rnd *rand.Rand) Job {
	i := pickClass(rnd, w.Classes)
	class := w.Classes[i]
	job := Job{Class: class.Name, NonIdempotent: class.NonIdempotent, Timeout: w.Timeout}
	job.Tenant = class.Tenants[rnd.IntN(len(class.Tenants))]
	job.Tasks = make([]Task, class.drawTaskCount(rnd))
	for n := range job.Tasks {
		job.Tasks[n] = Task{Run: class.drawRunTime(rnd), DeclaredRunTime: w.declaredRunTime(i)}
	}
	return job
}

// declaredRunTime returns what callers say of a task of the given kind.
func (w Workload) declaredRunTime(class int) time.Duration {
	run := w.Classes[class].MedianRunTime
	switch {
	case w.DeclaredErrorFactor == 0:
		return run
	case class%2 == 0:
		return time.Duration(float64(run) * w.DeclaredErrorFactor)
	}
	return time.Duration(float64(run) / w.DeclaredErrorFactor)
}

func pickClass(rnd *rand.Rand, classes []JobClass) int {
	var sum float64
	for _, c := range classes {
		sum += c.Weight
	}
	x := rnd.Float64() * sum
	for i, c := range classes {
		if x -= c.Weight; x < 0 {
			return i
		}
	}
	return len(classes) - 1
}

func (c JobClass) drawTaskCount(rnd *rand.Rand) int {
	ratio := float64(c.MaxTasks) / float64(c.MinTasks)
	n := float64(c.MinTasks) * math.Pow(ratio, rnd.Float64())
	return min(int(math.Round(n)), c.MaxTasks)
}

func (c JobClass) drawRunTime(rnd *rand.Rand) time.Duration {
	if rnd.Float64() < c.LongFraction {
		return minLongTask + time.Duration(rnd.Float64()*float64(LongestTask-minLongTask))
	}
	run := float64(c.MedianRunTime) * math.Exp(c.Sigma*rnd.NormFloat64())
	return min(max(time.Duration(run), ShortestTask), LongestTask)
}
