package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rattanring/core/rrconf"
	"rattanring/io/rrcall"
	"rattanring/io/rrconfigdoc"
	"rattanring/io/rrflag"
)

// changeOptions are the flags of a command that changes the configuration.
type changeOptions struct {
	entryOptions
	author string
	asJSON bool
}

func (a *app) changeFlags(c *changeOptions, name string) *flag.FlagSet {
	c.author = "operator"
	fs := a.newFlagSet(name)
	c.register(fs)
	c.registerTimeout(fs)
	fs.Var(rrflag.Name{Dest: &c.author}, "author", "`name` that is kept with the change")
	fs.Var(rrflag.Bool{Dest: &c.asJSON}, "json", "print JSON")
	return fs
}

func presetNames() string {
	names := make([]string, len(rrconf.Presets))
	for i, p := range rrconf.Presets {
		names[i] = string(p)
	}
	return strings.Join(names, "|")
}

func (a *app) preset() *ffcli.Command {
	return a.group("preset", "rattanring preset get|set [flags]", "show or choose the preset in force", a.presetGet(), a.presetSet())
}

func (a *app) presetGet() *ffcli.Command {
	var f entryOptions
	var asJSON bool
	fs := a.newFlagSet("get")
	f.register(fs)
	f.registerTimeout(fs)
	fs.Var(rrflag.Bool{Dest: &asJSON}, "json", "print JSON")
	return a.command("get", "rattanring preset get [flags]", "print the preset in force", fs,
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
				return json.NewEncoder(a.out).Encode(presetJSON{string(cfg.Preset), cfg.Version})
			}
			_, err = fmt.Fprintln(a.out, cfg.Preset)
			return err
		})
}

type presetJSON struct {
	Preset  string `json:"preset"`
	Version uint64 `json:"version"`
}

func (a *app) presetSet() *ffcli.Command {
	var c changeOptions
	fs := a.changeFlags(&c, "set")
	return a.command("set", "rattanring preset set [flags] "+presetNames(), "put a preset in force everywhere", fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 || !rrconf.Preset(args[0]).Valid() {
				return &usageError{fmt.Sprintf("invalid preset %q: want %s", strings.Join(args, " "), presetNames())}
			}
			ctx, stop := c.withTimeout(ctx)
			defer stop()
			result, err := c.client().SetPreset(ctx, rrconf.Preset(args[0]), c.author)
			return a.printApplied(result, err, c.asJSON)
		})
}

func (a *app) config() *ffcli.Command {
	return a.group("config", "rattanring config get|apply [flags]", "show or replace the configuration", a.configGet(), a.configApply())
}

func (a *app) configGet() *ffcli.Command {
	var f entryOptions
	var asJSON bool
	fs := a.newFlagSet("get")
	f.register(fs)
	f.registerTimeout(fs)
	fs.Var(rrflag.Bool{Dest: &asJSON}, "json", "print JSON, which is the only format")
	return a.command("get", "rattanring config get [flags]", "print the configuration document in force", fs,
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
			_, err = a.out.Write(rrconfigdoc.Encode(cfg))
			return err
		})
}

func (a *app) configApply() *ffcli.Command {
	var c changeOptions
	fs := a.changeFlags(&c, "apply")
	cmd := a.command("apply", "rattanring config apply [flags] FILE", "replace the configuration by a document", fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return &usageError{"want one FILE, or - for the standard input"}
			}
			cfg, err := readConfig(args[0])
			if err != nil {
				return &usageError{fmt.Sprintf("%s: %v", args[0], err)}
			}
			ctx, stop := c.withTimeout(ctx)
			defer stop()
			cfg.Author = c.author
			result, err := c.client().Apply(ctx, cfg)
			return a.printApplied(result, err, c.asJSON)
		})
	cmd.LongHelp = `The document is one that "config get" printed, edited. Its version must still be the
one in force; otherwise nothing changes, and the document that won is printed.`
	return cmd
}

func readConfig(path string) (rrconf.Config, error) {
	if path == "-" {
		text, err := io.ReadAll(io.LimitReader(os.Stdin, rrconfigdoc.MaxDocumentBytes+1))
		if err != nil {
			return rrconf.Config{}, err
		}
		return rrconfigdoc.Decode(text)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return rrconf.Config{}, err
	}
	return rrconfigdoc.Decode(text)
}

type appliedJSON struct {
	Code    uint32          `json:"code"`
	Outcome string          `json:"outcome"`
	Detail  string          `json:"detail,omitempty"`
	Active  json.RawMessage `json:"won"`
}

// printApplied prints the outcome of a configuration change.
func (a *app) printApplied(result rrcall.ApplyResult, err error, asJSON bool) error {
	if err != nil {
		return err
	}
	if asJSON {
		doc := appliedJSON{uint32(result.Code), result.Code.String(), result.Detail, rrconfigdoc.Encode(result.Active)}
		if err := json.NewEncoder(a.out).Encode(doc); err != nil {
			return err
		}
		return checkOutcome(result.Code)
	}
	fmt.Fprintf(a.out, "%d %s: %s\n", uint32(result.Code), result.Code, result.Code.Description())
	if result.Detail != "" {
		fmt.Fprintln(a.out, result.Detail)
	}
	fmt.Fprintf(a.out, "in force: version %d, preset %s, author %q\n", result.Active.Version, result.Active.Preset, result.Active.Author)
	if err := checkOutcome(result.Code); err != nil {
		a.out.Write(rrconfigdoc.Encode(result.Active))
		return err
	}
	return nil
}
