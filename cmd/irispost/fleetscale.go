package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strings"

	"github.com/spf13/cobra"

	"irispost/internal/scale"
)

const fleetScaleHelp = `Runs gateways without clients in this process. They follow three replicas, which run as
processes, over simulated links between two regions. Each gateway has the fleet client, the event loop and the scheduler
of a real one. Without CASE, the command lists all cases. With one, it checks the end state and, with --timed, the time
bounds, prints all violations, and fails if there are any.`

func fleetScaleCommand() *cobra.Command {
	command := &cobra.Command{Use: "scale [CASE]", Args: cobra.MaximumNArgs(1), Long: fleetScaleHelp,
		Short: "Test a large fleet of gateways without clients on this machine"}
	size := scale.FullSize()
	addSizeFlags(command, &size)
	file := command.Flags().String("json", "", "write the result to this file as JSON")
	command.RunE = func(command *cobra.Command, args []string) error {
		out := command.OutOrStdout()
		if len(args) == 0 {
			for _, c := range scale.Cases {
				writef(out, "%-10s %s\n", c.Name, c.Description)
			}
			return nil
		}
		result, err := runScaleCase(out, args[0], size)
		if err != nil {
			return err
		}
		if err := saveScaleResult(out, result, *file); err != nil {
			return err
		}
		return checkScaleResult(result)
	}
	return command
}

func addSizeFlags(command *cobra.Command, size *scale.Size) {
	flags := command.Flags()
	flags.IntVar(&size.Gateways, "gateways", size.Gateways, "number of gateways")
	flags.IntVar(&size.Nodes, "nodes", size.Nodes, "number of storage nodes in the endpoint list, one per shard")
	flags.IntVar(&size.Changes, "changes", size.Changes, "case ordinary: number of changes")
	flags.IntVar(&size.Restarts, "restarts", size.Restarts, "case ordinary: number of gateway restarts")
	flags.IntVar(&size.Kills, "kills", size.Kills,
		"case ordinary: number of kills, the first of a replica, the others of gateways")
	flags.IntVar(&size.Replacements, "replacements", size.Replacements, "number of nodes to replace, one after another")
	flags.IntVar(&size.ChangesPerFault, "rounds", size.ChangesPerFault, "number of changes per fault")
	flags.IntVar(&size.RestartBatch, "wave", size.RestartBatch,
		"number of gateways that a rolling restart restarts at once")
	flags.IntVar(&size.Phases, "parts", size.Phases, "case ordinary: number of phases; memory is measured after each")
	flags.IntSliceVar(&size.ReplicaRegions, "keepers-in", size.ReplicaRegions, "region, 0 or 1, of each replica")
	flags.StringSliceVar(&size.Faults, "faults", nil,
		"case in-force: faults to inject, from: "+strings.Join(scale.FaultNames(), ", ")+"; default: all")
	flags.DurationVar(&size.Latency, "latency", size.Latency, "one-way latency between regions")
	flags.DurationVar(&size.Lease, "lease", size.Lease, "how long a gateway may act on a version without a renewal")
	flags.DurationVar(&size.FallbackDuration, "floor", size.FallbackDuration,
		"how long a gateway without a lease continues to serve")
	flags.DurationVar(&size.IdleTime, "rest", size.IdleTime, "how long to measure the idle fleet")
	flags.DurationVar(&size.Timeout, "patience", size.Timeout, "timeout for each state that the test waits for")
	flags.BoolVar(&size.SlowStart, "cold", size.SlowStart,
		"connect gateways to each other to allocate slow-start budgets")
	flags.BoolVar(&size.EnforceTimeBounds, "timed", size.EnforceTimeBounds, "check time bounds too")
}

// runScaleCase runs a case with replicas as processes of this program, in a temporary directory.
func runScaleCase(out io.Writer, name string, size scale.Size) (*scale.Result, error) {
	scaleCase, err := scale.Find(name)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "irispost-scale")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return scale.Run(scaleCase, size, scale.Options{
		Program:  func(args ...string) *exec.Cmd { return exec.Command(self, args...) },
		Dir:      dir,
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Progress: func(format string, args ...any) { writef(out, format+"\n", args...) },
	})
}

// saveScaleResult writes a result as JSON to a file, or to out if file is empty.
func saveScaleResult(out io.Writer, result *scale.Result, file string) error {
	if file == "" {
		return writeJSON(out, result)
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(encoded, '\n'), 0o600)
}

// checkScaleResult returns an error if the case was not run or a check failed.
func checkScaleResult(result *scale.Result) error {
	if result.NotRun != "" {
		return fmt.Errorf("%s was not run: %s", result.Case, result.NotRun)
	}
	if len(result.Violations) > 0 {
		violations := strings.Join(result.Violations, "\n")
		return fmt.Errorf("%s: %d checks failed:\n%s", result.Case, len(result.Violations), violations)
	}
	return nil
}
