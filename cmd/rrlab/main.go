// Command rrlab provides what tests and measurements of rattanring need: stand-ins
// of the platform and of minions, a load generator and comparisons with simple
// dispatchers.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run runs the command line and returns the exit status.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	root := &ffcli.Command{
		ShortUsage:  "rrlab SUBCOMMAND [flags]",
		ShortHelp:   "stand-ins, load and measures for rattanring",
		FlagSet:     newFlagSet("rrlab", errs),
		Subcommands: commands(out, errs),
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return exitOK
}

func commands(out, errs io.Writer) []*ffcli.Command {
	return []*ffcli.Command{
		demoCommand(out, errs),
		platformCommand(out, errs),
		minionCommand(out, errs),
		loadCommand(out, errs),
		compareCommand(out, errs),
		throughputCommand(out, errs),
	}
}

// newFlagSet returns an empty set that prints its messages to errs.
func newFlagSet(name string, errs io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(errs)
	return fs
}

// command returns a subcommand whose flags can also be set by environment variables.
func command(name, help string, fs *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "rrlab " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix("RRLAB")},
		Exec:       exec,
	}
}
