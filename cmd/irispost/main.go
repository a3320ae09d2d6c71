// Command irispost is a storage gateway and its tools.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// version is set by the build of a release.
var version = "development"

func main() {
	if err := program().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "irispost:", err)
		os.Exit(1)
	}
}

// program is the command with all its sub-commands.
func program() *cobra.Command {
	root := &cobra.Command{
		Use:   "irispost",
		Short: "A gateway that schedules a host's reads and writes over storage nodes",
		Long: `irispost takes file commands (SFTP version 3, without the cryptography) and schedules them over storage nodes.
Begin with "irispost demo".`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), nodeCommand(), demoCommand(), dayCommand(), benchCommand(), replayCommand(), explainCommand(), captureCommand(),
		webCommand(), keeperCommand(), rulesCommand(), fleetCommand(), statusCommand(), membersCommand(), standinCommand(), diskCommand(),
		&cobra.Command{Use: "version", Short: "Tell which build this is", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) {
				writeln(c.OutOrStdout(), "irispost", version)
				if info, ok := debug.ReadBuildInfo(); ok {
					writeln(c.OutOrStdout(), info.GoVersion, info.Main.Version)
				}
			}})
	root.AddCommand(fileCommands()...)
	return root
}

// logs adds the flags for logs, and returns what makes the log.
func logs(c *cobra.Command) func() *slog.Logger {
	form := c.Flags().String("log", "text", "form of the log: text or json")
	level := c.Flags().String("level", "info", "least level: debug, info, warn or error")
	return func() *slog.Logger {
		var l slog.Level
		if err := l.UnmarshalText([]byte(*level)); err != nil {
			l = slog.LevelInfo
		}
		opt := &slog.HandlerOptions{Level: l}
		if *form == "json" {
			return slog.New(slog.NewJSONHandler(os.Stderr, opt))
		}
		return slog.New(slog.NewTextHandler(os.Stderr, opt))
	}
}

// untilSignal ends with SIGINT or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
