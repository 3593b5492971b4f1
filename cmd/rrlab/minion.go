package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrflag"
	"rattanring/io/rrstand"
)

// minionOptions are the flags of the subcommand minion.
type minionOptions struct {
	count        int
	slots        int
	prefix       string
	platform     string
	drainTimeout time.Duration
	listing      rrstand.Listing
}

func minionCommand(out, errs io.Writer) *ffcli.Command {
	s := minionOptions{
		count:        6,
		slots:        8,
		prefix:       "minion",
		drainTimeout: 30 * time.Second,
		listing:      rrstand.Listing{Service: "torri", Zones: []string{"caerdydd", "abertawe", "bangor"}, Conns: 60},
	}
	fs := newFlagSet("minion", errs)
	fs.Var(rrflag.Int{Dest: &s.count, Min: 1, Max: 5000}, "n", "`minions` in this process")
	fs.Var(rrflag.Int{Dest: &s.slots, Min: 1, Max: 1000}, "slots", "`tasks` at a time on each minion")
	fs.Var(rrflag.Int{Dest: &s.listing.Conns, Min: 1, Max: 10_000}, "conns", "`connections` that each minion claims to take")
	fs.Var(rrflag.Name{Dest: &s.prefix}, "prefix", "`name` of the minions, followed by their number")
	fs.Var(rrflag.Name{Dest: &s.listing.Service}, "service", "`name` of their service")
	fs.Var(rrflag.Names{Dest: &s.listing.Zones}, "zones", "`name,...` of availability zones that the minions take in turn")
	fs.Var(rrflag.URL{Dest: &s.platform}, "platform", "`url` of the platform stand-in that lists the minions; none if empty")
	fs.Var(rrflag.Duration{Dest: &s.drainTimeout, Max: time.Hour}, "drain", "`time` that tasks in flight get to end after SIGTERM")
	return command("minion", "run stand-in minions", fs, func(ctx context.Context, _ []string) error {
		return serveMinions(ctx, s, out)
	})
}

// serveMinions serves until ctx ends, then drains: the minions refuse new tasks, and
// the function returns when the tasks in flight have ended.
func serveMinions(ctx context.Context, s minionOptions, out io.Writer) error {
	fleet, err := rrstand.StartFleet(s.prefix, s.count, s.slots)
	if err != nil {
		return merry.Wrap(err)
	}
	defer fleet.Close()
	list := fleet.Instances(s.listing)
	reg := rrstand.Registry{URL: s.platform}
	if s.platform != "" {
		if err := reg.Add(ctx, list); err != nil {
			return err
		}
	}
	for _, inst := range list {
		fmt.Fprintf(out, "%s %s %s\n", inst.Name, inst.Addr, inst.Zone)
	}
	<-ctx.Done()
	drainCtx := context.WithoutCancel(ctx)
	if s.platform != "" {
		err = reg.Drain(drainCtx, list)
	}
	if !fleet.Drain(s.drainTimeout) {
		return merry.Errorf("minions still have tasks in flight after a drain of %s", s.drainTimeout)
	}
	if s.platform != "" && err == nil {
		err = reg.Remove(drainCtx, list)
	}
	return err
}
