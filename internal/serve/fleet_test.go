package serve_test

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/config"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
	"irispost/internal/serve"
	"irispost/internal/testkit"
	"irispost/internal/testkit/testaddr"
)

// fleetTestbed is a gateway that takes its configuration from a cluster of one replica.
type fleetTestbed struct {
	*testkit.Testbed
	t          *testing.T
	replicaDir string
	addr       string // of the replica, reserved by its first start
	replica    *replica.Replica
	content    *configversion.Config // of the latest proposal
	cacheDir   string                // of the gateway
	logFile    string
	gateway    *serve.Gateway
}

// startReplica starts the replica, at its previous address if it ran before.
func (b *fleetTestbed) startReplica() {
	if b.addr == "" {
		b.addr = testaddr.Reserve(b.t)
	}
	opt := replica.Options{
		ID:            1,
		Listen:        b.addr,
		Peers:         map[uint64]string{1: "-"},
		Dir:           b.replicaDir,
		LeaseSettings: lease.Settings{LeaseDuration: 5e8, MaxClockDrift: 0.01},
		TickInterval:  10 * time.Millisecond,
		Logger:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	waitFor(func() bool { // the address may still be in use for a moment
		var err error
		b.replica, err = replica.Start(opt)
		return err == nil
	})
}

// propose proposes the content as the version that follows parent.
func (b *fleetTestbed) propose(parent uint64) {
	b.t.Helper()
	client := &replica.Client{Replicas: []string{b.addr}, Timeout: failureTimeout}
	proposal := &lease.Proposal{
		ID:             fmt.Sprint(parent),
		Parent:         parent,
		ReplacePending: true,
		Content:        b.content.Canonical(),
	}
	if _, err := client.Propose(proposal); err != nil {
		b.t.Fatal(err)
	}
}

// parseConfig returns the gateway's local configuration.
func (b *fleetTestbed) parseConfig() *config.Config {
	b.t.Helper()
	text := strings.Replace(testkit.Conf, `nodes    = "-"`, "", 1) +
		fmt.Sprintf("follow {\n  keepers = [%q]\n  pause   = \"50ms\"\n  dir     = %q\n}\n", b.addr, b.cacheDir)
	conf, err := config.Parse("test.hcl", fmt.Appendf(nil, text, "g", 2))
	if err != nil {
		b.t.Fatal(err)
	}
	return conf
}

// startFleetTestbed starts the replica, proposes a first version with the same settings as the gateway's local
// configuration, and starts the gateway.
func startFleetTestbed(t *testing.T) *fleetTestbed {
	t.Helper()
	b := &fleetTestbed{ // folders are created before the testbed, to be removed after its gateways have stopped
		t:          t,
		replicaDir: t.TempDir(),
		cacheDir:   filepath.Join(t.TempDir(), "contents"),
		logFile:    filepath.Join(t.TempDir(), "log"),
	}
	b.Testbed = testkit.Start(t, testkit.Conf, 2, 0, nil)
	b.startReplica()
	t.Cleanup(func() { b.replica.Close() })
	conf := b.parseConfig()
	b.content = &configversion.Config{RequiredFormat: 1, Shards: 2, MeanRequestUnits: 1}
	b.content.SetFromSettings(conf.Settings)
	for shard, n := range b.Nodes {
		b.content.Nodes[n.Addr()] = configversion.Node{Shard: shard}
	}
	b.propose(0)
	log, err := os.Create(b.logFile)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	b.gateway, err = serve.StartWithSources(conf, nil, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	b.Gateways = append(b.Gateways, b.gateway)
	return b
}

// hasLogged reports whether the gateway's log contains a text.
func (b *fleetTestbed) hasLogged(text string) bool {
	b.t.Helper()
	log, err := os.ReadFile(b.logFile)
	if err != nil {
		b.t.Fatal(err)
	}
	return strings.Contains(string(log), text)
}

// awaitVersion waits until the version in the status of the gateway has a prefix.
func (b *fleetTestbed) awaitVersion(prefix string) {
	b.t.Helper()
	waitFor(func() bool {
		status, err := b.gateway.Status()
		if err != nil {
			b.t.Fatal(err)
		}
		return strings.HasPrefix(status.Version, prefix)
	})
}

// TestGatewayServesByVersionInForce: a gateway that follows replicas serves with the version in force, reports it, and
// logs the settings in which its local configuration conflicts with it. When its lease has ended and it has no
// fallback, it rejects requests at once. It serves again once the replica is back.
func TestGatewayServesByVersionInForce(t *testing.T) {
	b := startFleetTestbed(t)
	client := b.Client(0)
	if err := client.Mkdir("/meals/week"); err != nil {
		t.Fatal(err)
	}
	b.awaitVersion("acting on 1.")
	if b.hasLogged("local configuration conflicts with a version") {
		t.Error("a conflict is logged although the settings are equal, want none")
	}
	level := b.content.ServiceLevels["basic"]
	level.RateLimit, level.Burst = 7, 7
	b.content.ServiceLevels["basic"] = level
	b.propose(1)
	b.awaitVersion("acting on 2.")
	waitFor(func() bool { return b.hasLogged("version=2.") && b.hasLogged("limit none over 7") })
	b.replica.Close()
	b.awaitVersion("ended on none")
	if err := client.Mkdir("/meals/month"); err == nil {
		t.Error("a request succeeded with a version that may no longer be in force, want an error")
	}
	b.startReplica()
	b.awaitVersion("acting on 2.")
	waitFor(func() bool { // the latest content is cached on disk
		list, err := filepath.Glob(filepath.Join(b.cacheDir, "*"))
		return err == nil && len(list) == 1 && filepath.Base(list[0]) == b.content.Digest()+".rules"
	})
	testkit.RetryUntilDone(t, "mkdir after the restart", func() error { return client.Mkdir("/meals/year") })
}
