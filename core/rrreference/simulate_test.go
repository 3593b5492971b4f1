package rrreference

import (
	"reflect"
	"testing"
	"time"

	"rattanring/core/rrworkload"
)

func job(at time.Duration, runs ...time.Duration) rrworkload.Job {
	j := rrworkload.Job{Arrival: at}
	for _, run := range runs {
		j.Tasks = append(j.Tasks, rrworkload.Task{RunTime: run})
	}
	return j
}

func TestSimulate(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name  string
		slots int
		order Order
		jobs  []rrworkload.Job
		want  []time.Duration
	}{
		{"empty", 1, AsListed, nil, []time.Duration{}},
		{"one slot", 1, AsListed, []rrworkload.Job{job(0, s, s)}, []time.Duration{2 * s}},
		{"two slots, as listed", 2, AsListed, []rrworkload.Job{job(0, s, s, 2*s)}, []time.Duration{3 * s}},
		{"two slots, longest first", 2, LongestFirst, []rrworkload.Job{job(0, s, s, 2*s)}, []time.Duration{2 * s}},
		{"shortest job first", 1, LongestFirst, []rrworkload.Job{job(0, s, s, s), job(s/2, s/4)}, []time.Duration{3*s + s/4, 3 * s / 4}},
		{"idle between", 1, AsListed, []rrworkload.Job{job(0, s), job(5*s, s)}, []time.Duration{s, s}},
	}
	for _, test := range tests {
		got := Simulate(test.jobs, test.slots, test.order)
		if !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
