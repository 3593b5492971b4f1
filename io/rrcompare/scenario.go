// Package rrcompare runs the same seeded workload with the product and with simple
// dispatchers, each on its own stand-in minions, and prints the results as tables.
package rrcompare

import (
	"time"

	"rattanring/core/rrworkload"
	"rattanring/io/rrload"
	"rattanring/io/rrstand"
)

const (
	longTimeout         = time.Minute
	burstTimeout        = 10 * time.Second
	bigJobInterval      = 6 * time.Second // time between two jobs of the scenario big
	brokenMinion        = 7               // index of the minion that fails all tasks
	slowFactor          = 5
	slowEvery           = 10 // every slowEvery-th minion is slow
	declaredErrorFactor = 10 // factor by which declared run times differ from the real ones
)

// Disturbance changes the faults of some minions during a run.
type Disturbance struct {
	At      time.Duration
	Affects func(n int) bool // selects the minions by their index
	Faults  rrstand.Faults
}

// Scenario is a workload with disturbances that a comparison runs.
type Scenario struct {
	Name         string
	Description  string
	Service      string
	Zones        []string
	Jobs         func(seed uint64, slots int, length time.Duration) []rrworkload.Job
	Window       func(length time.Duration) rrload.Window // of the goodput; nil means the whole load
	Disturbances []Disturbance
}

func (s Scenario) window(length time.Duration) rrload.Window {
	if s.Window != nil {
		return s.Window(length)
	}
	return rrload.Window{To: length}
}

var (
	welshZones = []string{"caerdydd", "abertawe", "bangor"}
	texanZones = []string{"tx-aus", "tx-dal", "tx-hou"}
)

// Scenarios returns all scenarios in the order in which help texts list them.
func Scenarios() []Scenario {
	return []Scenario{
		agency("even50", "plain mix at 50% load", even(rrworkload.Plain(), 0.5, 0)),
		agency("even80", "plain mix at 80% load", even(rrworkload.Plain(), 0.8, 0)),
		agency("even95", "plain mix at 95% load", even(rrworkload.Plain(), 0.95, 0)),
		agency("big", "one job of 1,700 tasks at a time into an idle fleet", big),
		burst(),
		blackhole(),
		slow(),
		agency("declared10x", "plain mix at 80% load, declared run times 10 times off", even(rrworkload.Plain(), 0.8, declaredErrorFactor)),
		agency("agency", "proofs, cuts and checks at 80% load", even(rrworkload.Agency(), 0.8, 0)),
		loneStar(),
	}
}

// Find returns the scenario of the given name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

type jobsFunc func(seed uint64, slots int, length time.Duration) []rrworkload.Job

func agency(name, text string, jobs jobsFunc) Scenario {
	return Scenario{Name: name, Description: text, Service: "torri", Zones: welshZones, Jobs: jobs}
}

// even returns a generator of jobs at constant load.
func even(kinds []rrworkload.JobClass, load, declaredError float64) jobsFunc {
	return func(seed uint64, slots int, length time.Duration) []rrworkload.Job {
		p := rrworkload.Workload{Classes: kinds, Slots: slots, Timeout: longTimeout, DeclaredErrorFactor: declaredError}
		p.Phases = []rrworkload.Phase{{Length: length, Load: load}}
		return p.Generate(seed)
	}
}

// big returns jobs with enough time between them for the fleet to become idle.
func big(seed uint64, slots int, length time.Duration) []rrworkload.Job {
	var jobs []rrworkload.Job
	for at := time.Duration(0); at < length; at += bigJobInterval {
		job := rrworkload.Workload{Classes: rrworkload.Huge(), Slots: slots, Timeout: longTimeout}.Sample(seed + uint64(at))
		job.Arrival = at
		jobs = append(jobs, job)
	}
	return jobs
}

// burst returns a scenario whose middle part has three times the load that the slots
// can carry.
func burst() Scenario {
	s := agency("burst3x", "plain mix at 50%, then at 300%, then at 50% load", func(seed uint64, slots int, length time.Duration) []rrworkload.Job {
		p := rrworkload.Workload{Classes: rrworkload.Plain(), Slots: slots, Timeout: burstTimeout}
		p.Phases = []rrworkload.Phase{{Length: length / 4, Load: 0.5}, {Length: length / 2, Load: 3}, {Length: length / 4, Load: 0.5}}
		return p.Generate(seed)
	})
	s.Window = func(length time.Duration) rrload.Window {
		return rrload.Window{From: length/4 + time.Second, To: length * 3 / 4}
	}
	return s
}

func blackhole() Scenario {
	s := agency("blackhole", "plain mix at 80% load, one minion fails everything at once from 5 s on", even(rrworkload.Plain(), 0.8, 0))
	s.Disturbances = []Disturbance{{
		At:      5 * time.Second,
		Affects: func(n int) bool { return n == brokenMinion },
		Faults:  rrstand.Faults{FailTasks: true},
	}}
	return s
}

func slow() Scenario {
	s := agency("slow", "plain mix at 70% load, one minion in ten 5 times slower", even(rrworkload.Plain(), 0.7, 0))
	s.Disturbances = []Disturbance{{
		Affects: func(n int) bool { return n%slowEvery == 0 },
		Faults:  rrstand.Faults{SlowFactor: slowFactor},
	}}
	return s
}

func loneStar() Scenario {
	s := agency("lonestar", "single captures, each at most once, among holds and scores at 80% load", even(rrworkload.LoneStar(), 0.8, 0))
	s.Service, s.Zones = "lanedesk", texanZones
	return s
}
