package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/core/rrcode"
	"rattanring/io/rrflag"
	"rattanring/io/rrrender"
)

func (a *app) statusCommand() *ffcli.Command {
	var f entryOptions
	var asJSON bool
	fs := a.newFlagSet("status")
	f.register(fs)
	f.registerTimeout(fs)
	fs.Var(rrflag.Bool{Dest: &asJSON}, "json", "print JSON")
	return a.command("status", "rattanring status [flags]", "print the fleet as an entry sees it", fs,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			ctx, stop := f.withTimeout(ctx)
			defer stop()
			s, err := f.client().Status(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = a.out.Write(rrrender.EncodeStatus(s))
				return err
			}
			return rrrender.WriteStatus(a.out, s)
		})
}

func (a *app) explain() *ffcli.Command {
	var f entryOptions
	var asJSON bool
	var tenant string
	fs := a.newFlagSet("explain")
	f.register(fs)
	f.registerTimeout(fs)
	fs.Var(rrflag.Name{Dest: &tenant, Optional: true}, "tenant", "`name` of the tenant that must own the job; any if empty")
	fs.Var(rrflag.Bool{Dest: &asJSON}, "json", "print JSON")
	c := a.command("explain", "rattanring explain [flags] REQUEST", "print what was decided for one job and why", fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 || !rrflag.IsName(args[0]) {
				return &usageError{"want one REQUEST of " + rrflag.NameFormat}
			}
			ctx, stop := f.withTimeout(ctx)
			defer stop()
			h, err := f.client().Explain(ctx, args[0], tenant)
			if err != nil {
				return err
			}
			if asJSON {
				a.out.Write(rrrender.EncodeHistory(h))
			} else if err := rrrender.WriteHistory(a.out, h); err != nil {
				return err
			}
			if h.Code == rrcode.NotFound {
				return checkOutcome(h.Code)
			}
			return nil
		})
	c.LongHelp = "Only the entry that took the job knows it, for as long as its memory reaches:\nname all entries with -entry."
	return c
}

func (a *app) version() *ffcli.Command {
	return a.command("version", "rattanring version", "print the version of this program", a.newFlagSet("version"),
		func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			_, err := fmt.Fprintln(a.out, "rattanring", buildVersion(), runtime.Version())
			return err
		})
}

// buildVersion returns the commit of the build, or the module's version if the build
// does not record a commit.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
