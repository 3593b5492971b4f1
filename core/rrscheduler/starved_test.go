package rrscheduler

import (
	"testing"
	"time"
)

// cpuModel is the processor of the owner's process. Commands and answers take time on it, one after the
// other, and one to a minion without an open connection takes longer. A command that is given up closes
// its connection.
type cpuModel struct {
	command, answer, connect time.Duration
	freeAt                   time.Time
	connections              map[string]int // idle, by minion
	connects                 int
	maxLag                   time.Duration
}

// afterCPU does something once the processor has spent a time on it, after all that waits already.
// do gets how long that took beyond the time itself.
func (w *world) afterCPU(cost time.Duration, do func(lag time.Duration)) {
	if w.cpu == nil {
		do(0)
		return
	}
	asked := w.now
	w.cpu.freeAt = later(w.cpu.freeAt, w.now).Add(cost)
	w.after(w.cpu.freeAt.Sub(w.now), func() {
		lag := w.now.Sub(asked) - cost
		w.cpu.maxLag = max(w.cpu.maxLag, lag)
		do(lag)
	})
}

func (w *world) commandCost(minion string) time.Duration {
	if w.cpu == nil {
		return 0
	}
	if w.cpu.connections[minion] > 0 {
		return w.cpu.command
	}
	w.cpu.connects++
	w.cpu.connections[minion] = 2 // a poll waits on one of them
	return w.cpu.command + w.cpu.connect
}

func (w *world) answerCost() time.Duration {
	if w.cpu == nil {
		return 0
	}
	return w.cpu.answer
}

func (w *world) disconnect(minion string) {
	if w.cpu != nil {
		w.cpu.connections[minion] = max(w.cpu.connections[minion]-1, 0)
	}
}

// A process takes over a shard of 400 minions with a usual load, which it can carry once it has
// connected to all of them. Until then its commands wait for its processor, and their answers come
// late through no fault of the minions: taking them for lost would cost more commands and connections,
// without end.
func TestLoadTakeOverByBusyProcess(t *testing.T) {
	for _, cpu := range []cpuModel{
		{command: 60 * time.Microsecond, answer: 60 * time.Microsecond, connect: 400 * time.Microsecond},
		{command: 100 * time.Microsecond, answer: 100 * time.Microsecond, connect: 500 * time.Microsecond},
		{command: 120 * time.Microsecond, answer: 120 * time.Microsecond, connect: 600 * time.Microsecond},
	} {
		l := newLoadRun(t, 400)
		l.generate(time.Second, 6, nil)
		cpu.connections = make(map[string]int)
		l.cpu = &cpu
		l.takeOver(false)
		l.generate(2*time.Second, 6, nil)
		t.Logf("%v a command: connections opened: %d, longest lag %v, unanswered starts %d", cpu.command, cpu.connects, cpu.maxLag, l.scheduler.Stats.UnknownStarts)
		if got, most := cpu.connects, 2*400; got > most {
			t.Errorf("connections opened in two seconds after the takeover: got %d, want at most %d", got, most)
		}
		for id := range l.jobs {
			l.forwardedIn[id] = true // leaves the jobs until here out of the result
		}
		l.generate(4*time.Second, 6, nil)
		checkValueShare(t, l.result(), 0.95, 0.9)
	}
}
