package rrscheduler

import "time"

// How a process that lacks processor time treats answers that are late through its own fault. If it
// gave up waiting, it would send more commands and open more connections, and lack still more time.
const (
	lagMemory      = time.Second            // how long a lag counts
	lagFactor      = 3                      // a command and its answer wait for the processor a few times
	maxLagPatience = 300 * time.Millisecond // added to a timeout at most: a start command is refused after startWindow
	maxFirstPolls  = 32                     // polls in flight of minions whose runs are unknown; each may open a connection
)

// lagMeter remembers the longest recent lag of the process. The zero value stands for none.
type lagMeter struct {
	current, previous time.Duration // longest in this span of lagMemory and in the one before
	since             time.Time     // start of this span
}

func (l *lagMeter) observe(now time.Time, lag time.Duration) {
	if now.Sub(l.since) > lagMemory {
		l.previous, l.current, l.since = l.current, 0, now
	}
	l.current = max(l.current, lag)
}

// patience returns how much longer than usual to wait for the answer to a command.
func (l *lagMeter) patience() time.Duration {
	return min(lagFactor*max(l.current, l.previous), maxLagPatience)
}

// beginFirstPoll reports whether the first poll of a minion may be sent now.
func (s *Scheduler) beginFirstPoll(m *minion) bool {
	if s.firstPolls >= maxFirstPolls {
		return false
	}
	s.firstPolls++
	m.firstPoll = true
	return true
}

func (s *Scheduler) endFirstPoll(m *minion) {
	if m.firstPoll {
		m.firstPoll = false
		s.firstPolls--
	}
}

// pollNextUnknown polls minions whose runs are unknown, as far as maxFirstPolls permits.
func (s *Scheduler) pollNextUnknown(now time.Time) {
	for _, m := range s.sortedMinions {
		if s.firstPolls >= maxFirstPolls {
			return
		}
		if !m.runsKnown {
			s.pollIfDue(now, m)
		}
	}
}
