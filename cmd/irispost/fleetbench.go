package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"irispost/internal/scale/fleetbench"
)

const fleetBenchHelp = `Starts three replicas as processes and the followers in this process. It measures the bytes at
the sockets, CPU time, memory, and how long each change takes until all followers act on it alone. Changes alternate
between replacing a node and changing a plan's limit.

With --marks, it measures growth instead: the memory and directory sizes of the replicas after the given numbers of
changes, then how long a replica takes to start from such a directory, and the time and bytes that a joining replica
needs to catch up. This may take minutes.`

func fleetBenchCommand() *cobra.Command {
	command := &cobra.Command{Use: "bench", Args: cobra.NoArgs, Long: fleetBenchHelp,
		Short: "Benchmark replicas with many followers on this machine"}
	var options fleetbench.Options
	flags := command.Flags()
	flags.IntVar(&options.Followers, "followers", 300,
		"number of followers, all in this process; with --marks the default is 0")
	flags.IntVar(&options.Nodes, "nodes", 100, "number of storage nodes in a version, each with a shard of its own")
	flags.IntVar(&options.Changes, "changes", 40, "number of versions to propose, one after another")
	flags.DurationVar(&options.Idle, "idle", 10*time.Second, "how long to measure the idle fleet")
	flags.BoolVar(&options.Kill, "kill", false,
		"kill the leader after half of the changes, and restart it after three quarters of them")
	flags.BoolVar(&options.DirectConnections, "straight", false,
		"connect replicas directly, without relays in this process: for times; bytes between replicas are not counted")
	flags.IntSliceVar(&options.Marks, "marks", nil,
		"numbers of changes after which to measure the replicas' memory and directories, for example 500,10000")
	file := flags.String("json", "", "write the results to this file as JSON")
	command.RunE = func(command *cobra.Command, _ []string) (err error) {
		if len(options.Marks) > 0 {
			if flags.Changed("changes") {
				return errors.New("--changes and --marks cannot be combined: the last mark is the number of changes")
			}
			if !flags.Changed("followers") {
				options.Followers = 0
			}
		}
		if err := options.Check(); err != nil {
			return err
		}
		if options.Program, err = os.Executable(); err != nil {
			return err
		}
		options.ReportProgress = func(line string) { writeln(command.ErrOrStderr(), line) }
		return measureFleet(command.OutOrStdout(), options, *file)
	}
	return command
}

// fleetFigures are the results of a benchmark, which can be printed as text and encoded as JSON.
type fleetFigures interface{ Text(out io.Writer) }

// measureFleet runs a benchmark, which a signal aborts. It prints the results, and saves them to a file if one is
// named.
func measureFleet(out io.Writer, options fleetbench.Options, file string) error {
	save := func([]byte) error { return nil }
	if file != "" {
		reserved, err := reserveFile(file)
		if err != nil {
			return err
		}
		defer reserved.discard()
		save = reserved.save
	}
	ctx, cancel := signalContext()
	defer cancel()
	figures, err := runFleetBench(ctx, options)
	if err != nil {
		return err
	}
	figures.Text(out)
	encoded, err := fleetbench.JSON(figures)
	if err != nil {
		return err
	}
	return save(encoded)
}

func runFleetBench(ctx context.Context, options fleetbench.Options) (fleetFigures, error) {
	if len(options.Marks) > 0 {
		return fleetbench.MeasureGrowth(ctx, options)
	}
	return fleetbench.Run(ctx, options)
}

// reservedFile is an output file that is checked to be writable before the measurement starts.
type reservedFile struct {
	name    string
	pending *renameio.PendingFile
}

func reserveFile(name string) (*reservedFile, error) {
	if info, err := os.Stat(name); err == nil && !info.Mode().IsRegular() {
		return nil, fmt.Errorf("--json %s: not a regular file", name)
	}
	pending, err := renameio.NewPendingFile(name, renameio.WithPermissions(0o644))
	if err != nil {
		return nil, fmt.Errorf("--json %s: %w", name, err)
	}
	return &reservedFile{name, pending}, nil
}

// save replaces the file's content atomically.
func (f *reservedFile) save(content []byte) error {
	if _, err := f.pending.Write(content); err != nil {
		return fmt.Errorf("--json %s: %w", f.name, err)
	}
	return f.pending.CloseAtomicallyReplace()
}

// discard removes the temporary file if save was not called.
func (f *reservedFile) discard() { _ = f.pending.Cleanup() }
