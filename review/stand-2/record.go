package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what a case writes to record.txt: what was sent, answered and run, with the time
// since the start of the case in seconds.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), text)
}

// runLog holds all runs of all minions, and the rules that were broken.
type runLog struct {
	rec *record

	mu      sync.Mutex
	current map[string]map[*taskRun]bool // task to its present runs
	starts  int
	broken  []string
}

func newRunLog(rec *record) *runLog {
	return &runLog{rec: rec, current: make(map[string]map[*taskRun]bool)}
}

// breakRule records a broken rule.
func (l *runLog) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.mu.Lock()
	l.broken = append(l.broken, text)
	l.mu.Unlock()
	l.rec.line("BROKEN %s", text)
}

// began records the begin of a run, and that a task has two runs at the same time.
func (l *runLog) began(r *taskRun) {
	l.mu.Lock()
	l.starts++
	if l.current[r.task] == nil {
		l.current[r.task] = make(map[*taskRun]bool)
	}
	var other *taskRun
	for o := range l.current[r.task] {
		other = o
	}
	l.current[r.task][r] = true
	l.mu.Unlock()
	l.rec.line("run    %s attempt %d begins on %s", r.task, r.attempt, r.where)
	if other != nil {
		l.breakRule("TWICE: %s runs on %s (attempt %d) and on %s (attempt %d) at the same time", r.task, other.where, other.attempt, r.where, r.attempt)
	}
}

// ended records the end of a run.
func (l *runLog) ended(r *taskRun, how string) {
	l.mu.Lock()
	delete(l.current[r.task], r)
	if len(l.current[r.task]) == 0 {
		delete(l.current, r.task)
	}
	l.mu.Unlock()
	l.rec.line("run    %s attempt %d ends %s on %s", r.task, r.attempt, how, r.where)
}

func (l *runLog) brokenRules() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}
