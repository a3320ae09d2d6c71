// Command irispost runs a storage gateway and the tools around it. Each file implements one command or a group of
// related ones: it parses the flags, calls the package that does the work, and prints the result as text or JSON.
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

// version is set by release builds.
var version = "development"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "irispost:", err)
		os.Exit(1)
	}
}

// rootCommand returns the irispost command with all its subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "irispost",
		Short: "A storage gateway that schedules a host's reads and writes over storage nodes",
		Long: `irispost accepts file requests (SFTP version 3 over plain TCP, without SSH) and schedules them over storage
nodes. To get started, run "irispost demo".`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), webCommand(), demoCommand(), checkCommand(), versionCommand()) // run a gateway
	root.AddCommand(statusCommand(), endpointsCommand(), captureCommand())                         // inspect a running gateway
	root.AddCommand(replicaCommand(), versionsCommand(), fleetCommand())                           // replicas and the fleet
	root.AddCommand(replayCommand(), explainCommand())                                             // replay captures
	root.AddCommand(nodeCommand(), xdsServerCommand(), scenarioCommand(), benchCommand())          // tests and benchmarks
	root.AddCommand(diskCommand())
	root.AddCommand(fileCommands()...)
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Show the version of this build", Args: cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			writeln(command.OutOrStdout(), "irispost", version)
			if info, ok := debug.ReadBuildInfo(); ok {
				writeln(command.OutOrStdout(), info.GoVersion, info.Main.Version)
			}
		}}
}

// addLogFlags adds the logging flags. The returned function creates the logger and is called after the flags are
// parsed.
func addLogFlags(command *cobra.Command) (newLog func() *slog.Logger) {
	format := command.Flags().String("log", "text", "log format: text or json")
	levelName := command.Flags().String("level", "info", "minimum log level: debug, info, warn or error")
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

// signalContext returns a context that is cancelled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
