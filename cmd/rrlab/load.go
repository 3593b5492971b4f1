package main

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrcompare"
	"rattanring/io/rrflag"
)

func loadCommand(out, errs io.Writer) *ffcli.Command {
	var entries []string
	scenario, seed := "even80", 1
	cfg := rrcompare.Config{Length: 20 * time.Second, Minions: 50, Slots: 8}
	fs := newFlagSet("load", errs)
	fs.Var(rrflag.Addrs{Dest: &entries}, "entries", "`host:port,...` of the entries that take the jobs in turn (required)")
	fs.Var(rrflag.Choice{Dest: &scenario, Allowed: scenarioNames()}, "scenario", "`name`: "+strings.Join(scenarioNames(), ", "))
	fs.Var(rrflag.Int{Dest: &seed, Max: 1 << 30}, "seed", "`number` that the arrivals are drawn from")
	fs.Var(rrflag.Duration{Dest: &cfg.Length, Min: time.Second, Max: time.Hour}, "length", "`time` in which jobs arrive")
	fs.Var(rrflag.Int{Dest: &cfg.Minions, Min: 1, Max: 5000}, "minions", "`number` of minions that the load is sized for")
	fs.Var(rrflag.Int{Dest: &cfg.Slots, Min: 1, Max: 1000}, "slots", "`tasks` at a time on each minion")
	return command("load", "submit jobs to running entries", fs, func(ctx context.Context, _ []string) error {
		if len(entries) == 0 {
			return merry.New("flag -entries is required")
		}
		cfg.Scenario, _ = rrcompare.Find(scenario)
		cfg.Seed, cfg.Entries = uint64(seed), len(entries)
		r, err := rrcompare.Submit(ctx, cfg, entries)
		if err != nil {
			return err
		}
		rrcompare.Print(out, cfg, append(rrcompare.References(cfg), r))
		return nil
	})
}
