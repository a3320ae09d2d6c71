package main

import (
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/standin"
)

func nodeCommand() *cobra.Command {
	command := &cobra.Command{Use: "node", Short: "Run a storage node for tests", Args: cobra.NoArgs}
	options := standin.Options{DedupWindow: time.Minute}
	flags := command.Flags()
	flags.StringVar(&options.Addr, "listen", "127.0.0.1:7000", "address to listen on")
	flags.IntVar(&options.Shard, "shard", 0, "shard that the node stores")
	flags.StringVar(&options.Zone, "zone", "", "zone of the node")
	flags.IntVar(&options.Cores, "cores", 2, "number of attempts that are executed concurrently")
	flags.DurationVar(&options.UnitTime, "unit", 0, "time that a core takes for one unit")
	flags.IntVar(&options.Queue, "queue", 256, "maximum number of queued attempts")
	flags.BoolVar(&options.ORCA, "orca", false, "send load reports in the ORCA format")
	dir := flags.String("dir", "", "directory for the data; empty: keep it in memory")
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
