package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrlog"
	"rattanring/platform"
)

func (a *app) node() *ffcli.Command {
	fs := a.newFlagSet("node")
	var o rrlog.Options
	registerLogFlags(fs, &o)
	c := a.command("node", "rattanring node [flags]", "run a process on the users' platform until SIGTERM",
		fs, func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			logWriter := rrlog.NewBounded(a.out)
			defer logWriter.Close()
			return platform.Run(ctx, rrlog.New(logWriter, o))
		})
	c.LongHelp = "The settings come from the file that the variable RATTANRING_BOOT names."
	return c
}

func registerLogFlags(fs *flag.FlagSet, o *rrlog.Options) {
	fs.StringVar(&o.Level, "log-level", "info", "least level: debug, info, warn or error")
	fs.StringVar(&o.Format, "log-format", "logfmt", "logfmt or json")
}
