package main

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrentry"
	"rattanring/io/rrlog"
	"rattanring/io/rrsettings"
)

func (a *app) entry() *ffcli.Command {
	set := rrsettings.Default()
	fs := a.newFlagSet("entry")
	set.RegisterFlags(fs)
	c := a.command("entry", "rattanring entry -name NAME -zone ZONE [flags]", "run an entry until SIGTERM or SIGINT, then drain it",
		fs, func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			return a.runEntry(ctx, set)
		})
	c.LongHelp = "The first signal starts a graceful stop, which ends when nothing is in flight\nor after the drain limit."
	return c
}

func (a *app) runEntry(ctx context.Context, set rrsettings.Settings) error {
	err := set.Validate()
	var field *rrsettings.FieldError
	if errors.As(err, &field) {
		return &usageError{field.Error()}
	}
	if err != nil {
		return err
	}
	logger := rrlog.New(a.errs, rrlog.Options{Level: set.LogLevel, Format: set.LogFormat})
	return rrentry.Run(ctx, set, logger)
}
