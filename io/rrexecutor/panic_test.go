package rrexecutor

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rattanring/core/rrscheduler"
	"rattanring/core/rrtask"
)

// client starts all runs and lists none.
type client struct{}

func (client) StartRun(_ context.Context, s *rrscheduler.StartRun) *rrscheduler.StartRunDone {
	return &rrscheduler.StartRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandOK, MinionClockMs: 1}
}

func (client) StopRun(_ context.Context, s *rrscheduler.StopRun) *rrscheduler.StopRunDone {
	return &rrscheduler.StopRunDone{MinionID: s.MinionID, Run: s.Run, Status: rrscheduler.CommandOK}
}

func (client) PollMinion(_ context.Context, p *rrscheduler.PollMinion) *rrscheduler.PollMinionDone {
	time.Sleep(min(p.MaxWait, 10*time.Millisecond))
	return &rrscheduler.PollMinionDone{MinionID: p.MinionID, PollSeq: p.PollSeq, Status: rrscheduler.CommandOK, MinionClockMs: 1}
}

// A panic while decisions are carried out ends the executor and not the process. Its callers hear that
// tasks may have run.
func TestPanicEndsExecutor(t *testing.T) {
	x := New("a", 1, rrscheduler.Options{MaxLease: time.Second, MaxStopTime: 50 * time.Millisecond})
	x.Client = client{}
	x.RecordTiming = func(*rrscheduler.RecordTiming) { panic("planted") }
	var logged atomic.Pointer[string]
	x.LogDecision = func(_ string, d *rrscheduler.LogDecision) {
		if d.Message == "scheduler panicked" {
			logged.Store(&d.Detail)
		}
	}
	go x.Run()
	x.Post(&rrscheduler.MinionRegistered{Minion: rrscheduler.Minion{ID: "m", Addr: "m", Service: "s", Capacity: rrtask.Resources{MilliCores: 1000, MemoryBytes: 1}}})
	x.Post(&rrscheduler.MinionListSynced{})
	out := x.Submit(context.Background(), rrscheduler.Job{
		ID: "j", Service: "s", MaxAttempts: 1, TargetSlowdown: 10, TargetLatency: time.Minute, ReceivedAt: time.Now(), Deadline: time.Now().Add(time.Minute),
		Phases: []rrscheduler.Phase{{TaskCount: 1, Resources: rrtask.Resources{MilliCores: 1}, DeclaredRunTime: time.Second}},
	})
	if out.Kind != rrscheduler.OutcomeOwnerChanged || !out.MayHaveRuns {
		t.Errorf("got %v, may have runs %v, want the owner changed, with runs", out.Kind, out.MayHaveRuns)
	}
	<-x.Done()
	if text := logged.Load(); text == nil || !strings.Contains(*text, "planted") || !strings.Contains(*text, "perform") {
		t.Error("the panic was not logged with its cause and place")
	}
}
