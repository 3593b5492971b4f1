package rrhost

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"rattanring/core/rrscheduler"
)

// The owner of a shard turns slow, but still answers heartbeats. It gives the shard to the other host
// within a second or two, does not get it back at once, and no job is lost.
func TestStarvedOwnerHandsOver(t *testing.T) {
	f := newTestFleet(t, 20*time.Millisecond)
	f.minion("a", "m1")
	hosts := []*testHost{f.host("a0", "a"), f.host("a1", "a")}
	f.host("b0", "b")
	owner := f.awaitOwner("a")
	next := hosts[0]
	if next == owner {
		next = hosts[1]
	}
	time.Sleep(minStarvedOwner)
	var slow atomic.Bool
	logger := owner.Logger
	owner.mu.Lock()
	owner.Logger = log.LoggerFunc(func(kv ...any) error {
		if slow.Load() && fmt.Sprint(kv...) != "" && isDecision(kv) {
			time.Sleep(2 * starvedTime / 5)
		}
		return logger.Log(kv...)
	})
	owner.mu.Unlock()
	slow.Store(true)
	begin := time.Now()
	for i := 0; next.executor("a") == nil && time.Since(begin) < 10*time.Second; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		if out := next.Submit(ctx, f.job(fmt.Sprint("j", i))); out.Kind != rrscheduler.OutcomeCompleted {
			t.Errorf("job %d: got %v %v", i, out.Kind, out.Reason)
		}
		cancel()
	}
	if took := time.Since(begin); next.executor("a") == nil {
		t.Fatalf("the slow owner still has the shard after %v", took)
	}
	slow.Store(false)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if owner.executor("a") != nil {
			t.Fatal("the shard went back to the host that gave it away")
		}
	}
}

// isDecision reports whether a log line is about a decision of a scheduler, which its goroutine writes.
func isDecision(kv []any) bool {
	for i := 0; i+1 < len(kv); i += 2 {
		if kv[i] == "msg" && kv[i+1] == "answered" {
			return true
		}
	}
	return false
}
