package rrstand

import (
	"fmt"
	"time"
)

// drainPollInterval is how often Drain checks whether tasks still run.
const drainPollInterval = 10 * time.Millisecond

// Fleet is a set of minions in one process.
type Fleet struct {
	Servers []*Server
}

// StartFleet starts n minions with the given slots, named PREFIX-0 and so on.
func StartFleet(prefix string, n, slots int) (*Fleet, error) {
	f := &Fleet{}
	for i := range n {
		s, err := Serve(&Minion{Name: fmt.Sprintf("%s-%d", prefix, i), Slots: slots})
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Servers = append(f.Servers, s)
	}
	return f, nil
}

// Addrs returns the address of each minion.
func (f *Fleet) Addrs() []string {
	var addrs []string
	for _, s := range f.Servers {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// Tally returns the counts of all minions, combined with Tally.Add.
func (f *Fleet) Tally() Tally {
	var sum Tally
	for _, s := range f.Servers {
		sum.Add(s.Minion.Tally())
	}
	return sum
}

// Runs returns the runs of each task on all minions. The keys have the form JOB/INDEX.
// If a task started on several minions, the times are those of the last of them in
// Servers.
func (f *Fleet) Runs() map[string]TaskRuns {
	all := make(map[string]TaskRuns)
	for _, s := range f.Servers {
		for task, taskRuns := range s.Minion.Runs() {
			taskRuns.Starts += all[task].Starts
			all[task] = taskRuns
		}
	}
	return all
}

// Drain makes all minions refuse new tasks and waits at most limit for their tasks to
// end. It reports whether all have ended.
func (f *Fleet) Drain(limit time.Duration) bool {
	for _, s := range f.Servers {
		faults := s.Minion.Faults()
		faults.Draining = true
		s.Minion.SetFaults(faults)
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(drainPollInterval) {
		if f.running() == 0 {
			return true
		}
	}
	return f.running() == 0
}

func (f *Fleet) running() int {
	n := 0
	for _, s := range f.Servers {
		n += s.Minion.Running()
	}
	return n
}

// Close stops all minions at once.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Close()
	}
}
