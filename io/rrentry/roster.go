package rrentry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rattanring/core/rrnode"
	"rattanring/core/rrtask"
	"rattanring/io/rrstore"
)

const (
	rosterPrefix        = "rattanring/entries/"
	rosterTTL           = 15 * time.Second // a record outlives a crashed entry by at most this time, three renewal intervals
	rosterRenewInterval = 5 * time.Second  // between two renewals; 11 writes a second for 54 entries
	rosterReadInterval  = 2 * time.Second  // between two reads of all records
	rosterTimeout       = 3 * time.Second  // of one renewal and read
)

// roster holds the entries in the instance list and the entries that have a record in the
// store. The zero value is empty.
type roster struct {
	mu         sync.Mutex
	listed     []rrtask.Entry
	registered []rrtask.Entry
}

// setListed replaces the entries of the instance list and returns all known entries.
func (r *roster) setListed(entries []rrtask.Entry) []rrtask.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = entries
	return r.all()
}

// setRegistered replaces the entries with a record in the store and returns all known
// entries.
func (r *roster) setRegistered(entries []rrtask.Entry) []rrtask.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registered = entries
	return r.all()
}

// knowsAddr reports whether a known entry has the address.
func (r *roster) knowsAddr(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.all(), func(e rrtask.Entry) bool { return e.Addr == addr })
}

// all returns each entry once. The instance list takes precedence over the store.
func (r *roster) all() []rrtask.Entry {
	seen := make(map[string]bool)
	var out []rrtask.Entry
	for _, list := range [][]rrtask.Entry{r.listed, r.registered} {
		for _, e := range list {
			if !seen[e.Name] {
				seen[e.Name] = true
				out = append(out, e)
			}
		}
	}
	return out
}

// rosterRecord is the record of an entry in the store.
type rosterRecord struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// rosterService maintains this entry's record in the store and reads those of the others.
// This way entries find each other even if no instance list names them.
type rosterService struct {
	e           *Entry
	lease       int64
	renewedAt   time.Time
	unreachable bool
}

// Serve implements suture.Service. It removes the record when ctx ends.
func (s *rosterService) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		s.sync(ctx)
		sleep(ctx, rosterReadInterval)
	}
	s.deregister()
	return ctx.Err()
}

func (s *rosterService) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	err := s.renewRecord(ctx)
	if err == nil {
		err = s.readEntries(ctx)
	}
	if unreachable := err != nil; unreachable != s.unreachable {
		s.unreachable = unreachable
		level.Warn(s.e.logger).Log("msg", "reachability of the entry records in the store changed", "away", unreachable, "err", err)
	}
}

// renewRecord writes this entry's record, or renews its lease when that is due.
func (s *rosterService) renewRecord(ctx context.Context) error {
	if time.Since(s.renewedAt) < rosterRenewInterval {
		return nil
	}
	if s.lease != 0 {
		ttl, err := s.e.store.KeepAlive(ctx, s.lease)
		if err != nil {
			return err
		}
		if ttl > 0 {
			s.renewedAt = time.Now()
			return nil
		}
		level.Warn(s.e.logger).Log("msg", "lease of this entry's record in the store expired", "lease", s.lease)
	}
	lease, err := s.e.store.Grant(ctx, rosterTTL)
	if err != nil {
		return err
	}
	self := s.e.self
	value, err := json.Marshal(rosterRecord{Name: self.Name, Addr: self.Addr, Zone: self.Zone, Region: self.Region})
	if err != nil {
		return err
	}
	if err := s.e.store.Put(ctx, rrstore.Put{Key: rosterPrefix + self.Name, Value: value, Lease: lease}); err != nil {
		return err
	}
	s.lease, s.renewedAt = lease, time.Now()
	return nil
}

// readEntries reads the records of all entries and reports them to the core.
func (s *rosterService) readEntries(ctx context.Context) error {
	page, err := s.e.store.Get(ctx, rrstore.Prefix(rosterPrefix))
	if err != nil {
		return err
	}
	var entries []rrtask.Entry
	for _, item := range page.Items {
		var r rosterRecord
		if err := json.Unmarshal(item.Value, &r); err != nil || r.Name == "" || r.Addr == "" {
			level.Warn(s.e.logger).Log("msg", "ignored an invalid entry record in the store", "key", item.Key, "err", err)
			continue
		}
		entries = append(entries, rrtask.Entry{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Region: r.Region})
	}
	s.e.report(&rrnode.EntriesListed{List: s.e.roster.setRegistered(entries)})
	return nil
}

// deregister removes this entry's record from the store.
func (s *rosterService) deregister() {
	if s.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rosterTimeout)
	defer cancel()
	if err := s.e.store.Revoke(ctx, s.lease); err != nil {
		level.Warn(s.e.logger).Log("msg", "failed to remove this entry's record from the store", "err", err)
	}
}
