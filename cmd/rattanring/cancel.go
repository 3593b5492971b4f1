package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrflag"
)

// cancelOutput is the JSON document that cancel prints with -json.
type cancelOutput struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks"`
}

func (a *app) cancel() *ffcli.Command {
	var f entryOptions
	var asJSON bool
	tenant := "default"
	fs := a.newFlagSet("cancel")
	f.register(fs)
	f.registerTimeout(fs)
	fs.Var(rrflag.Name{Dest: &tenant}, "tenant", "`name` of the tenant")
	fs.Var(rrflag.Bool{Dest: &asJSON}, "json", "print JSON")
	return a.command("cancel", "rattanring cancel [flags] REQUEST...", "drop the tasks of jobs that have not started",
		fs, func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return &usageError{"a request id is missing"}
			}
			ctx, stop := f.withTimeout(ctx)
			defer stop()
			jobs, tasks, err := f.client().Cancel(ctx, tenant, args)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(a.out).Encode(cancelOutput{jobs, tasks})
			}
			_, err = fmt.Fprintf(a.out, "%d jobs canceled, %d tasks dropped\n", jobs, tasks)
			return err
		})
}
