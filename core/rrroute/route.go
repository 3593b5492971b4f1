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
	Host           string        // of the request, whose case and port are ignored
	Prefix         string        // of the request path; the longest match wins
	Service        string        // whose minions run the jobs
	Timeout        time.Duration // of one request
	TargetLatency  time.Duration // added to TargetSlowdown times the critical path; the sum is the latency objective
	TargetSlowdown float64       // factor of the critical path in the latency objective; values below 1 count as 1
	Priority       int           // zero is the highest
	MaxAttempts    int           // failed runs of a task before the job fails
}

// Service holds the settings of a service's cold minions.
type Service struct {
	Name                string
	ColdTime            time.Duration // for which a started minion is slow; zero: never
	ColdStartsPerSecond float64       // most starts on one minion in this time; zero: no limit
}

// Limits bound the requests that a frontend reads.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the queue configuration. The zero value has no queues.
type Config struct {
	Version  int64
	Queues   []Queue
	Limits   Limits
	Services []Service // those with settings for cold minions

	hosts map[string][]*Queue
}

// NewConfig returns a Config with the given queues.
func NewConfig(version int64, queues []Queue, limits Limits) *Config {
	c := &Config{Version: version, Queues: queues, Limits: limits, hosts: make(map[string][]*Queue)}
	for i := range queues {
		q := &queues[i]
		host := strings.ToLower(q.Host)
		c.hosts[host] = append(c.hosts[host], q)
	}
	for _, qs := range c.hosts {
		slices.SortStableFunc(qs, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the queue of host with the longest prefix of path, or nil. It ignores
// a port in host.
func (c *Config) Match(host, path string) *Queue {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, q := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q
		}
	}
	return nil
}
