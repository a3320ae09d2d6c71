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

func scaleCommand() *cobra.Command {
	c := &cobra.Command{Use: "scale [CASE]", Short: "Run a whole fleet of gateways without clients on this machine, and check what comes of a case", Args: cobra.MaximumNArgs(1),
		Long: `Hollow gateways in this process follow three keepers, which are processes of their own, over links between two regions; each has
the following, the loop and the decision module of a real one, and no clients. Without a case, all are listed. What holds at the end is
checked, and with --timed the bounds of time too; what does not hold is printed, and the command fails.`}
	s := scale.Full()
	f := c.Flags()
	f.IntVar(&s.Gateways, "gateways", s.Gateways, "hollow gateways")
	f.IntVar(&s.Nodes, "nodes", s.Nodes, "storage nodes in the list, a shard each")
	f.IntVar(&s.Changes, "changes", s.Changes, "changes of the ordinary day")
	f.IntVar(&s.Restarts, "restarts", s.Restarts, "restarts of the ordinary day")
	f.IntVar(&s.Kills, "kills", s.Kills, "kills of the ordinary day, one of them a keeper's")
	f.IntVar(&s.Replacements, "replacements", s.Replacements, "nodes that are replaced, one after another")
	f.IntVar(&s.ChangesPerFault, "rounds", s.ChangesPerFault, "changes under each fault")
	f.IntVar(&s.RestartBatch, "wave", s.RestartBatch, "gateways that a rolling restart has away at once")
	f.IntVar(&s.Phases, "parts", s.Phases, "parts of the ordinary day, after each of which is weighed what is held")
	f.IntSliceVar(&s.ReplicaRegions, "keepers-in", s.ReplicaRegions, "the region, 0 or 1, of each keeper")
	f.StringSliceVar(&s.Faults, "faults", nil, "faults of the case in-force: "+strings.Join(scale.FaultNames(), ", ")+"; all if none is named")
	f.DurationVar(&s.Latency, "latency", s.Latency, "one way, between regions")
	f.DurationVar(&s.Lease, "lease", s.Lease, "how long a gateway acts on what it was told")
	f.DurationVar(&s.FallbackDuration, "floor", s.FallbackDuration, "how long a gateway that is cut off serves on")
	f.DurationVar(&s.IdleTime, "rest", s.IdleTime, "how long the fleet is watched at rest")
	f.DurationVar(&s.Timeout, "patience", s.Timeout, "how long an end state is waited for at most")
	f.BoolVar(&s.SlowStart, "cold", s.SlowStart, "gateways reach each other, and deal out what cold nodes bear")
	f.BoolVar(&s.EnforceTimeBounds, "timed", s.EnforceTimeBounds, "hold the times against their bounds too")
	file := f.String("json", "", "file for the result")
	c.RunE = func(c *cobra.Command, args []string) error {
		out := c.OutOrStdout()
		if len(args) == 0 {
			for _, one := range scale.Cases {
				writef(out, "%-10s %s\n", one.Name, one.Description)
			}
			return nil
		}
		one, err := scale.Find(args[0])
		if err != nil {
			return err
		}
		self, err := os.Executable()
		if err != nil {
			return err
		}
		dir, err := os.MkdirTemp("", "irispost-scale")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		r, err := scale.Run(one, s, scale.Options{Program: func(args ...string) *exec.Cmd { return exec.Command(self, args...) }, Dir: dir,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Note:   func(format string, args ...any) { writef(out, format+"\n", args...) }})
		if err != nil {
			return err
		}
		return scaleResult(out, r, *file)
	}
	return c
}

// scaleResult writes a result down, and fails where something does not hold.
func scaleResult(out io.Writer, r *scale.Result, file string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	b = append(b, '\n')
	if file == "" {
		_, _ = out.Write(b) // as writef
	} else if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	if r.NotRun != "" {
		return fmt.Errorf("%s was not run: %s", r.Case, r.NotRun)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%s: %d do not hold:\n%s", r.Case, len(r.Violations), strings.Join(r.Violations, "\n"))
	}
	return nil
}
