package rrplacement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrdispatcher"
)

// keeper returns one of 10 slots with so many busy and so much running.
func keeper(name string, busy int, running time.Duration) Candidate {
	return Candidate{Name: name, Local: name == "own", Load: rrdispatcher.Load{UsableSlots: 10, BusySlots: busy, RunningWork: running}}
}

func TestSplit(t *testing.T) {
	idle := []Candidate{keeper("own", 0, 0), keeper("a", 0, 0), keeper("b", 0, 0)}
	busy := []Candidate{keeper("own", 10, 20*time.Second), keeper("a", 0, 0), keeper("b", 10, 20*time.Second)}
	tests := []struct {
		name    string
		tasks   int
		keepers []Candidate
		want    string
	}{
		{"no keeper", 5, nil, ""},
		{"a small job stays", 5, idle, "own:5"},
		{"a job of all slots is shared", 30, idle, "own:10 a:10 b:10"},
		{"a large job is shared evenly", 300, idle, "own:100 a:100 b:100"},
		{"a busy keeper sends work to an idle one", 40, busy, "a:40"},
		{"a quarantined keeper gets nothing", 300, []Candidate{keeper("own", 0, 0), {Name: "a"}}, "own:300"},
	}
	for _, tc := range tests {
		ask := Request{RunTimes: make([]time.Duration, tc.tasks), MinBatchTasks: 8, MinGain: 0.1}
		for i := range ask.RunTimes {
			ask.RunTimes[i] = 100 * time.Millisecond
			ask.RemainingWork += ask.RunTimes[i]
		}
		var got []string
		seen := make(map[int]bool)
		for _, s := range Split(ask, tc.keepers).Assignments {
			got = append(got, fmt.Sprintf("%s:%d", s.Name, len(s.Tasks)))
			for _, at := range s.Tasks {
				if seen[at] {
					t.Errorf("%s: task %d is in two shares", tc.name, at)
				}
				seen[at] = true
			}
		}
		if g := strings.Join(got, " "); g != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, g, tc.want)
		}
	}
}
