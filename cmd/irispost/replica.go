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

// replicasEnvironment is the environment variable with the comma-separated addresses of the replicas.
const replicasEnvironment = "IRISPOST_KEEPERS"

const (
	defaultLease = 2 * time.Second
	minLease     = 100 * time.Millisecond
	defaultDrift = 0.01
	maxDrift     = 0.2
)

func replicaCommand() *cobra.Command {
	command := &cobra.Command{Use: "replica", Aliases: []string{"keeper"}, Args: cobra.NoArgs,
		Short: "Run a replica of the configuration version log",
		Long: `A replica (keeper) stores the log of the configuration versions that gateways act on, in a group of three or
five replicas. Each is started with its own number, the addresses of all replicas, and a directory of its own. See
docs/fleet.md.`}
	var options replica.Options
	settings := &options.LeaseSettings
	flags := command.Flags()
	flags.Uint64Var(&options.ID, "number", 0, "number of this replica, at least 1")
	flags.StringVar(&options.Listen, "listen", "127.0.0.1:7100", "address to listen on")
	flags.StringVar(&options.Dir, "dir", "", "directory for the log")
	lease := flags.Duration("lease", defaultLease,
		"how long a gateway may act on a version without a renewal; used only when the group is created")
	flags.Float64Var(&settings.MaxClockDrift, "drift", defaultDrift,
		"maximum clock drift, as a fraction; used only when the group is created")
	flags.DurationVar(&options.TickInterval, "tick", 50*time.Millisecond,
		"Raft tick; a leader that is silent for 10 to 20 ticks is replaced")
	flags.Uint64Var(&options.CompactionEntries, "compact", 2000,
		"number of applied log entries after which the log is compacted")
	peers := flags.StringToString("peer", nil, "NUMBER=ADDRESS of each replica, including this one")
	flags.BoolVar(&options.Joining, "join", false,
		"join a running group; the replica votes once 'irispost fleet replicas --add' has added it")
	newLog := addLogFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) (err error) {
		if options.Dir == "" || options.ID == 0 {
			return errors.New("--number and --dir are required")
		}
		if *lease < minLease || settings.MaxClockDrift < 0 || settings.MaxClockDrift > maxDrift {
			return fmt.Errorf("--lease %v and --drift %v: the lease must be at least %v and the drift from 0 to %v",
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

// runReplica runs a replica until a signal arrives or the replica stops by itself.
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

// parsePeers parses the values of --peer into addresses by replica number.
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

// errReplicaNumber is returned for a text that is not a valid replica number.
var errReplicaNumber = errors.New("a replica number is an integer from 1 to 4294967295")

func parseReplicaNumber(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil || number == 0 {
		return 0, errReplicaNumber
	}
	return number, nil
}

// replicaClient returns a client for the replicas named by the flags or the environment.
type replicaClient func() (*replica.Client, error)

// addReplicaFlags adds the flags shared by commands that call replicas.
func addReplicaFlags(command *cobra.Command) replicaClient {
	addresses := command.PersistentFlags().StringSlice("keepers", nil,
		"addresses of the replicas, comma-separated (or set "+replicasEnvironment+")")
	timeout := command.PersistentFlags().Duration("within", 10*time.Second, "timeout for a response")
	return func() (*replica.Client, error) {
		if text := os.Getenv(replicasEnvironment); len(*addresses) == 0 && text != "" {
			*addresses = strings.Split(text, ",")
		}
		if len(*addresses) == 0 {
			return nil, errors.New("no replica addresses: set IRISPOST_KEEPERS or --keepers 10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100")
		}
		return &replica.Client{Replicas: *addresses, Timeout: *timeout}, nil
	}
}
