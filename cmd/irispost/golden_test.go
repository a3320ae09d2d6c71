package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"irispost/internal/testkit/golden"
)

// The names of commands, aliases and flags, and the flags' defaults, do not change: operators' scripts depend on
// them.
func TestGoldenCommands(t *testing.T) {
	t.Setenv("IRISPOST_AT", "")
	var b strings.Builder
	listCommand(&b, "", rootCommand())
	golden.Check(t, "commands.txt", []byte(b.String()))
}

// Former names of commands still work as aliases: operators' scripts may use them.
func TestEarlierNamesOfCommandsStillWork(t *testing.T) {
	for alias, current := range map[string]string{
		"day":           "irispost scenario",
		"fleet keepers": "irispost fleet replicas",
		"keeper":        "irispost replica",
		"members":       "irispost endpoints",
		"rules diff":    "irispost versions diff",
		"rules log":     "irispost versions log",
		"rules propose": "irispost versions propose",
		"rules show":    "irispost versions show",
		"xds-standin":   "irispost xds-server",
	} {
		command, _, err := rootCommand().Find(strings.Fields(alias))
		if err != nil {
			t.Error(err)
			continue
		}
		if path := command.CommandPath(); path != current {
			t.Errorf("alias %q: got command %q, want %q", alias, path, current)
		}
	}
}

// listCommand writes a command and its subcommands, which cobra sorts by name.
func listCommand(b *strings.Builder, parent string, c *cobra.Command) {
	name := strings.TrimSpace(parent + " " + c.Use)
	fmt.Fprintf(b, "%s\n", name)
	if len(c.Aliases) > 0 {
		fmt.Fprintf(b, "  aliases %s\n", strings.Join(c.Aliases, ", "))
	}
	if c.Hidden {
		fmt.Fprintln(b, "  hidden")
	}
	c.LocalNonPersistentFlags().VisitAll(func(f *pflag.Flag) { listFlag(b, "flag", f) })
	c.PersistentFlags().VisitAll(func(f *pflag.Flag) { listFlag(b, "persistent flag", f) })
	for _, sub := range c.Commands() {
		listCommand(b, strings.TrimSpace(parent+" "+c.Name()), sub)
	}
}

func listFlag(b *strings.Builder, kind string, f *pflag.Flag) {
	short := ""
	if f.Shorthand != "" {
		short = " -" + f.Shorthand
	}
	required := ""
	if len(f.Annotations[cobra.BashCompOneRequiredFlag]) > 0 {
		required = ", required"
	}
	fmt.Fprintf(b, "  %s --%s%s %s, default %q%s\n", kind, f.Name, short, f.Value.Type(), f.DefValue, required)
}
