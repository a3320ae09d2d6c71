package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
	"irispost/internal/testkit/testaddr"
)

// testCluster is a group of replicas in one process, with their folders and addresses.
type testCluster struct {
	t                 *testing.T
	dir               string
	peers             map[uint64]string
	running           map[uint64]*Replica
	joining           uint64         // ID of a replica that is started with Options.Joining; 0: none
	entryFormats      map[uint64]int // newest entry format of replicas that know only an older one, by ID
	compactionEntries uint64
	tickInterval      time.Duration
	quiet             bool // replicas write no logs
}

// newTestCluster returns a cluster with addresses for three replicas, none of which is started.
func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	c := &testCluster{
		t:                 t,
		dir:               t.TempDir(),
		peers:             map[uint64]string{},
		running:           map[uint64]*Replica{},
		compactionEntries: 20,
		tickInterval:      10 * time.Millisecond,
	}
	for id := uint64(1); id <= 3; id++ {
		c.peers[id] = testaddr.Reserve(t)
	}
	t.Cleanup(func() {
		for _, r := range c.running {
			r.Close()
		}
	})
	return c
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (c *testCluster) folder(id uint64) string { return filepath.Join(c.dir, fmt.Sprint(id)) }

func (c *testCluster) file(id uint64) string { return filepath.Join(c.folder(id), databaseName) }

// tryStart starts a replica.
func (c *testCluster) tryStart(id uint64) error {
	output := io.Writer(os.Stderr)
	if c.quiet {
		output = io.Discard
	}
	options := Options{
		ID:                id,
		Listen:            c.peers[id],
		Peers:             maps.Clone(c.peers),
		Joining:           id == c.joining,
		Dir:               c.folder(id),
		LeaseSettings:     lease.Settings{LeaseDuration: 3e8, MaxClockDrift: 0.01},
		TickInterval:      c.tickInterval,
		CompactionEntries: c.compactionEntries,
		Logger:            slog.New(slog.NewTextHandler(output, nil)),
		entryFormat:       c.entryFormats[id],
	}
	var r *Replica
	var err error
	for range 200 { // the address of a replica that has just stopped may still be in use for a moment
		r, err = Start(options)
		if err == nil || !strings.Contains(err.Error(), "in use") {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err == nil {
		c.running[id] = r
	}
	return err
}

func (c *testCluster) start(ids ...uint64) {
	c.t.Helper()
	for _, id := range ids {
		if err := c.tryStart(id); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *testCluster) stop(ids ...uint64) {
	for _, id := range ids {
		c.running[id].Close()
		delete(c.running, id)
	}
}

func (c *testCluster) client() *Client {
	client := &Client{Timeout: 30 * time.Second}
	for _, address := range c.peers {
		client.Replicas = append(client.Replicas, address)
	}
	return client
}

// call runs a function on a replica's owner goroutine and waits until it has returned.
func (r *Replica) call(t *testing.T, function func()) {
	t.Helper()
	done := make(chan struct{})
	r.enqueue(context.Background(), func() {
		defer close(done)
		function()
	})
	<-done
}

// machine returns a copy of a replica's state machine once it has announced the version with the given number.
func (c *testCluster) machine(id, announced uint64) *lease.StateMachine {
	c.t.Helper()
	for {
		var machine *lease.StateMachine
		var err error
		r := c.running[id]
		r.call(c.t, func() { machine, err = lease.Restore(r.machine.Snapshot()) })
		if err != nil {
			c.t.Fatal(err)
		}
		if machine.Announced >= announced {
			return machine
		}
		time.Sleep(time.Millisecond)
	}
}

// rateLimitConfig returns the canonical form of a small configuration with a rate limit.
func rateLimitConfig(limit float64) []byte { return smallConfig(limit).Canonical() }

func smallConfig(limit float64) *configversion.Config {
	return &configversion.Config{
		RequiredFormat:   1,
		Shards:           1,
		MeanRequestUnits: 1,
		ServiceLevels:    map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: limit}},
		Dispatch:         configversion.DispatchPolicy{MaxAttempts: 1},
		RequestClasses:   map[string]configversion.RequestClass{},
		Nodes:            map[string]configversion.Node{},
	}
}

// nodesConfig returns a configuration with the given number of nodes; variants differ in the nodes' start times.
func nodesConfig(nodes, variant int) []byte {
	configuration := smallConfig(1)
	configuration.Shards = nodes
	for i := range nodes {
		address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		configuration.Nodes[address] = configversion.Node{
			Shard:     i,
			Zone:      "a",
			StartedAt: int64(i)*7919 + int64(i/(variant+1)),
		}
	}
	return configuration.Canonical()
}

// namedNodesConfig returns a configuration with the given number of nodes, which have names, zones and start times.
// Each change sets the rate limit, and half of the changes also replace one node.
func namedNodesConfig(nodes, change int) []byte {
	configuration := smallConfig(float64(1 + change))
	configuration.Shards = nodes
	for i := range nodes {
		replaced := (change + nodes - i) / (2 * nodes) // how often the node has been replaced
		address := fmt.Sprintf("10.%d.%d.%d:7000", replaced%250, i/250, i%250)
		configuration.Nodes[address] = configversion.Node{
			Shard:     i,
			Name:      fmt.Sprintf("node-%d-%d", i, replaced),
			Zone:      fmt.Sprint("zone-", i%7),
			StartedAt: 1.7e18 + int64(i)*1e12 + int64(replaced),
		}
	}
	return configuration.Canonical()
}

// propose proposes version n, which replaces an announced version that is not in force yet.
func propose(t *testing.T, client *Client, n uint64, configuration []byte) *configversion.Version {
	t.Helper()
	proposal := &lease.Proposal{ID: fmt.Sprint(n), Parent: n - 1, ReplacePending: true, Content: configuration}
	version, err := client.Propose(proposal)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// proposeNamedNodes proposes the versions from number first to last.
func proposeNamedNodes(t *testing.T, client *Client, nodes int, first, last uint64) {
	t.Helper()
	for n := first; n <= last; n++ {
		propose(t, client, n, namedNodesConfig(nodes, int(n-1)))
	}
}

// fetchEventually repeats a fetch until the replica, which may lag, has the content.
func fetchEventually(
	t *testing.T, address string, cache *content.Cache, digest string,
) (request content.Request, coding string, encoded []byte) {
	t.Helper()
	client := &Client{}
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		request = cache.Fetch(digest, 1).NextRequest()
		coding, encoded, err := client.FetchContent(t.Context(), address, request)
		if err == nil {
			return request, coding, encoded
		}
		if !errors.Is(err, ErrContentNotFound) || time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}
