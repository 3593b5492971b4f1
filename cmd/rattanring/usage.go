package main

import (
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// usageText returns the help of a command: its purpose, its subcommands, and each
// flag with its unit, default and environment variable.
func usageText(c *ffcli.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n\nUsage:\n  %s\n", c.ShortHelp, c.ShortUsage)
	if c.LongHelp != "" {
		fmt.Fprintf(&b, "\n%s\n", c.LongHelp)
	}
	writeSubcommands(&b, c.Subcommands)
	writeFlags(&b, c.FlagSet)
	return strings.TrimRight(b.String(), "\n")
}

func writeSubcommands(b *strings.Builder, subs []*ffcli.Command) {
	if len(subs) == 0 {
		return
	}
	fmt.Fprintf(b, "\nSubcommands:\n")
	tw := tabwriter.NewWriter(b, 0, 2, 2, ' ', 0)
	for _, s := range subs {
		fmt.Fprintf(tw, "  %s\t%s\n", s.Name, s.ShortHelp)
	}
	tw.Flush()
}

func writeFlags(b *strings.Builder, fs *flag.FlagSet) {
	empty := true
	fs.VisitAll(func(f *flag.Flag) {
		if empty {
			fmt.Fprintf(b, "\nFlags, each also an environment variable:\n")
			empty = false
		}
		name, usage := flag.UnquoteUsage(f)
		fmt.Fprintf(b, "  -%s %s\n", f.Name, name)
		fmt.Fprintf(b, "        %s%s [%s]\n", usage, defaultText(f), envName(f.Name))
	})
}

func defaultText(f *flag.Flag) string {
	if f.DefValue == "" {
		return ""
	}
	return " (default " + f.DefValue + ")"
}

func envName(flagName string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}
