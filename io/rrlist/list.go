// Package rrlist polls the platform's instance list, which names the minions and the
// entries.
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

// Limits of one instance list.
const (
	maxBodyBytes = 16 << 20
	maxInstances = 20_000
	maxNameBytes = 128     // of an instance, zone, region or service
	maxSlots     = 10_000  // of one minion
	maxConns     = 100_000 // of one minion
)

// Defaults for minions whose slice has no annotation for the value.
const (
	DefaultSlots = 8  // concurrent tasks
	DefaultConns = 60 // concurrent connections
)

// Snapshot is the content of the instance list at one time.
type Snapshot struct {
	Minions         []rrtask.Minion
	Entries         []rrtask.Entry
	DrainingEntries []string // names of entries that are draining
	Skipped         int      // number of endpoints ignored as malformed, repeated or above the limit
}

// Decode parses an instance list. It ignores unknown fields, and skips and counts
// malformed endpoints.
func Decode(body []byte) (Snapshot, error) {
	var doc rrendpointslice.EndpointSliceList
	if err := json.Unmarshal(body, &doc); err != nil {
		return Snapshot{}, merry.Wrap(err)
	}
	if doc.Kind != "EndpointSliceList" {
		return Snapshot{}, merry.Errorf("the instance list has kind %.40q, want EndpointSliceList", doc.Kind)
	}
	b := builder{seen: make(map[string]bool)}
	for _, s := range doc.Items {
		for _, ep := range s.Endpoints {
			b.add(&s, &ep)
		}
	}
	return b.snapshot, nil
}

// builder builds a Snapshot from endpoints.
type builder struct {
	snapshot Snapshot
	seen     map[string]bool // service and name of each accepted endpoint
}

func (b *builder) add(s *rrendpointslice.EndpointSlice, ep *rrendpointslice.Endpoint) {
	service := s.Metadata.Labels[rrendpointslice.ServiceLabel]
	key := service + "\x00" + ep.TargetRef.Name
	addr, ok := address(s, ep)
	ok = ok && validName(service) && validName(ep.TargetRef.Name) && validName(ep.Zone)
	if !ok || b.seen[key] || len(b.seen) >= maxInstances {
		b.snapshot.Skipped++
		return
	}
	if service == rrendpointslice.EntryService {
		b.seen[key] = true
		b.addEntry(s, ep, addr)
		return
	}
	m, ok := toMinion(s, ep)
	if !ok {
		b.snapshot.Skipped++
		return
	}
	b.seen[key] = true
	m.Service, m.Addr = service, addr
	b.snapshot.Minions = append(b.snapshot.Minions, m)
}

func (b *builder) addEntry(s *rrendpointslice.EndpointSlice, ep *rrendpointslice.Endpoint, addr string) {
	e := rrtask.Entry{Name: ep.TargetRef.Name, Addr: addr, Zone: ep.Zone, Region: s.Metadata.Annotations[rrendpointslice.RegionAnnotation]}
	if len(e.Region) > maxNameBytes {
		e.Region = e.Region[:maxNameBytes]
	}
	b.snapshot.Entries = append(b.snapshot.Entries, e)
	if isDraining(ep) {
		b.snapshot.DrainingEntries = append(b.snapshot.DrainingEntries, e.Name)
	}
}

func isDraining(ep *rrendpointslice.Endpoint) bool {
	ready := ep.Conditions.Ready
	return ep.Conditions.Terminating || ready != nil && !*ready
}

// address returns the IP address and port of an endpoint, and whether they are valid.
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

func validName(s string) bool {
	return s != "" && len(s) <= maxNameBytes
}

// toMinion returns the minion that s and ep describe, without its service and address, and
// whether it is valid.
func toMinion(s *rrendpointslice.EndpointSlice, ep *rrendpointslice.Endpoint) (rrtask.Minion, bool) {
	r := annotationReader{annotations: s.Metadata.Annotations, ok: true}
	m := rrtask.Minion{
		Name:     ep.TargetRef.Name,
		Zone:     ep.Zone,
		Draining: isDraining(ep),
		Slots:    int(r.uint(rrendpointslice.SlotsAnnotation, DefaultSlots, maxSlots)),
		MaxConns: int(r.uint(rrendpointslice.ConnsAnnotation, DefaultConns, maxConns)),
		Capacity: rrtask.Resources{
			MilliCores:   uint32(r.uint(rrendpointslice.CoresAnnotation, 0, 1<<32-1)),
			MemoryBytes:  r.uint(rrendpointslice.MemoryAnnotation, 0, 1<<62),
			Accelerators: uint32(r.uint(rrendpointslice.AcceleratorsAnnotation, 0, 1<<32-1)),
		},
	}
	return m, r.ok && m.Slots > 0 && m.MaxConns > 0
}

// annotationReader reads numbers from annotations. ok becomes false at the first number
// that is malformed or too large.
type annotationReader struct {
	annotations map[string]string
	ok          bool
}

func (r *annotationReader) uint(name string, fallback, maxValue uint64) uint64 {
	text, found := r.annotations[name]
	if !found {
		return fallback
	}
	v, err := strconv.ParseUint(text, 10, 64)
	r.ok = r.ok && err == nil && v <= maxValue
	return v
}

// Client reads the instance list at BaseURL. It remembers the last list and its
// entity tag, so the server answers with a body only if the list has changed. It is
// not safe for concurrent use.
type Client struct {
	BaseURL string        // URL without a path
	Timeout time.Duration // of one Read; zero means DefaultTimeout
	HTTP    *http.Client  // nil means a client that uses no proxy

	etag string // entity tag of last; empty if the server sent none
	last Snapshot
}

// defaultHTTPClient is used by each Client whose field HTTP is nil.
var defaultHTTPClient = &http.Client{Transport: &http.Transport{IdleConnTimeout: idleTimeout}}

// idleTimeout is how long an idle connection stays open for the next Read.
const idleTimeout = 30 * time.Second

// DefaultTimeout is the default timeout of one Read.
const DefaultTimeout = 2 * time.Second

// Read returns the current instance list.
func (c *Client) Read(ctx context.Context) (Snapshot, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, etag, err := c.fetch(ctx)
	if err != nil {
		return Snapshot{}, err
	}
	if body == nil {
		return c.last, nil
	}
	s, err := Decode(body)
	if err == nil {
		c.etag, c.last = etag, s
	}
	return s, err
}

// fetch returns the body of the list with its entity tag, or a nil body if the list
// has not changed since the last Read.
func (c *Client) fetch(ctx context.Context) (body []byte, etag string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+rrendpointslice.ListPath, nil)
	if err != nil {
		return nil, "", merry.Wrap(err)
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	client := c.HTTP
	if client == nil {
		client = defaultHTTPClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", merry.Wrap(err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && c.etag != "":
		return nil, "", nil
	case resp.StatusCode != http.StatusOK:
		return nil, "", merry.Errorf("the server of the instance list answered %s", resp.Status)
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = merry.Errorf("the instance list is larger than %d bytes", maxBodyBytes)
	}
	return body, resp.Header.Get("Etag"), err
}
