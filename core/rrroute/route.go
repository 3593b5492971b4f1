// Package rrroute holds the operators' configuration of queues and finds the queue of
// a request.
package rrroute

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Queue routes the jobs whose host and path match to the minions of a service.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Service        string
	Timeout        time.Duration // of one request
	TargetLatency  time.Duration // latency objective in addition to the work itself
	TargetSlowdown float64       // latency objective as a multiple of the work
	Priority       int           // zero is the highest
	MaxAttempts    int           // failed runs of a task before the job fails
}

// Limits bound the requests that a frontend reads.
type Limits struct {
	MaxHeaderBytes int   // bytes
	MaxBodyBytes   int64 // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the queue configuration. The zero value has no queues.
type Table struct {
	Version int64
	Queues  []Queue
	Limits  Limits

	hosts map[string][]*Queue
}

// NewTable returns a Table with the given queues.
func NewTable(version int64, queues []Queue, limits Limits) *Table {
	t := &Table{Version: version, Queues: queues, Limits: limits, hosts: make(map[string][]*Queue)}
	for i := range queues {
		q := &queues[i]
		host := strings.ToLower(q.Host)
		t.hosts[host] = append(t.hosts[host], q)
	}
	for _, qs := range t.hosts {
		slices.SortStableFunc(qs, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the queue of host with the longest prefix of path, or nil. It ignores
// a port in host.
func (t *Table) Match(host, path string) *Queue {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, q := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}
