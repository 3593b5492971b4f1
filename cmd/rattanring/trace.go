package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrtrace"
)

func (a *app) trace() *ffcli.Command {
	return a.command("trace", "rattanring trace ID FILE...", "print the log lines of one request from the logs of many processes, in order",
		a.newFlagSet("trace"), func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return &usageError{"want an ID and at least one log FILE"}
			}
			return a.runTrace(args[0], args[1:])
		})
}

func (a *app) runTrace(id string, names []string) error {
	var logs []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		logs = append(logs, f)
	}
	lines, err := rrtrace.Gather(id, logs...)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line names the request %q", id)
	}
	for _, l := range lines {
		fmt.Fprintln(a.out, l.Text)
	}
	return nil
}
