// Package rrlist polls the platform's instance list.
package rrlist

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"rattanring/core/rrtask"
	"rattanring/io/rrendpointslice"
)

// Limits of one list.
const (
	maxBody      = 16 << 20 // bytes
	maxInstances = 20_000
	maxName      = 128 // bytes of a name, zone, region or service
	maxSlots     = 10_000
	maxConns     = 100_000
)

// What an instance offers when its slice does not say.
const (
	DefaultSlots = 8
	DefaultConns = 60
)

// Snapshot is one reading of the list.
type Snapshot struct {
	Minions []rrtask.Minion
	Entries []rrtask.Entry
	Leaving []string // names of entries that leave
	Skipped int      // malformed or surplus endpoints
}

// Decode reads a list. Unknown fields are ignored, and malformed endpoints are
// skipped and counted.
func Decode(body []byte) (Snapshot, error) {
	var doc rrendpointslice.EndpointSliceList
	if err := json.Unmarshal(body, &doc); err != nil {
		return Snapshot{}, merry.Wrap(err)
	}
	if doc.Kind != "EndpointSliceList" {
		return Snapshot{}, merry.Errorf("kind is %.40q, want EndpointSliceList", doc.Kind)
	}
	b := builder{seen: make(map[string]bool)}
	for _, s := range doc.Items {
		for _, ep := range s.Endpoints {
			b.add(&s, &ep)
		}
	}
	return b.out, nil
}

// builder collects a Snapshot.
type builder struct {
	out  Snapshot
	seen map[string]bool // by service and name
}

func (b *builder) add(s *rrendpointslice.EndpointSlice, ep *rrendpointslice.Endpoint) {
	service := s.Metadata.Labels[rrendpointslice.ServiceLabel]
	key := service + "\x00" + ep.TargetRef.Name
	addr, ok := address(s, ep)
	ok = ok && named(service) && named(ep.TargetRef.Name) && named(ep.Zone)
	if !ok || b.seen[key] || len(b.seen) >= maxInstances {
		b.out.Skipped++
		return
	}
	if service == rrendpointslice.EntryService {
		b.seen[key] = true
		b.addEntry(s, ep, addr)
		return
	}
	m, ok := minion(s, ep)
	if !ok {
		b.out.Skipped++
		return
	}
	b.seen[key] = true
	m.Service, m.Addr = service, addr
	b.out.Minions = append(b.out.Minions, m)
}

func (b *builder) addEntry(s *rrendpointslice.EndpointSlice, ep *rrendpointslice.Endpoint, addr string) {
	e := rrtask.Entry{Name: ep.TargetRef.Name, Addr: addr, Zone: ep.Zone, Region: s.Metadata.Annotations[rrendpointslice.RegionAnnotation]}
	if len(e.Region) > maxName {
		e.Region = e.Region[:maxName]
	}
	b.out.Entries = append(b.out.Entries, e)
	if leaving(ep) {
		b.out.Leaving = append(b.out.Leaving, e.Name)
	}
}

func leaving(ep *rrendpointslice.Endpoint) bool {
	ready := ep.Conditions.Ready
	return ep.Conditions.Terminating || ready != nil && !*ready
}

// address returns the IP number and port of an endpoint.
func address(s *rrendpointslice.EndpointSlice, ep *rrendpointslice.Endpoint) (string, bool) {
	if len(s.Ports) != 1 || len(ep.Addresses) == 0 {
		return "", false
	}
	port := s.Ports[0].Port
	if net.ParseIP(ep.Addresses[0]) == nil || port < 1 || port > 65535 {
		return "", false
	}
	return net.JoinHostPort(ep.Addresses[0], strconv.Itoa(port)), true
}

func named(s string) bool {
	return s != "" && len(s) <= maxName
}

// minion returns what slice and endpoint say of a minion, without its address.
func minion(s *rrendpointslice.EndpointSlice, ep *rrendpointslice.Endpoint) (rrtask.Minion, bool) {
	n := numbers{notes: s.Metadata.Annotations, ok: true}
	m := rrtask.Minion{
		Name:     ep.TargetRef.Name,
		Zone:     ep.Zone,
		Draining: leaving(ep),
		Slots:    int(n.get(rrendpointslice.SlotsAnnotation, DefaultSlots, maxSlots)),
		MaxConns: int(n.get(rrendpointslice.ConnsAnnotation, DefaultConns, maxConns)),
		Capacity: rrtask.Resources{
			MilliCores:   uint32(n.get(rrendpointslice.CoresAnnotation, 0, 1<<32-1)),
			MemoryBytes:  n.get(rrendpointslice.MemoryAnnotation, 0, 1<<62),
			Accelerators: uint32(n.get(rrendpointslice.AcceleratorsAnnotation, 0, 1<<32-1)),
		},
	}
	return m, n.ok && m.Slots > 0 && m.MaxConns > 0
}

// numbers reads annotations; ok turns false at the first that is malformed.
type numbers struct {
	notes map[string]string
	ok    bool
}

func (n *numbers) get(name string, fallback, most uint64) uint64 {
	text, found := n.notes[name]
	if !found {
		return fallback
	}
	v, err := strconv.ParseUint(text, 10, 64)
	n.ok = n.ok && err == nil && v <= most
	return v
}

// Client reads the list at Base. It remembers the last reading and its entity tag,
// so that a list that has not changed costs a line. It is not safe for concurrent
// use.
type Client struct {
	Base    string        // URL without a path
	Timeout time.Duration // of one reading; zero means DefaultTimeout
	HTTP    *http.Client  // nil means one that uses no proxy

	tag  string // entity tag of last; empty when the list gave none
	last Snapshot
}

// direct is shared by all clients without their own.
var direct = &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTimeout}}

// idleTimeout is how long a connection to the list waits for the next reading.
const idleTimeout = 30 * time.Second

// DefaultTimeout bounds one reading of the list.
const DefaultTimeout = 2 * time.Second

// Read reads the list once.
func (c *Client) Read(ctx context.Context) (Snapshot, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, tag, err := c.fetch(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	if body == nil {
		return c.last, nil
	}
	s, err := Decode(body)
	if err == nil {
		c.tag, c.last = tag, s
	}
	return s, err
}

// fetch returns the list with its entity tag, or nothing when it is the last one.
func (c *Client) fetch(ctx context.Context) (body []byte, tag string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+rrendpointslice.ListPath, nil)
	if err != nil {
		return nil, "", merry.Wrap(err)
	}
	if c.tag != "" {
		req.Header.Set("If-None-Match", c.tag)
	}
	client := c.HTTP
	if client == nil {
		client = direct
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", merry.Wrap(err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && c.tag != "":
		return nil, "", nil
	case resp.StatusCode != http.StatusOK:
		return nil, "", merry.Errorf("the instance list answers %s", resp.Status)
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = merry.Errorf("the instance list has more than %d bytes", maxBody)
	}
	return body, resp.Header.Get("Etag"), err
}
