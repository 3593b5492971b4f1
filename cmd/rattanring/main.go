// Command rattanring runs an entry of the dispatcher or a process on the users'
// platform. It also submits and cancels jobs, changes the configuration and shows the
// state of the fleet.
package main

import (
	"bytes"
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

	"rattanring/core/rrcode"
	"rattanring/io/rrflag"
)

// Exit statuses besides those of rrcode.Class.ExitStatus.
const (
	exitOK     = 0
	exitFailed = 1 // any other failure, such as when no entry answered or an entry could not run
	exitUsage  = 2
)

const envPrefix = "RATTANRING"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// app is one run of the command.
type app struct {
	out, errs  io.Writer
	flagOutput bytes.Buffer // captures what the flag package prints
}

// usageError is a mistake on the command line that the flag package does not detect.
type usageError struct {
	text string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.text
}

// outcomeError is an outcome that is not of the class complete. It only sets the exit
// status: the command has already printed the outcome.
type outcomeError struct {
	code rrcode.Code
}

// Error implements error.
func (e *outcomeError) Error() string {
	return e.code.String()
}

// checkOutcome returns nil if c is of the class complete, and otherwise an
// *outcomeError.
func checkOutcome(c rrcode.Code) error {
	if c.Class() == rrcode.ClassComplete {
		return nil
	}
	return &outcomeError{c}
}

// run runs the command line and returns the exit status.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	a := &app{out: out, errs: errs}
	root := a.root()
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	}
	return a.exitStatus(err)
}

// exitStatus prints err and returns the exit status for it.
func (a *app) exitStatus(err error) int {
	var usage *usageError
	var value *rrflag.RangeError
	var missing ffcli.NoExecError
	var failed *outcomeError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		a.flagOutput.WriteTo(a.out)
		return exitOK
	case errors.As(err, &failed):
		return failed.code.Class().ExitStatus()
	case errors.As(err, &missing):
		fmt.Fprintf(a.errs, "rattanring: a subcommand is missing or unknown\n\n%s\n", missing.Command.UsageFunc(missing.Command))
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(a.errs, "rattanring:", usage)
		return exitUsage
	case errors.As(err, &value):
		// Only errors of environment variables need the value added: the flag package
		// prints the value of a flag itself.
		fmt.Fprintf(a.errs, "rattanring: %v, not %q\n", err, value.Value)
		return exitUsage
	case a.flagOutput.Len() > 0:
		// The flag package has reported an invalid flag.
		fmt.Fprintln(a.errs, "rattanring:", err)
		return exitUsage
	}
	fmt.Fprintln(a.errs, "rattanring:", err)
	return exitFailed
}

func (a *app) root() *ffcli.Command {
	return a.group("rattanring", "rattanring SUBCOMMAND [flags]", "dispatches sub-second tasks",
		a.entry(), a.node(), a.submit(), a.cancel(), a.preset(), a.zone(), a.config(), a.statusCommand(), a.explain(), a.trace(), a.version())
}

// group returns a command that only has subcommands.
func (a *app) group(name, usage, help string, subs ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  usage,
		ShortHelp:   help,
		UsageFunc:   usageText,
		FlagSet:     a.newFlagSet(name),
		Subcommands: subs,
	}
}

// command returns a command that runs exec. Its flags can also be set by
// environment variables.
func (a *app) command(name, usage, help string, fs *flag.FlagSet, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  help,
		UsageFunc:  usageText,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       exec,
	}
}

func (a *app) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&a.flagOutput)
	return fs
}

// noArgs returns a usage error if there are arguments that are not flags.
func noArgs(args []string) error {
	if len(args) > 0 {
		return &usageError{fmt.Sprintf("unexpected argument %q", args[0])}
	}
	return nil
}
