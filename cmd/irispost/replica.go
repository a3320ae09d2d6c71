package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"irispost/internal/fleet/replica"
)

// replicasEnvironment names the variable with the replicas' addresses, with commas between.
const replicasEnvironment = "IRISPOST_KEEPERS"

const (
	defaultLease = 2 * time.Second
	minLease     = 100 * time.Millisecond
	defaultDrift = 0.01
	maxDrift     = 0.2
)

func replicaCommand() *cobra.Command {
	command := &cobra.Command{Use: "replica", Aliases: []string{"keeper"}, Args: cobra.NoArgs,
		Short: "Run a replica of the log of configuration versions",
		Long: `A replica (keeper) holds the log of versions that gateways act on, with two or four others. Each is started with
its own number, the addresses of all, and a folder that nobody else uses. See docs/fleet.md.`}
	var options replica.Options
	settings := &options.LeaseSettings
	flags := command.Flags()
	flags.Uint64Var(&options.ID, "number", 0, "this replica's number, from 1")
	flags.StringVar(&options.Listen, "listen", "127.0.0.1:7100", "address to serve at")
	flags.StringVar(&options.Dir, "dir", "", "folder for the log")
	lease := flags.Duration("lease", defaultLease, "how long a gateway acts on a version; counts at the founding")
	flags.Float64Var(&settings.MaxClockDrift, "drift", defaultDrift,
		"part by which clocks run fast or slow at most; counts at the founding")
	flags.DurationVar(&options.TickInterval, "tick", 50*time.Millisecond,
		"a leader that is silent for ten to twenty ticks is replaced")
	flags.Uint64Var(&options.CompactionEntries, "compact", 2000, "entries of the log that are kept before it is compacted")
	peers := flags.StringToString("peer", nil, "NUMBER=ADDRESS of each replica, with this one")
	flags.BoolVar(&options.Joining, "join", false,
		"join replicas that run already: it votes once 'irispost fleet replicas --add' has added it")
	newLog := addLogFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) (err error) {
		if options.Dir == "" || options.ID == 0 {
			return errors.New("a keeper needs --number and --dir")
		}
		if *lease < minLease || settings.MaxClockDrift < 0 || settings.MaxClockDrift > maxDrift {
			return fmt.Errorf("a lease of %v with a drift of %v: at least %v and at most %v",
				*lease, settings.MaxClockDrift, minLease, maxDrift)
		}
		settings.LeaseDuration = int64(*lease)
		options.Logger = newLog()
		if options.Peers, err = parsePeers(*peers); err != nil {
			return err
		}
		return runReplica(command, options)
	}
	return command
}

// runReplica serves until a signal, or until the replica ends by itself.
func runReplica(command *cobra.Command, options replica.Options) error {
	ctx, cancel := signalContext()
	defer cancel()
	running, err := replica.Start(options)
	if err != nil {
		return err
	}
	writef(command.OutOrStdout(), "keeper %d serves at %s\n", options.ID, running.Addr())
	select {
	case <-ctx.Done():
		running.Close()
		return nil
	case <-running.Done():
		return running.Err()
	}
}

// parsePeers reads the values of the flag --peer, addresses by number.
func parsePeers(values map[string]string) (map[uint64]string, error) {
	peers := map[uint64]string{}
	for _, text := range slices.Sorted(maps.Keys(values)) {
		number, err := parseReplicaNumber(text)
		if err != nil {
			return nil, fmt.Errorf("--peer %s: %w", text, err)
		}
		peers[number] = values[text]
	}
	return peers, nil
}

// errReplicaNumber says that a text is no number of a replica.
var errReplicaNumber = errors.New("a keeper's number is from 1 on")

func parseReplicaNumber(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil || number == 0 {
		return 0, errReplicaNumber
	}
	return number, nil
}

// replicaClient makes the client of the replicas that the flags name.
type replicaClient func() (*replica.Client, error)

// addReplicaFlags adds the flags of commands that call replicas.
func addReplicaFlags(command *cobra.Command) replicaClient {
	addresses := command.PersistentFlags().StringSlice("keepers", nil,
		"addresses of the replicas (or "+replicasEnvironment+")")
	timeout := command.PersistentFlags().Duration("within", 10*time.Second, "how long to wait for an answer")
	return func() (*replica.Client, error) {
		if text := os.Getenv(replicasEnvironment); len(*addresses) == 0 && text != "" {
			*addresses = strings.Split(text, ",")
		}
		if len(*addresses) == 0 {
			return nil, errors.New("name the keepers: --keepers 10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100")
		}
		return &replica.Client{Replicas: *addresses, Timeout: *timeout}, nil
	}
}
