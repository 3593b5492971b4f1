package main

import (
	"context"
	"flag"
	"net/http"
	"time"

	"rattanring/io/rrcall"
	"rattanring/io/rrflag"
)

// entryOptions are the flags for calls to the entries.
type entryOptions struct {
	entries []string
	timeout time.Duration
}

const defaultEntryAddr = "127.0.0.1:7400"

// register adds the flag with the addresses of the entries.
func (f *entryOptions) register(fs *flag.FlagSet) {
	fs.Var(rrflag.Addrs{Dest: &f.entries}, "entry", "`host:port,...` of entries, tried in this order; "+defaultEntryAddr+" if empty")
}

// registerTimeout adds the flag that bounds a command other than submit.
func (f *entryOptions) registerTimeout(fs *flag.FlagSet) {
	f.timeout = 15 * time.Second
	fs.Var(rrflag.Duration{Dest: &f.timeout, Min: time.Millisecond, Max: time.Hour}, "timeout", "`time` that the command may take")
}

func (f *entryOptions) client() *rrcall.Client {
	entries := f.entries
	if len(entries) == 0 {
		entries = []string{defaultEntryAddr}
	}
	return &rrcall.Client{Entries: entries, HTTP: http.DefaultClient}
}

// withTimeout returns a context that ends after the timeout.
func (f *entryOptions) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, f.timeout)
}
