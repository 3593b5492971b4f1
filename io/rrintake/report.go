package rrintake

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rattanring/io/rrmetric"
)

// reportInterval is the shortest time between two log lines of one kind.
const reportInterval = time.Second

// report counts and logs what the limits refuse or close.
type report struct {
	port    string
	logger  log.Logger
	metrics *rrmetric.Metrics

	mu    sync.Mutex
	kinds map[string]*reported
}

// reported is what was counted of one kind since its last log line.
type reported struct {
	count    int
	loggedAt time.Time
}

// add counts one event, and logs the count unless there was a line of this kind within reportInterval.
func (r *report) add(kind string) {
	r.metrics.CountIntakeRefusal(r.port, kind)
	if count := r.due(kind); count > 0 {
		level.Warn(r.logger).Log("msg", "limit on callers reached", "port", r.port, "kind", kind, "count", count)
	}
}

// due returns the count for a log line, or zero if none is due.
func (r *report) due(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[kind]
	if k == nil {
		k = &reported{}
		r.kinds[kind] = k
	}
	k.count++
	now := time.Now()
	if now.Sub(k.loggedAt) < reportInterval {
		return 0
	}
	count := k.count
	k.count, k.loggedAt = 0, now
	return count
}
