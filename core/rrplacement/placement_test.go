package rrplacement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rattanring/core/rrdispatcher"
)

// owner returns an owner of 10 slots with the given number of busy slots and amount of
// running work.
func owner(name string, busy int, running time.Duration) Candidate {
	return Candidate{Name: name, Local: name == "own", Load: rrdispatcher.Load{UsableSlots: 10, BusySlots: busy, RunningWork: running}}
}

func TestSplit(t *testing.T) {
	idle := []Candidate{owner("own", 0, 0), owner("a", 0, 0), owner("b", 0, 0)}
	busy := []Candidate{owner("own", 10, 20*time.Second), owner("a", 0, 0), owner("b", 10, 20*time.Second)}
	tests := []struct {
		name   string
		tasks  int
		owners []Candidate
		want   string
	}{
		{"no owner", 5, nil, ""},
		{"a small job stays", 5, idle, "own:5"},
		{"a job of all slots is shared", 30, idle, "own:10 a:10 b:10"},
		{"a large job is shared evenly", 300, idle, "own:100 a:100 b:100"},
		{"a busy owner sends work to an idle one", 40, busy, "a:40"},
		{"a quarantined owner gets nothing", 300, []Candidate{owner("own", 0, 0), {Name: "a"}}, "own:300"},
	}
	for _, tc := range tests {
		req := Request{RunTimes: make([]time.Duration, tc.tasks), MinBatchTasks: 8, MinReduction: 0.1}
		for i := range req.RunTimes {
			req.RunTimes[i] = 100 * time.Millisecond
			req.RemainingWork += req.RunTimes[i]
		}
		var got []string
		seen := make(map[int]bool)
		for _, assignment := range Split(req, tc.owners).Assignments {
			got = append(got, fmt.Sprintf("%s:%d", assignment.Name, len(assignment.Tasks)))
			for _, index := range assignment.Tasks {
				if seen[index] {
					t.Errorf("%s: task %d is in two assignments", tc.name, index)
				}
				seen[index] = true
			}
		}
		if g := strings.Join(got, " "); g != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, g, tc.want)
		}
	}
}
