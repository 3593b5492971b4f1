package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrdemo"
	"rattanring/io/rrflag"
)

func demoCommand(out, errs io.Writer) *ffcli.Command {
	var logs bool
	fs := newFlagSet("demo", errs)
	fs.Var(rrflag.Bool{Dest: &logs}, "logs", "print the logs of the entries")
	return command("demo", "show the product at work in one process", fs, func(ctx context.Context, _ []string) error {
		d := rrdemo.New(out)
		if logs {
			d.Logs = errs
		}
		return d.Show(ctx)
	})
}
