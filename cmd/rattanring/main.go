// Command rattanring runs an entry.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"rattanring/io/rrentry"
	"rattanring/io/rrlog"
	"rattanring/io/rrset"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	set := rrset.Default()
	fs := flag.NewFlagSet("entry", flag.ExitOnError)
	set.Register(fs)
	if len(os.Args) < 2 || os.Args[1] != "entry" {
		fmt.Fprintln(os.Stderr, "usage: rattanring entry [flags]")
		os.Exit(2)
	}
	fs.Parse(os.Args[2:])
	if err := set.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	logger := rrlog.New(os.Stderr, rrlog.Options{Level: set.LogLevel, Format: set.LogFormat})
	if err := rrentry.Run(ctx, set, logger); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
