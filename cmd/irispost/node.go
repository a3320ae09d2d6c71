package main

import (
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/standin"
)

func nodeCommand() *cobra.Command {
	command := &cobra.Command{Use: "node", Short: "Run a storage node for trials", Args: cobra.NoArgs}
	options := standin.Options{DedupWindow: time.Minute}
	flags := command.Flags()
	flags.StringVar(&options.Addr, "listen", "127.0.0.1:7000", "address to serve at")
	flags.IntVar(&options.Shard, "shard", 0, "shard that it holds")
	flags.StringVar(&options.Zone, "zone", "", "zone that it stands in")
	flags.IntVar(&options.Cores, "cores", 2, "attempts that are carried out at a time")
	flags.DurationVar(&options.UnitTime, "unit", 0, "time of a core for a unit")
	flags.IntVar(&options.Queue, "queue", 256, "attempts that may wait")
	flags.BoolVar(&options.ORCA, "orca", false, "send load reports in ORCA form")
	dir := flags.String("dir", "", "folder for the data; empty: in memory")
	command.RunE = func(command *cobra.Command, _ []string) (err error) {
		if options.Store, err = standin.NewStore(*dir); err != nil {
			return err
		}
		node, err := standin.Start(options)
		if err != nil {
			return err
		}
		writef(command.OutOrStdout(), "node of shard %d serves at %s\n", options.Shard, node.Addr())
		ctx, cancel := signalContext()
		defer cancel()
		<-ctx.Done()
		node.Close()
		return nil
	}
	return command
}
