// Package rrworkload generates the arrivals of a measurement: random jobs of given
// classes at a given load. The same seed gives the same jobs.
package rrworkload

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the run time of one task.
const (
	MinTaskRunTime = 50 * time.Millisecond
	MaxTaskRunTime = 5 * time.Second
	minLongRunTime = time.Second // run time from which a task is long, see JobClass.LongFraction
)

// Task is one generated task.
type Task struct {
	RunTime         time.Duration // run time on a healthy minion
	DeclaredRunTime time.Duration // run time that the caller declares
}

// Job is one generated job.
type Job struct {
	Arrival       time.Duration // since the start of the measurement
	Tenant        string
	Class         string
	NonIdempotent bool
	Timeout       time.Duration
	Tasks         []Task
}

// TotalRunTime returns the sum of the run times.
func (j Job) TotalRunTime() time.Duration {
	var sum time.Duration
	for _, t := range j.Tasks {
		sum += t.RunTime
	}
	return sum
}

// LongestRunTime returns the run time of the longest task.
func (j Job) LongestRunTime() time.Duration {
	var longest time.Duration
	for _, t := range j.Tasks {
		longest = max(longest, t.RunTime)
	}
	return longest
}

// IdealResponseTime returns the response time of j on an otherwise idle fleet: the run
// time of its longest task or its work divided by the slots, whichever is longer, plus
// roundTripTime.
func (j Job) IdealResponseTime(slots int, roundTripTime time.Duration) time.Duration {
	return max(j.LongestRunTime(), j.TotalRunTime()/time.Duration(slots)) + roundTripTime
}

// JobClass describes one kind of job.
type JobClass struct {
	Name          string
	Tenants       []string      // chosen with equal probability
	Weight        float64       // relative number of jobs among the classes
	MinTasks      int           // tasks of the smallest job
	MaxTasks      int           // tasks of the largest job; the logarithm of the number of tasks is uniformly distributed
	MedianRunTime time.Duration // of a task that is not long
	Sigma         float64       // standard deviation of the logarithm of run times
	LongFraction  float64       // fraction of tasks that take minLongRunTime to MaxTaskRunTime
	NonIdempotent bool
}

// Phase is a period of constant load.
type Phase struct {
	Length time.Duration
	Load   float64 // arriving work as a fraction of the capacity of the slots
}

// Workload describes all arrivals of a measurement.
type Workload struct {
	Classes             []JobClass
	Phases              []Phase
	Slots               int
	Timeout             time.Duration // of each job
	DeclaredErrorFactor float64       // multiplies the declared run times of classes with even indexes and divides those of the others; zero means 1
}

// Length returns the period in which jobs arrive.
func (w Workload) Length() time.Duration {
	var sum time.Duration
	for _, ph := range w.Phases {
		sum += ph.Length
	}
	return sum
}

// Generate returns the jobs in order of arrival.
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

// drawPhase returns jobs whose total work comes closest to the load of ph, with
// uniformly distributed arrivals after from.
func (w Workload) drawPhase(rnd *rand.Rand, ph Phase, from time.Duration) []Job {
	wantWork := time.Duration(ph.Load * float64(w.Slots) * float64(ph.Length))
	var jobs []Job
	for work := time.Duration(0); work < wantWork; {
		job := w.drawJob(rnd)
		job.Arrival = from + time.Duration(rnd.Float64()*float64(ph.Length))
		work += job.TotalRunTime()
		if work-wantWork > wantWork-(work-job.TotalRunTime()) {
			break // the total is closer to the load without this job
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
		job.Tasks[n] = Task{RunTime: class.drawRunTime(rnd), DeclaredRunTime: w.declaredRunTime(i)}
	}
	return job
}

// declaredRunTime returns the run time that callers declare for a task of the class
// with the given index.
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
		return minLongRunTime + time.Duration(rnd.Float64()*float64(MaxTaskRunTime-minLongRunTime))
	}
	run := float64(c.MedianRunTime) * math.Exp(c.Sigma*rnd.NormFloat64())
	return min(max(time.Duration(run), MinTaskRunTime), MaxTaskRunTime)
}
