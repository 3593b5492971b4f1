package rrplatform

import (
	"encoding/json"
	"net/http"
	"time"
)

// Stats holds the counts of calls to the platform, including refused calls, and the
// current numbers of open watches and hanging calls.
type Stats struct {
	Writes     int // write calls to the key-value service
	Reads      int // read calls to it, including opened watches
	Refused    int // calls refused by a rate limit
	Watches    int // open watches
	Hanging    int // calls that the fault Hang blocks now
	PeakWrites int // highest number of writes in one second
	PeakReads  int // highest number of reads in one second, counting each open watch as one
	Lists      int // reads of the instance list
}

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit.stats
}

// limiter counts calls in windows of one second.
type limiter struct {
	stats       Stats
	windowStart time.Time
	used        [2]int // calls in the window by kind
}

// countCall counts a call and reports whether it is within the rate limit.
func (l *limiter) countCall(now time.Time, k callKind, limit int) bool {
	l.rollWindow(now)
	l.used[k]++
	if k == writeCall {
		l.stats.Writes++
		l.stats.PeakWrites = max(l.stats.PeakWrites, l.used[writeCall])
	} else {
		l.stats.Reads++
		l.stats.PeakReads = max(l.stats.PeakReads, l.used[readCall])
	}
	if l.used[k] > limit {
		l.stats.Refused++
		return false
	}
	return true
}

// rollWindow begins a new window if the last one has ended. Each open watch counts as
// one read in it.
func (l *limiter) rollWindow(now time.Time) {
	start := now.Truncate(time.Second)
	if start.Equal(l.windowStart) {
		return
	}
	l.windowStart = start
	l.used = [2]int{readCall: l.stats.Watches}
}

func (p *Platform) addWatches(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit.stats.Watches += n
}

func (p *Platform) rateLimit(k callKind) int {
	limit, fallback := p.ReadsPerSecond, DefaultReadsPerSecond
	if k == writeCall {
		limit, fallback = p.WritesPerSecond, DefaultWritesPerSecond
	}
	if limit == 0 {
		return fallback
	}
	return limit
}

type statsDoc struct {
	Writes     int `json:"writes"`
	Reads      int `json:"reads"`
	Refused    int `json:"refused"`
	Watches    int `json:"watches"`
	Hanging    int `json:"held"`
	PeakWrites int `json:"peakwrites"`
	PeakReads  int `json:"peakreads"`
	Lists      int `json:"lists"`
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(statsDoc(p.Stats()))
}
