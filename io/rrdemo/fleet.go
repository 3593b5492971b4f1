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
	service    = "torri"
	minions    = 6
	slots      = 8 // of a minion
	conns      = 60
	awaitLimit = 15 * time.Second
	awaitPoll  = 20 * time.Millisecond
)

// fleet is what runs during a demonstration.
type fleet struct {
	platform *rrplatform.Platform
	web      *http.Server
	minions  *rrstand.Fleet
	lost     int // minions killed
	addrs    []string
	cancel   context.CancelFunc
	ended    []chan error // one for each entry
}

// start starts everything and waits until each entry knows all of it.
func (d *Demo) start(ctx context.Context) (*fleet, error) {
	f := &fleet{platform: &rrplatform.Platform{}}
	var err error
	if f.minions, err = rrstand.StartFleet("minion", minions, slots); err != nil {
		return nil, merry.Wrap(err)
	}
	for _, inst := range f.minions.Instances(rrstand.Place{Service: service, Zones: d.Zones, Conns: conns}) {
		f.platform.Register(inst)
	}
	var serving context.Context
	serving, f.cancel = context.WithCancel(ctx)
	if err := d.startEntries(serving, f); err != nil {
		f.stop()
		return nil, err
	}
	for i := range f.addrs {
		if err := f.await(ctx, i, f.settled); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (d *Demo) startEntries(ctx context.Context, f *fleet) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Wrap(err)
	}
	f.web = &http.Server{Handler: f.platform.Handler()}
	go f.web.Serve(ln)
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

// stop drains the entries and stops the rest.
func (f *fleet) stop() {
	f.cancel()
	for _, ended := range f.ended {
		<-ended
	}
	f.minions.Close()
	if f.web != nil {
		f.web.Close()
	}
}

// killBusiest stops the busiest minion at once, with the tasks that it runs.
func (f *fleet) killBusiest() {
	victim := slices.MaxFunc(f.minions.Servers, func(a, b *rrstand.Server) int {
		return cmp.Compare(a.Minion.Busy(), b.Minion.Busy())
	})
	victim.Close()
	f.platform.Remove(victim.Minion.Name)
	f.lost++
}

// slotsLeft returns the slots of all minions that live.
func (f *fleet) slotsLeft() int {
	return (len(f.minions.Servers) - f.lost) * slots
}

// client returns a client that calls one entry first.
func (f *fleet) client(first int) *rrcall.Client {
	order := append(append([]string(nil), f.addrs[first:]...), f.addrs[:first]...)
	return &rrcall.Client{Entries: order}
}

// settled reports whether an entry knows all peers and a keeper in its zone for
// each minion.
func (f *fleet) settled(s rrstatus.Status) bool {
	live := 0
	for _, p := range s.Peers {
		if p.State == rrstatus.Alive {
			live++
		}
	}
	kept := 0
	for _, m := range s.Minions {
		if m.Owner == m.Zone+"-1" {
			kept++
		}
	}
	return s.Ready && live == len(f.addrs)-1 && kept == minions
}

// await polls the status of one entry until ok.
func (f *fleet) await(ctx context.Context, entry int, ok func(rrstatus.Status) bool) error {
	c := rrcall.Client{Entries: f.addrs[entry : entry+1]}
	for begun := time.Now(); time.Since(begun) < awaitLimit; time.Sleep(awaitPoll) {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if ok(s) {
			return nil
		}
	}
	return merry.Errorf("entry %s does not get there within %s", f.addrs[entry], awaitLimit)
}

// cost returns the messages of all entries so far.
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
