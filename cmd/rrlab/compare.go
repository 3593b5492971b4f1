package main

import (
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrcompare"
	"rattanring/io/rrflag"
)

// compareOptions are the flags of the subcommand compare.
type compareOptions struct {
	scenario   string
	strategies []string // names; empty selects all
	seed       int
	cfg        rrcompare.Config
	product    rrcompare.Product
	asJSON     bool
}

func compareCommand(out, errs io.Writer) *ffcli.Command {
	s := &compareOptions{
		scenario: "even80",
		seed:     1,
		cfg:      rrcompare.Config{Length: 20 * time.Second, Minions: 50, Slots: 8, Entries: 8, Conns: 60},
		product:  rrcompare.Product{SettleTime: 5 * time.Second},
	}
	fs := newFlagSet("compare", errs)
	fs.Var(rrflag.Choice{Dest: &s.scenario, Allowed: scenarioNames()}, "scenario", "`name`: "+strings.Join(scenarioNames(), ", "))
	fs.Var(rrflag.Names{Dest: &s.strategies}, "strategies", "`name,...`: rattanring, random, choices, shares; all if empty")
	fs.Var(rrflag.Int{Dest: &s.seed, Min: 0, Max: 1 << 30}, "seed", "`number` that the arrivals are drawn from")
	fs.Var(rrflag.Duration{Dest: &s.cfg.Length, Min: time.Second, Max: time.Hour}, "length", "`time` in which jobs arrive")
	fs.Var(rrflag.Int{Dest: &s.cfg.Minions, Min: 1, Max: 5000}, "minions", "`number` of stand-in minions")
	fs.Var(rrflag.Int{Dest: &s.cfg.Slots, Min: 1, Max: 1000}, "slots", "`tasks` at a time on each minion")
	fs.Var(rrflag.Int{Dest: &s.cfg.Entries, Min: 1, Max: 200}, "entries", "`number` of entry processes or dispatchers")
	fs.Var(rrflag.Duration{Dest: &s.product.SettleTime, Max: time.Minute}, "settle", "`time` that entries get to find each other and the minions")
	fs.StringVar(&s.product.Binary, "binary", "", "`path` of the program rattanring; built from the module in the working directory if empty")
	fs.Var(rrflag.Bool{Dest: &s.asJSON}, "json", "print JSON")
	return command("compare", "run one scenario through each strategy", fs, func(ctx context.Context, _ []string) error {
		return compare(ctx, s, out)
	})
}

func scenarioNames() []string {
	var names []string
	for _, s := range rrcompare.Scenarios() {
		names = append(names, s.Name)
	}
	return names
}

func compare(ctx context.Context, s *compareOptions, out io.Writer) error {
	dir, err := os.MkdirTemp("", "rrlab")
	if err != nil {
		return merry.Wrap(err)
	}
	defer os.RemoveAll(dir)
	strategies, err := s.selectStrategies(ctx, dir)
	if err != nil {
		return err
	}
	s.cfg.Scenario, _ = rrcompare.Find(s.scenario)
	s.cfg.Seed = uint64(s.seed)
	results := rrcompare.References(s.cfg)
	for _, strategy := range strategies {
		r, err := rrcompare.Run(ctx, s.cfg, strategy)
		if err != nil {
			return merry.Prepend(err, strategy.Name)
		}
		results = append(results, r)
	}
	if s.asJSON {
		return rrcompare.Encode(out, s.cfg, results)
	}
	rrcompare.Print(out, s.cfg, results)
	return nil
}

// selectStrategies returns the strategies to run. It builds the product if it is one
// of them.
func (s *compareOptions) selectStrategies(ctx context.Context, dir string) ([]rrcompare.Strategy, error) {
	all := rrcompare.Baselines()
	all = append(all, s.product.Strategy())
	var list []rrcompare.Strategy
	for _, strategy := range all {
		if len(s.strategies) > 0 && !slices.Contains(s.strategies, strategy.Name) {
			continue
		}
		if strategy.Name == rrcompare.ProductName {
			s.product.Dir = dir
			if err := s.product.Build(ctx); err != nil {
				return nil, err
			}
			strategy = s.product.Strategy()
		}
		list = append(list, strategy)
	}
	if len(list) == 0 {
		return nil, merry.Errorf("no such strategy: %s", strings.Join(s.strategies, ","))
	}
	return list, nil
}
