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
	rosterPrefix = "rattanring/entries/"
	rosterTerm   = 15 * time.Second // an entry that ended is in the store so long: three renewals
	rosterRenew  = 5 * time.Second  // between two renewals; 11 writes a second for 54 entries
	rosterRead   = 2 * time.Second  // between two looks at who is there
	rosterLimit  = 3 * time.Second  // for one look, renewals included
)

// roster is the entries that the instance list names and those that made themselves
// known in the store. The zero value is empty.
type roster struct {
	mu     sync.Mutex
	listed []rrtask.Entry
	known  []rrtask.Entry
}

// list notes the entries that the instance list names, and returns all.
func (r *roster) list(es []rrtask.Entry) []rrtask.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = es
	return r.all()
}

// know notes the entries that the store names, and returns all.
func (r *roster) know(es []rrtask.Entry) []rrtask.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = es
	return r.all()
}

// has reports whether an entry is known at the address.
func (r *roster) has(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.all(), func(e rrtask.Entry) bool { return e.Addr == addr })
}

// all returns each entry once; what the instance list says goes first.
func (r *roster) all() []rrtask.Entry {
	seen := make(map[string]bool)
	var out []rrtask.Entry
	for _, list := range [][]rrtask.Entry{r.listed, r.known} {
		for _, e := range list {
			if !seen[e.Name] {
				seen[e.Name] = true
				out = append(out, e)
			}
		}
	}
	return out
}

// rosterRecord is an entry in the store.
type rosterRecord struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// rosterDuty keeps the entry's own record in the store and reads those of the others, so
// that entries meet which no instance list names.
type rosterDuty struct {
	e       *Entry
	lease   int64
	renewed time.Time
	away    bool
}

// Serve implements suture.Service. The record is removed when the duty ends.
func (d *rosterDuty) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		d.look(ctx)
		pause(ctx, rosterRead)
	}
	d.leave()
	return ctx.Err()
}

func (d *rosterDuty) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterLimit)
	defer cancel()
	err := d.renew(ctx)
	if err == nil {
		err = d.read(ctx)
	}
	if away := err != nil; away != d.away {
		d.away = away
		level.Warn(d.e.logger).Log("msg", "entries at the store", "away", away, "err", err)
	}
}

// renew writes the record, or renews its lease when that is due.
func (d *rosterDuty) renew(ctx context.Context) error {
	if time.Since(d.renewed) < rosterRenew {
		return nil
	}
	if d.lease != 0 {
		left, err := d.e.store.KeepAlive(ctx, d.lease)
		if err != nil {
			return err
		}
		if left > 0 {
			d.renewed = time.Now()
			return nil
		}
		level.Warn(d.e.logger).Log("msg", "record of this entry lapsed", "lease", d.lease)
	}
	lease, err := d.e.store.Grant(ctx, rosterTerm)
	if err != nil {
		return err
	}
	self := d.e.self
	value, err := json.Marshal(rosterRecord{Name: self.Name, Addr: self.Addr, Zone: self.Zone, Region: self.Region})
	if err != nil {
		return err
	}
	if err := d.e.store.Put(ctx, rrstore.Put{Key: rosterPrefix + self.Name, Value: value, Lease: lease}); err != nil {
		return err
	}
	d.lease, d.renewed = lease, time.Now()
	return nil
}

// read reads the records of all entries.
func (d *rosterDuty) read(ctx context.Context) error {
	page, err := d.e.store.Get(ctx, rrstore.Prefix(rosterPrefix))
	if err != nil {
		return err
	}
	var known []rrtask.Entry
	for _, it := range page.Items {
		var r rosterRecord
		if err := json.Unmarshal(it.Value, &r); err != nil || r.Name == "" || r.Addr == "" {
			level.Warn(d.e.logger).Log("msg", "record of an entry ignored", "key", it.Key, "err", err)
			continue
		}
		known = append(known, rrtask.Entry{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Region: r.Region})
	}
	d.e.report(&rrnode.EntriesListed{List: d.e.roster.know(known)})
	return nil
}

// leave removes the record.
func (d *rosterDuty) leave() {
	if d.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rosterLimit)
	defer cancel()
	if err := d.e.store.Revoke(ctx, d.lease); err != nil {
		level.Warn(d.e.logger).Log("msg", "record of this entry not removed", "err", err)
	}
}
