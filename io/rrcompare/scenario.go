// Package rrcompare runs the same seeded work through the product and through
// simple dispatchers, each with stand-in minions of its own, and tables what came
// out.
package rrcompare

import (
	"time"

	"rattanring/core/rrworkload"
	"rattanring/io/rrload"
	"rattanring/io/rrstand"
)

const (
	longPatience  = time.Minute
	burstPatience = 10 * time.Second
	bigEvery      = 6 * time.Second // between the jobs of the scenario big
	badMinion     = 7               // the one that breaks
	slowFactor    = 5
	slowEvery     = 10 // one minion in so many is slow
	misjudged     = 10 // factor by which declared run times are off
)

// Disturbance changes the faults of some minions during a run.
type Disturbance struct {
	At      time.Duration
	Minions func(n int) bool // which of them, by number
	Faults  rrstand.Faults
}

// Scenario is one kind of measure.
type Scenario struct {
	Name    string
	Text    string
	Service string
	Zones   []string
	Jobs    func(seed uint64, slots int, length time.Duration) []rrworkload.Job
	Window  func(length time.Duration) rrload.Window // for goodput; nil takes all of the load
	Disturb []Disturbance
}

func (s Scenario) window(length time.Duration) rrload.Window {
	if s.Window != nil {
		return s.Window(length)
	}
	return rrload.Window{To: length}
}

var (
	wales = []string{"caerdydd", "abertawe", "bangor"}
	texas = []string{"tx-aus", "tx-dal", "tx-hou"}
)

// Scenarios returns all scenarios in the order in which they are shown.
func Scenarios() []Scenario {
	return []Scenario{
		agency("even50", "plain mix at 50% load", even(rrworkload.Plain(), 0.5, 0)),
		agency("even80", "plain mix at 80% load", even(rrworkload.Plain(), 0.8, 0)),
		agency("even95", "plain mix at 95% load", even(rrworkload.Plain(), 0.95, 0)),
		agency("big", "one job of 1,700 tasks at a time into an idle fleet", big),
		burst(),
		blackhole(),
		slow(),
		agency("declared10x", "plain mix at 80% load, declared run times 10 times off", even(rrworkload.Plain(), 0.8, misjudged)),
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
	return Scenario{Name: name, Text: text, Service: "torri", Zones: wales, Jobs: jobs}
}

// even returns jobs at constant load.
func even(kinds []rrworkload.JobClass, load, misjudge float64) jobsFunc {
	return func(seed uint64, slots int, length time.Duration) []rrworkload.Job {
		p := rrworkload.Workload{Classes: kinds, Slots: slots, Timeout: longPatience, DeclaredErrorFactor: misjudge}
		p.Phases = []rrworkload.Phase{{Length: length, Load: load}}
		return p.Generate(seed)
	}
}

// big returns jobs that find the fleet idle.
func big(seed uint64, slots int, length time.Duration) []rrworkload.Job {
	var jobs []rrworkload.Job
	for at := time.Duration(0); at < length; at += bigEvery {
		job := rrworkload.Workload{Classes: rrworkload.Huge(), Slots: slots, Timeout: longPatience}.Sample(seed + uint64(at))
		job.Arrival = at
		jobs = append(jobs, job)
	}
	return jobs
}

// burst has a middle part with three times the work that the slots can do.
func burst() Scenario {
	s := agency("burst3x", "plain mix at 50%, then at 300%, then at 50% load", func(seed uint64, slots int, length time.Duration) []rrworkload.Job {
		p := rrworkload.Workload{Classes: rrworkload.Plain(), Slots: slots, Timeout: burstPatience}
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
	s.Disturb = []Disturbance{{
		At:      5 * time.Second,
		Minions: func(n int) bool { return n == badMinion },
		Faults:  rrstand.Faults{Broken: true},
	}}
	return s
}

func slow() Scenario {
	s := agency("slow", "plain mix at 70% load, one minion in ten 5 times slower", even(rrworkload.Plain(), 0.7, 0))
	s.Disturb = []Disturbance{{
		Minions: func(n int) bool { return n%slowEvery == 0 },
		Faults:  rrstand.Faults{Slow: slowFactor},
	}}
	return s
}

func loneStar() Scenario {
	s := agency("lonestar", "single captures, each at most once, among holds and scores at 80% load", even(rrworkload.LoneStar(), 0.8, 0))
	s.Service, s.Zones = "lanedesk", texas
	return s
}
