package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrflag"
	"rattanring/io/rrplatform"
)

func platformCommand(out, errs io.Writer) *ffcli.Command {
	listen := "127.0.0.1:0"
	p := &rrplatform.Platform{WritesPerSecond: rrplatform.DefaultWritesPerSecond, ReadsPerSecond: rrplatform.DefaultReadsPerSecond}
	fs := newFlagSet("platform", errs)
	fs.Var(rrflag.Addr{Dest: &listen}, "listen", "`host:port` to listen on; port 0 lets the kernel choose")
	fs.Var(rrflag.Int{Dest: &p.WritesPerSecond, Min: 1, Max: 1_000_000}, "writes", "`writes` a second that the key-value service carries")
	fs.Var(rrflag.Int{Dest: &p.ReadsPerSecond, Min: 1, Max: 1_000_000}, "reads", "`reads` a second that the key-value service carries")
	return command("platform", "run a stand-in of the platform", fs, func(ctx context.Context, _ []string) error {
		return servePlatform(ctx, p, listen, out)
	})
}

// servePlatform prints the platform's URL and serves until ctx ends.
func servePlatform(ctx context.Context, p *rrplatform.Platform, listen string, out io.Writer) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return merry.Wrap(err)
	}
	srv := &http.Server{Handler: p.Handler()}
	fmt.Fprintf(out, "platform http://%s\n", ln.Addr())
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.Serve(ln); err != http.ErrServerClosed {
		return merry.Wrap(err)
	}
	return nil
}
