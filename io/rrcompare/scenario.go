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
	longTimeout         = time.Minute      // of each job, except in the scenario burst3x
	burstTimeout        = 10 * time.Second // of each job in the scenario burst3x
	bigJobInterval      = 6 * time.Second  // time between two jobs of the scenario big
	brokenMinion        = 7                // index of the minion that fails all tasks
	slowFactor          = 5
	slowEvery           = 10 // every slowEvery-th minion is slow
	declaredErrorFactor = 10 // factor by which declared run times differ from the real ones
)

// Disturbance changes the faults of some minions during a run.
type Disturbance struct {
	At      time.Duration
	Affects func(n int) bool // reports whether the minion with index n gets the faults
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
		newScenario("even50", "plain mix at 50% load", constantLoad(rrworkload.PlainClasses(), 0.5, 0)),
		newScenario("even80", "plain mix at 80% load", constantLoad(rrworkload.PlainClasses(), 0.8, 0)),
		newScenario("even95", "plain mix at 95% load", constantLoad(rrworkload.PlainClasses(), 0.95, 0)),
		newScenario("big", "one job of 1,700 tasks at a time into an idle fleet", big),
		burst(),
		blackhole(),
		slow(),
		newScenario("declared10x", "plain mix at 80% load, declared run times 10 times off", constantLoad(rrworkload.PlainClasses(), 0.8, declaredErrorFactor)),
		newScenario("agency", "proofs, cuts and checks at 80% load", constantLoad(rrworkload.AgencyClasses(), 0.8, 0)),
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

// newScenario returns a scenario of the service torri in the Welsh zones.
func newScenario(name, description string, jobs jobsFunc) Scenario {
	return Scenario{Name: name, Description: description, Service: "torri", Zones: welshZones, Jobs: jobs}
}

// constantLoad returns a generator of jobs at constant load. Declared run times are off
// by errorFactor; zero means exact.
func constantLoad(kinds []rrworkload.JobClass, load, errorFactor float64) jobsFunc {
	return func(seed uint64, slots int, length time.Duration) []rrworkload.Job {
		w := rrworkload.Workload{Classes: kinds, Slots: slots, Timeout: longTimeout, DeclaredErrorFactor: errorFactor}
		w.Phases = []rrworkload.Phase{{Length: length, Load: load}}
		return w.Generate(seed)
	}
}

// big returns jobs with enough time between them for the fleet to become idle.
func big(seed uint64, slots int, length time.Duration) []rrworkload.Job {
	var jobs []rrworkload.Job
	for at := time.Duration(0); at < length; at += bigJobInterval {
		job := rrworkload.Workload{Classes: rrworkload.HugeClasses(), Slots: slots, Timeout: longTimeout}.Sample(seed + uint64(at))
		job.Arrival = at
		jobs = append(jobs, job)
	}
	return jobs
}

// burst returns a scenario whose middle part has three times the load that the slots
// can carry.
func burst() Scenario {
	s := newScenario("burst3x", "plain mix at 50%, then at 300%, then at 50% load", func(seed uint64, slots int, length time.Duration) []rrworkload.Job {
		w := rrworkload.Workload{Classes: rrworkload.PlainClasses(), Slots: slots, Timeout: burstTimeout}
		w.Phases = []rrworkload.Phase{{Length: length / 4, Load: 0.5}, {Length: length / 2, Load: 3}, {Length: length / 4, Load: 0.5}}
		return w.Generate(seed)
	})
	s.Window = func(length time.Duration) rrload.Window {
		// The window is the burst without its first second.
		return rrload.Window{From: length/4 + time.Second, To: length * 3 / 4}
	}
	return s
}

func blackhole() Scenario {
	s := newScenario("blackhole", "plain mix at 80% load, one minion fails everything at once from 5 s on", constantLoad(rrworkload.PlainClasses(), 0.8, 0))
	s.Disturbances = []Disturbance{{
		At:      5 * time.Second,
		Affects: func(n int) bool { return n == brokenMinion },
		Faults:  rrstand.Faults{FailTasks: true},
	}}
	return s
}

func slow() Scenario {
	s := newScenario("slow", "plain mix at 70% load, one minion in ten 5 times slower", constantLoad(rrworkload.PlainClasses(), 0.7, 0))
	s.Disturbances = []Disturbance{{
		Affects: func(n int) bool { return n%slowEvery == 0 },
		Faults:  rrstand.Faults{SlowFactor: slowFactor},
	}}
	return s
}

func loneStar() Scenario {
	s := newScenario("lonestar", "single captures, each at most once, among holds and scores at 80% load", constantLoad(rrworkload.LoneStarClasses(), 0.8, 0))
	s.Service, s.Zones = "lanedesk", texanZones
	return s
}
