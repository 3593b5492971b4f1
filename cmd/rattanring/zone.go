package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/io/rrflag"
)

func (a *app) zone() *ffcli.Command {
	return a.group("zone", "rattanring zone evacuate|restore|list [flags]", "take availability zones out of use and back into use",
		a.zoneChange("evacuate", "start no more tasks on the minions of a zone", true),
		a.zoneChange("restore", "start tasks on the minions of an evacuated zone again", false), a.zoneList())
}

// zoneChange returns the command that evacuates a zone, or the one that restores it.
func (a *app) zoneChange(name, help string, evacuated bool) *ffcli.Command {
	var c changeOptions
	fs := a.changeFlags(&c, name)
	return a.command(name, "rattanring zone "+name+" [flags] ZONE", help, fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 || !rrflag.IsName(args[0]) {
				return &usageError{"want one ZONE of " + rrflag.NameFormat}
			}
			ctx, stop := c.withTimeout(ctx)
			defer stop()
			result, err := c.client().EvacuateZone(ctx, args[0], evacuated, c.author)
			if err := a.printApplied(result, err, c.asJSON); err != nil || c.asJSON {
				return err
			}
			_, err = fmt.Fprintln(a.out, "evacuated zones:", zoneNames(result.Active.Evacuated))
			return err
		})
}

type zonesJSON struct {
	Evacuated []string `json:"evacuated"`
	Version   uint64   `json:"version"`
}

func (a *app) zoneList() *ffcli.Command {
	var f entryOptions
	var asJSON bool
	fs := a.newFlagSet("list")
	f.register(fs)
	f.registerTimeout(fs)
	fs.Var(rrflag.Bool{Dest: &asJSON}, "json", "print JSON")
	return a.command("list", "rattanring zone list [flags]", "print the evacuated zones, one on each line", fs,
		func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			ctx, stop := f.withTimeout(ctx)
			defer stop()
			cfg, err := f.client().Config(ctx)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(a.out).Encode(zonesJSON{append([]string{}, cfg.Evacuated...), cfg.Version})
			}
			for _, zone := range cfg.Evacuated {
				fmt.Fprintln(a.out, zone)
			}
			return nil
		})
}

func zoneNames(zones []string) string {
	if len(zones) == 0 {
		return "none"
	}
	return strings.Join(zones, ", ")
}
