package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrcompare"
	"rattanring/io/rrflag"
	"rattanring/io/rrstand"
)

func throughputCommand(out, errs io.Writer) *ffcli.Command {
	p := rrcompare.Product{SettleTime: 5 * time.Second}
	f := rrcompare.Flood{
		Minions: 50, Slots: 8, Conns: 60, Jobs: 16, Tasks: 400, RunTime: 5 * time.Millisecond, Length: 10 * time.Second,
		Listing: rrstand.Listing{Service: "torri", Zones: []string{"caerdydd"}, Conns: 60},
	}
	fs := newFlagSet("throughput", errs)
	fs.Var(rrflag.Int{Dest: &f.Minions, Min: 1, Max: 5000}, "minions", "`number` of stand-in minions")
	fs.Var(rrflag.Int{Dest: &f.Slots, Min: 1, Max: 1000}, "slots", "`tasks` at a time on each minion")
	fs.Var(rrflag.Int{Dest: &f.Jobs, Min: 1, Max: 10_000}, "jobs", "`jobs` in flight")
	fs.Var(rrflag.Int{Dest: &f.Tasks, Min: 1, Max: 100_000}, "tasks", "`tasks` of each job")
	fs.Var(rrflag.Duration{Dest: &f.RunTime, Max: time.Minute}, "run", "`time` that a task takes")
	fs.Var(rrflag.Duration{Dest: &f.Length, Min: time.Second, Max: time.Hour}, "length", "`time` in which jobs are submitted")
	fs.StringVar(&p.Binary, "binary", "", "`path` of the program rattanring; built from the module in the working directory if empty")
	return command("throughput", "flood one entry with short tasks", fs, func(ctx context.Context, _ []string) error {
		return throughput(ctx, p, f, out)
	})
}

func throughput(ctx context.Context, p rrcompare.Product, f rrcompare.Flood, out io.Writer) error {
	dir, err := os.MkdirTemp("", "rrlab")
	if err != nil {
		return merry.Wrap(err)
	}
	defer os.RemoveAll(dir)
	p.Dir = dir
	if err := p.Build(ctx); err != nil {
		return err
	}
	rate, err := rrcompare.Throughput(ctx, f, p.Strategy())
	if err != nil {
		return err
	}
	rate.Print(out)
	return nil
}
