// Command rattanring is the dispatcher: it runs an entry, and submits, steers and
// inspects from the command line.
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

// Exit statuses besides those of rrcode.Class.Exit.
const (
	exitOK     = 0
	exitFailed = 1 // no entry answered, or an entry could not run
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
	out, errs io.Writer
	usage     bytes.Buffer // what the flag package prints
}

// usageError is a mistake on the command line that the flags do not notice.
type usageError struct {
	text string
}

// Error returns the mistake.
func (e *usageError) Error() string {
	return e.text
}

// outcomeError ends the command with the exit status of a code's class.
type outcomeError struct {
	code rrcode.Code
}

// Error returns the name of the code.
func (e *outcomeError) Error() string {
	return e.code.String()
}

// outcome returns nil if c is of the class complete.
func outcome(c rrcode.Code) error {
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
	return a.status(err)
}

// status reports err and returns the exit status for it.
func (a *app) status(err error) int {
	var usage *usageError
	var value *rrflag.RangeError
	var missing ffcli.NoExecError
	var failed *outcomeError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		a.usage.WriteTo(a.out)
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
		// Only for environment variables; the flag package names the value of a flag.
		fmt.Fprintf(a.errs, "rattanring: %v, not %q\n", err, value.Value)
		return exitUsage
	case a.usage.Len() > 0:
		fmt.Fprintln(a.errs, "rattanring:", err)
		return exitUsage
	}
	fmt.Fprintln(a.errs, "rattanring:", err)
	return exitFailed
}

func (a *app) root() *ffcli.Command {
	return a.group("rattanring", "rattanring SUBCOMMAND [flags]", "dispatches sub-second tasks",
		a.entry(), a.node(), a.submit(), a.cancel(), a.preset(), a.config(), a.statusCommand(), a.explain(), a.trace(), a.version())
}

// group returns a command that only holds subcommands.
func (a *app) group(name, usage, help string, subs ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  usage,
		ShortHelp:   help,
		UsageFunc:   usageText,
		FlagSet:     a.flags(name),
		Subcommands: subs,
	}
}

// command returns a command that does something. Its flags are environment
// variables too.
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

func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&a.usage)
	return fs
}

// noArgs refuses arguments that are not flags.
func noArgs(args []string) error {
	if len(args) > 0 {
		return &usageError{fmt.Sprintf("unexpected argument %q", args[0])}
	}
	return nil
}
