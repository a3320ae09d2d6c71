package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

func keeperCommand() *cobra.Command {
	c := &cobra.Command{Use: "keeper", Short: "Keep the versions of settings and lists, together with other keepers", Args: cobra.NoArgs,
		Long: `A keeper holds the log of versions that gateways act on, with two or four others. Each is started with its own number, the
addresses of all, and a folder that nobody else uses. See docs/fleet.md.`}
	o := replica.Options{LeaseSettings: lease.Settings{}}
	c.Flags().Uint64Var(&o.ID, "number", 0, "this keeper's number, from 1")
	c.Flags().StringVar(&o.Listen, "listen", "127.0.0.1:7100", "address to serve at")
	c.Flags().StringVar(&o.Dir, "dir", "", "folder for what lasts")
	lease := c.Flags().Duration("lease", 2*time.Second, "how long a gateway acts on what it was told; counts at the founding")
	c.Flags().Float64Var(&o.LeaseSettings.MaxClockDrift, "drift", 0.01, "part by which clocks run fast or slow at most; counts at the founding")
	c.Flags().DurationVar(&o.TickInterval, "tick", 50*time.Millisecond, "a leader that is silent for ten to twenty ticks is replaced")
	c.Flags().Uint64Var(&o.CompactionEntries, "compact", 2000, "entries of the log that are kept before it is compacted")
	peers := c.Flags().StringToString("peer", nil, "NUMBER=ADDRESS of each keeper, with this one")
	c.Flags().BoolVar(&o.Joining, "join", false, "come to keepers that are there already: it votes once 'irispost fleet keepers --add' has taken it in")
	log := logs(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		if o.Dir == "" || o.ID == 0 {
			return fmt.Errorf("a keeper needs --number and --dir")
		}
		if *lease < 100*time.Millisecond || o.LeaseSettings.MaxClockDrift < 0 || o.LeaseSettings.MaxClockDrift > 0.2 {
			return fmt.Errorf("a lease of %v with a drift of %v: at least 100ms and at most 0.2", *lease, o.LeaseSettings.MaxClockDrift)
		}
		o.LeaseSettings.LeaseDuration, o.Peers, o.Logger = int64(*lease), map[uint64]string{}, log()
		for _, name := range slices.Sorted(maps.Keys(*peers)) {
			n, err := strconv.ParseUint(name, 10, 32)
			if err != nil || n == 0 {
				return fmt.Errorf("--peer %s: a keeper's number is from 1 on", name)
			}
			o.Peers[n] = (*peers)[name]
		}
		ctx, cancel := untilSignal()
		defer cancel()
		k, err := replica.Start(o)
		if err != nil {
			return err
		}
		writef(c.OutOrStdout(), "keeper %d serves at %s\n", o.ID, k.Addr())
		select {
		case <-ctx.Done():
			k.Close()
			return nil
		case <-k.Done():
			return k.Err()
		}
	}
	return c
}

// keepers adds the flags for speaking to keepers.
func keepers(c *cobra.Command) func() (*replica.Client, error) {
	list := c.PersistentFlags().StringSlice("keepers", nil, "addresses of the keepers (or IRISPOST_KEEPERS)")
	within := c.PersistentFlags().Duration("within", 10*time.Second, "how long to wait for an answer")
	return func() (*replica.Client, error) {
		if len(*list) == 0 {
			if s := os.Getenv("IRISPOST_KEEPERS"); s != "" {
				*list = strings.Split(s, ",")
			}
		}
		if len(*list) == 0 {
			return nil, fmt.Errorf("name the keepers: --keepers 10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100")
		}
		return &replica.Client{Replicas: *list, Timeout: *within}, nil
	}
}
