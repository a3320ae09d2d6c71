package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"irispost/internal/scale/fleetbench"
)

func sizeCommand() *cobra.Command {
	c := &cobra.Command{Use: "bench", Short: "Measure keepers with many followers on this machine", Args: cobra.NoArgs,
		Long: `Three keepers are started as processes, followers in this one. Measured are bytes at the sockets, processor time, memory, and how
long each change takes until all act on it alone. Changes are in turn of a node, which is replaced, and of a plan's limit.

With --marks, what grows with the changes is measured instead: the keepers' memory and folders after so many changes, then how long a
keeper takes to start from such a folder, and what one that joins takes to catch up. It may run for minutes.`}
	o := fleetbench.Options{}
	c.Flags().IntVar(&o.Followers, "followers", 300, "followers, all in this process; with --marks none unless it is given")
	c.Flags().IntVar(&o.Nodes, "nodes", 100, "storage nodes in a version, each with a shard of its own")
	c.Flags().IntVar(&o.Changes, "changes", 40, "versions to be proposed one after another")
	c.Flags().DurationVar(&o.Idle, "idle", 10*time.Second, "time for which all are watched at rest")
	c.Flags().BoolVar(&o.Kill, "kill", false, "kill the leading keeper after half of the changes, and start it again a quarter later")
	c.Flags().BoolVar(&o.Straight, "straight", false, "keepers reach each other without relays in this process: for times; what passes between them is not counted")
	c.Flags().IntSliceVar(&o.Marks, "marks", nil, "numbers of changes after which the keepers' memory and folders are read, as 500,10000")
	file := c.Flags().String("json", "", "file for the figures")
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		if len(o.Marks) > 0 {
			if c.Flags().Changed("changes") {
				return fmt.Errorf("--changes and --marks: with marks, the last of them is how many changes are made")
			}
			if !c.Flags().Changed("followers") {
				o.Followers = 0
			}
		}
		if err := o.Check(); err != nil {
			return err
		}
		if o.Program, err = os.Executable(); err != nil {
			return err
		}
		o.Note = func(line string) { writeln(c.ErrOrStderr(), line) }
		save := func([]byte) error { return nil }
		if *file != "" {
			var drop func()
			if save, drop, err = reserve(*file); err != nil {
				return err
			}
			defer drop()
		}
		ctx, cancel := untilSignal()
		defer cancel()
		var figures interface{ Text(io.Writer) }
		if len(o.Marks) > 0 {
			figures, err = fleetbench.Grow(ctx, o)
		} else {
			figures, err = fleetbench.Run(ctx, o)
		}
		if err != nil {
			return err
		}
		figures.Text(c.OutOrStdout())
		b, err := fleetbench.JSON(figures)
		if err != nil {
			return err
		}
		return save(b)
	}
	return c
}

// reserve makes sure that a file can be written before anything is measured for it. What is saved is there whole or not at all.
func reserve(name string) (save func([]byte) error, drop func(), err error) {
	if info, err := os.Stat(name); err == nil && !info.Mode().IsRegular() {
		return nil, nil, fmt.Errorf("--json %s: it is no file", name)
	}
	pending, err := renameio.NewPendingFile(name, renameio.WithPermissions(0o644))
	if err != nil {
		return nil, nil, fmt.Errorf("--json %s: %w", name, err)
	}
	save = func(b []byte) error {
		if _, err := pending.Write(b); err != nil {
			return fmt.Errorf("--json %s: %w", name, err)
		}
		return pending.CloseAtomicallyReplace()
	}
	return save, func() { _ = pending.Cleanup() }, nil
}
