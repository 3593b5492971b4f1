package rrdemo

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"rattanring/core/rrstatus"
	"rattanring/io/rrcall"
	"rattanring/io/rrendpointslice"
	"rattanring/io/rrentry"
	"rattanring/io/rrload"
	"rattanring/io/rrlog"
	"rattanring/io/rrplatform"
	"rattanring/io/rrsettings"
	"rattanring/io/rrstand"
)

const (
	service           = "torri"
	minionCount       = 6
	slotsPerMinion    = 8
	connsPerMinion    = 60
	awaitTimeout      = 15 * time.Second
	awaitPollInterval = 20 * time.Millisecond
)

// fleet is the platform stand-in, the minions and the entries of a demonstration.
type fleet struct {
	platform       *rrplatform.Platform
	platformServer *http.Server
	minions        *rrstand.Fleet
	killed         int      // minions killed
	addrs          []string // of the entries
	cancel         context.CancelFunc
	ended          []chan error // one for each entry
}

// start starts the fleet and waits until each entry knows all entries and minions.
func (d *Demo) start(ctx context.Context) (*fleet, error) {
	f := &fleet{platform: &rrplatform.Platform{}}
	var err error
	if f.minions, err = rrstand.StartFleet("minion", minionCount, slotsPerMinion); err != nil {
		return nil, merry.Wrap(err)
	}
	for _, inst := range f.minions.Instances(rrstand.Listing{Service: service, Zones: d.Zones, Conns: connsPerMinion}) {
		f.platform.Register(inst)
	}
	var entriesCtx context.Context
	entriesCtx, f.cancel = context.WithCancel(ctx)
	if err := d.startPlatformAndEntries(entriesCtx, f); err != nil {
		f.stop()
		return nil, err
	}
	for i := range f.addrs {
		if err := f.awaitStatus(ctx, i, f.knowsFleet); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// startPlatformAndEntries serves the platform stand-in and starts one entry in each
// zone.
func (d *Demo) startPlatformAndEntries(ctx context.Context, f *fleet) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Wrap(err)
	}
	f.platformServer = &http.Server{Handler: f.platform.Handler()}
	go f.platformServer.Serve(ln)
	logs := d.Logs
	if logs == nil {
		logs = io.Discard
	}
	logger := rrlog.New(logs, rrlog.Options{})
	for _, zone := range d.Zones {
		if err := f.startEntry(ctx, "http://"+ln.Addr().String(), zone, logger); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startEntry(ctx context.Context, platform, zone string, logger log.Logger) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Wrap(err)
	}
	set := rrsettings.Default()
	set.Name, set.Zone = zone+"-1", zone
	set.StoreURL, set.InstanceListURL = platform, platform
	addr := ln.Addr().String()
	f.platform.Register(rrplatform.Instance{Name: set.Name, Addr: addr, Zone: zone, Service: rrendpointslice.EntryService})
	ended := make(chan error, 1)
	go func() { ended <- rrentry.Serve(ctx, set, ln, logger) }()
	f.addrs = append(f.addrs, addr)
	f.ended = append(f.ended, ended)
	return nil
}

// stop drains the entries, then closes the minions and the platform.
func (f *fleet) stop() {
	f.cancel()
	for _, ended := range f.ended {
		<-ended
	}
	f.minions.Close()
	if f.platformServer != nil {
		f.platformServer.Close()
	}
}

// killBusiest closes the minion with the most running tasks without draining it, and
// removes it from the instance list.
func (f *fleet) killBusiest() {
	victim := slices.MaxFunc(f.minions.Servers, func(a, b *rrstand.Server) int {
		return cmp.Compare(a.Minion.Running(), b.Minion.Running())
	})
	victim.Close()
	f.platform.Remove(victim.Minion.Name)
	f.killed++
}

// liveSlots returns the number of slots of all minions that were not killed.
func (f *fleet) liveSlots() int {
	return (len(f.minions.Servers) - f.killed) * slotsPerMinion
}

// client returns a client that tries the entry with the given index first, then the
// others.
func (f *fleet) client(index int) *rrcall.Client {
	addrs := append(append([]string(nil), f.addrs[index:]...), f.addrs[:index]...)
	return &rrcall.Client{Entries: addrs}
}

// knowsFleet reports whether an entry is ready, knows all peers, and sees each minion
// owned by the entry of the minion's zone.
func (f *fleet) knowsFleet(s rrstatus.Status) bool {
	live := 0
	for _, p := range s.Peers {
		if p.State == rrstatus.Alive {
			live++
		}
	}
	owned := 0
	for _, m := range s.Minions {
		if m.Owner == m.Zone+"-1" {
			owned++
		}
	}
	return s.Ready && live == len(f.addrs)-1 && owned == minionCount
}

// awaitStatus polls the status of one entry until ok reports true.
func (f *fleet) awaitStatus(ctx context.Context, entry int, ok func(rrstatus.Status) bool) error {
	c := rrcall.Client{Entries: f.addrs[entry : entry+1]}
	for started := time.Now(); time.Since(started) < awaitTimeout; time.Sleep(awaitPollInterval) {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if ok(s) {
			return nil
		}
	}
	return merry.Errorf("entry %s did not report the awaited status within %s", f.addrs[entry], awaitTimeout)
}

// cost returns the total cost of all entries so far.
func (f *fleet) cost(ctx context.Context) (rrload.Cost, error) {
	var sum rrload.Cost
	for _, addr := range f.addrs {
		c, err := rrload.Scrape(ctx, addr)
		if err != nil {
			return sum, err
		}
		sum = sum.Plus(c)
	}
	return sum, nil
}
