package main

import (
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/standin"
)

func nodeCommand() *cobra.Command {
	c := &cobra.Command{Use: "node", Short: "Run a stand-in storage node", Args: cobra.NoArgs}
	o := standin.Options{Marks: time.Minute}
	c.Flags().StringVar(&o.Addr, "listen", "127.0.0.1:7000", "address to serve at")
	c.Flags().IntVar(&o.Shard, "shard", 0, "shard that it holds")
	c.Flags().StringVar(&o.Zone, "zone", "", "zone that it stands in")
	c.Flags().IntVar(&o.Cores, "cores", 2, "executions carried out at a time")
	c.Flags().DurationVar(&o.Unit, "unit", 0, "time of a core for a unit")
	c.Flags().IntVar(&o.Queue, "queue", 256, "executions that may wait")
	c.Flags().BoolVar(&o.Orca, "orca", false, "send load reports in ORCA form")
	dir := c.Flags().String("dir", "", "folder for the data; empty: in memory")
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		if o.Store, err = standin.NewStore(*dir); err != nil {
			return err
		}
		n, err := standin.Start(o)
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "node of shard %d serves at %s\n", o.Shard, n.Addr())
		ctx, cancel := untilSignal()
		defer cancel()
		<-ctx.Done()
		n.Close()
		return nil
	}
	return c
}
