// Command irispost is a storage gateway and its tools. Each file has one command; it reads the flags, calls the package
// that does the work, and writes what comes of it for people or as JSON.
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
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "irispost:", err)
		os.Exit(1)
	}
}

// program is the command with all its sub-commands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "irispost",
		Short: "A gateway that schedules a host's reads and writes over storage nodes",
		Long: `irispost takes file commands (SFTP version 3, without the cryptography) and schedules them over storage nodes.
Begin with "irispost demo".`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), webCommand(), demoCommand(), checkCommand(), versionCommand()) // gateways
	root.AddCommand(statusCommand(), endpointsCommand(), captureCommand())                         // of a running gateway
	root.AddCommand(replicaCommand(), versionsCommand(), fleetCommand())                           // the fleet
	root.AddCommand(replayCommand(), explainCommand())                                             // captures
	root.AddCommand(nodeCommand(), xdsServerCommand(), scenarioCommand(), benchCommand())          // trials
	root.AddCommand(diskCommand())
	root.AddCommand(fileCommands()...)
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Show which build this is", Args: cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			writeln(command.OutOrStdout(), "irispost", version)
			if info, ok := debug.ReadBuildInfo(); ok {
				writeln(command.OutOrStdout(), info.GoVersion, info.Main.Version)
			}
		}}
}

// addLogFlags adds the flags for logs, and returns what makes the log once they are parsed.
func addLogFlags(command *cobra.Command) (newLog func() *slog.Logger) {
	format := command.Flags().String("log", "text", "form of the log: text or json")
	levelName := command.Flags().String("level", "info", "least level: debug, info, warn or error")
	return func() *slog.Logger {
		var level slog.Level
		if err := level.UnmarshalText([]byte(*levelName)); err != nil {
			level = slog.LevelInfo
		}
		options := &slog.HandlerOptions{Level: level}
		if *format == "json" {
			return slog.New(slog.NewJSONHandler(os.Stderr, options))
		}
		return slog.New(slog.NewTextHandler(os.Stderr, options))
	}
}

// untilSignal ends with SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
