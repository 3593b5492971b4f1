package rrstand

import (
	"fmt"
	"time"
)

// drainPoll is how often a leaving fleet looks whether its tasks have ended.
const drainPoll = 10 * time.Millisecond

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

// Tally returns the sum over all minions.
func (f *Fleet) Tally() Tally {
	var sum Tally
	for _, s := range f.Servers {
		sum.Add(s.Minion.Tally())
	}
	return sum
}

// Starts returns how often each task was started over all minions.
func (f *Fleet) Starts() map[string]int {
	sum := make(map[string]int)
	for _, s := range f.Servers {
		for task, n := range s.Minion.Starts() {
			sum[task] += n
		}
	}
	return sum
}

// Drain makes all minions leave and waits until their tasks have ended, at most
// for the given time. It reports whether all ended.
func (f *Fleet) Drain(limit time.Duration) bool {
	for _, s := range f.Servers {
		faults := s.Minion.Faults()
		faults.Leaving = true
		s.Minion.Set(faults)
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(drainPoll) {
		if f.busy() == 0 {
			return true
		}
	}
	return f.busy() == 0
}

func (f *Fleet) busy() int {
	n := 0
	for _, s := range f.Servers {
		n += s.Minion.Busy()
	}
	return n
}

// Close stops all minions at once.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Close()
	}
}
