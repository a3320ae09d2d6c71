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

const fleetScaleHelp = `Hollow gateways in this process follow three replicas, which are processes of their own, over links
between two regions; each has the fleet client, the event loop and the scheduler of a real one, and no clients. Without
a case, all are listed. The end state is checked, and with --timed the bounds of time too; what does not hold is
printed, and the command fails.`

func fleetScaleCommand() *cobra.Command {
	command := &cobra.Command{Use: "scale [CASE]", Args: cobra.MaximumNArgs(1), Long: fleetScaleHelp,
		Short: "Run a fleet of gateways without clients on this machine, and check a case"}
	size := scale.Full()
	addSizeFlags(command, &size)
	file := command.Flags().String("json", "", "file for the result")
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
	flags.IntVar(&size.Gateways, "gateways", size.Gateways, "hollow gateways")
	flags.IntVar(&size.Nodes, "nodes", size.Nodes, "storage nodes in the list, a shard each")
	flags.IntVar(&size.Changes, "changes", size.Changes, "changes of the ordinary day")
	flags.IntVar(&size.Restarts, "restarts", size.Restarts, "restarts of the ordinary day")
	flags.IntVar(&size.Kills, "kills", size.Kills, "kills of the ordinary day, one of them a replica's")
	flags.IntVar(&size.Replacements, "replacements", size.Replacements, "nodes that are replaced, one after another")
	flags.IntVar(&size.ChangesPerFault, "rounds", size.ChangesPerFault, "changes under each fault")
	flags.IntVar(&size.RestartBatch, "wave", size.RestartBatch, "gateways that a rolling restart has away at once")
	flags.IntVar(&size.Phases, "parts", size.Phases, "parts of the ordinary day, after each of which memory is measured")
	flags.IntSliceVar(&size.ReplicaRegions, "keepers-in", size.ReplicaRegions, "the region, 0 or 1, of each replica")
	flags.StringSliceVar(&size.Faults, "faults", nil,
		"faults of the case in-force: "+strings.Join(scale.FaultNames(), ", ")+"; all if none is named")
	flags.DurationVar(&size.Latency, "latency", size.Latency, "one way, between regions")
	flags.DurationVar(&size.Lease, "lease", size.Lease, "how long a gateway acts on a version without a renewal")
	flags.DurationVar(&size.FallbackDuration, "floor", size.FallbackDuration,
		"how long a gateway that is cut off serves on")
	flags.DurationVar(&size.IdleTime, "rest", size.IdleTime, "how long the fleet is watched at rest")
	flags.DurationVar(&size.Timeout, "patience", size.Timeout, "how long an end state is waited for at most")
	flags.BoolVar(&size.SlowStart, "cold", size.SlowStart, "gateways reach each other, and allocate slow-start budgets")
	flags.BoolVar(&size.EnforceTimeBounds, "timed", size.EnforceTimeBounds, "hold the times against their bounds too")
}

// runScaleCase runs a case with replicas as processes of this program, in a folder that is removed after it.
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
		Program: func(args ...string) *exec.Cmd { return exec.Command(self, args...) },
		Dir:     dir,
		Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
		Note:    func(format string, args ...any) { writef(out, format+"\n", args...) },
	})
}

// saveScaleResult writes a result to a file, or to the output where none is named.
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

// checkScaleResult fails where something does not hold.
func checkScaleResult(result *scale.Result) error {
	if result.NotRun != "" {
		return fmt.Errorf("%s was not run: %s", result.Case, result.NotRun)
	}
	if len(result.Violations) > 0 {
		violations := strings.Join(result.Violations, "\n")
		return fmt.Errorf("%s: %d do not hold:\n%s", result.Case, len(result.Violations), violations)
	}
	return nil
}
