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

const fleetBenchHelp = `Three replicas are started as processes, followers in this one. Measured are bytes at the sockets,
processor time, memory, and how long each change takes until all act on it alone. Changes are in turn of a node, which
is replaced, and of a plan's limit.

With --marks, what grows with the changes is measured instead: the replicas' memory and folders after so many changes,
then how long a replica takes to start from such a folder, and what one that joins takes to catch up. It may run for
minutes.`

func fleetBenchCommand() *cobra.Command {
	command := &cobra.Command{Use: "bench", Args: cobra.NoArgs, Long: fleetBenchHelp,
		Short: "Measure replicas with many followers on this machine"}
	var options fleetbench.Options
	flags := command.Flags()
	flags.IntVar(&options.Followers, "followers", 300,
		"followers, all in this process; with --marks none unless it is given")
	flags.IntVar(&options.Nodes, "nodes", 100, "storage nodes in a version, each with a shard of its own")
	flags.IntVar(&options.Changes, "changes", 40, "versions to be proposed one after another")
	flags.DurationVar(&options.Idle, "idle", 10*time.Second, "time for which all are watched at rest")
	flags.BoolVar(&options.Kill, "kill", false,
		"kill the leading replica after half of the changes, and start it again a quarter later")
	flags.BoolVar(&options.Straight, "straight", false,
		"replicas reach each other without relays in this process: for times; what passes between them is not counted")
	flags.IntSliceVar(&options.Marks, "marks", nil,
		"numbers of changes after which the replicas' memory and folders are read, as 500,10000")
	file := flags.String("json", "", "file for the figures")
	command.RunE = func(command *cobra.Command, _ []string) (err error) {
		if len(options.Marks) > 0 {
			if flags.Changed("changes") {
				return errors.New("--changes and --marks: with marks, the last of them is how many changes are made")
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
		options.Note = func(line string) { writeln(command.ErrOrStderr(), line) }
		return measureFleet(command.OutOrStdout(), options, *file)
	}
	return command
}

// fleetFigures are figures of a bench, for people and as JSON.
type fleetFigures interface{ Text(out io.Writer) }

// measureFleet measures until a signal, and writes the figures to the output and, if one is named, to a file.
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
		return fleetbench.Grow(ctx, options)
	}
	return fleetbench.Run(ctx, options)
}

// reservedFile is a file that is known to be writable before anything is measured for it.
type reservedFile struct {
	name    string
	pending *renameio.PendingFile
}

func reserveFile(name string) (*reservedFile, error) {
	if info, err := os.Stat(name); err == nil && !info.Mode().IsRegular() {
		return nil, fmt.Errorf("--json %s: it is no file", name)
	}
	pending, err := renameio.NewPendingFile(name, renameio.WithPermissions(0o644))
	if err != nil {
		return nil, fmt.Errorf("--json %s: %w", name, err)
	}
	return &reservedFile{name, pending}, nil
}

// save puts the content in place, complete or not at all.
func (f *reservedFile) save(content []byte) error {
	if _, err := f.pending.Write(content); err != nil {
		return fmt.Errorf("--json %s: %w", f.name, err)
	}
	return f.pending.CloseAtomicallyReplace()
}

// discard removes what was not saved.
func (f *reservedFile) discard() { _ = f.pending.Cleanup() }
