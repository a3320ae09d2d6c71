// Package testkit sets up small installations on loopback addresses for tests: simulated nodes, endpoint lists and
// gateways, all in the test's process. A Testbed is closed at the end of its test. Only tests import this package.
package testkit

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	pkgsftp "github.com/pkg/sftp"

	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/endpoint/manager"
	"irispost/internal/serve"
	"irispost/internal/standin"
)

// logVariable is the environment variable that, if not empty, makes gateways log to standard error.
const logVariable = "IRISPOST_TEST_LOG"

// zone is the zone of all nodes of a testbed.
const zone = "z"

// Testbed is a small installation. Only the test's goroutine may use it.
type Testbed struct {
	T        testing.TB
	Conf     string // configuration of gateways that are started later, with the same verbs as the constant Conf
	Stores   []*standin.Store
	Nodes    []*standin.Node
	Sources  []*ListSource
	Gateways []*serve.Gateway

	// EndpointSources returns the endpoint sources of a gateway that is started later. If it is nil, gateways get their
	// lists from UpdateEndpoints.
	EndpointSources func(gateway string) []manager.NamedSource
}

// Start starts one node per shard and the given number of gateways, and closes them when the test ends. change, if not
// nil, may change each node's options.
func Start(t testing.TB, conf string, shards, gateways int, change func(*standin.Options)) *Testbed {
	t.Helper()
	bed := &Testbed{T: t, Conf: conf}
	for shard := range shards {
		bed.startNode(shard, change)
	}
	for i := range gateways {
		bed.StartGateway(fmt.Sprintf("g%d", i))
	}
	t.Cleanup(bed.close)
	return bed
}

func (b *Testbed) close() {
	for _, gateway := range b.Gateways {
		gateway.Kill()
	}
	for _, node := range b.Nodes {
		node.Close()
	}
}

func (b *Testbed) startNode(shard int, change func(*standin.Options)) {
	b.T.Helper()
	store, err := standin.NewStore("")
	if err != nil {
		b.T.Fatal(err)
	}
	options := standin.Options{
		Addr:        "127.0.0.1:0",
		Shard:       shard,
		Zone:        zone,
		Store:       store,
		Cores:       2,
		Queue:       256,
		DedupWindow: time.Minute,
		Seed:        uint64(shard),
	}
	if change != nil {
		change(&options)
	}
	node, err := standin.Start(options)
	if err != nil {
		b.T.Fatal(err)
	}
	b.Stores = append(b.Stores, store)
	b.Nodes = append(b.Nodes, node)
}

// List returns an endpoint list of all nodes.
func (b *Testbed) List() endpoint.List {
	var list endpoint.List
	for shard, node := range b.Nodes {
		list.Nodes = append(list.Nodes, endpoint.Node{Addr: node.Addr(), Zone: zone, Shard: shard})
	}
	return list
}

// StartGateway starts a gateway under the given name.
func (b *Testbed) StartGateway(name string) *serve.Gateway {
	b.T.Helper()
	parsed, err := config.Parse("test.hcl", fmt.Appendf(nil, b.Conf, name, len(b.Nodes)))
	if err != nil {
		b.T.Fatal(err)
	}
	log := io.Discard
	if os.Getenv(logVariable) != "" {
		log = os.Stderr
	}
	gateway, err := serve.StartWithSources(parsed, b.sources(name), slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		b.T.Fatal(err)
	}
	b.Gateways = append(b.Gateways, gateway)
	return gateway
}

// sources returns the endpoint sources of a gateway.
func (b *Testbed) sources(gateway string) []manager.NamedSource {
	if b.EndpointSources != nil {
		return b.EndpointSources(gateway)
	}
	source := newListSource(b.List())
	b.Sources = append(b.Sources, source)
	return []manager.NamedSource{{Name: "test", Source: source}}
}

// UpdateEndpoints sends a new endpoint list to all gateways.
func (b *Testbed) UpdateEndpoints(list endpoint.List) {
	for _, source := range b.Sources {
		source.updates <- list
	}
}

// Client connects an SFTP client to a gateway and closes it when the test ends. The client, package pkg/sftp, is
// independent of this project.
func (b *Testbed) Client(gateway int) *pkgsftp.Client {
	b.T.Helper()
	client, err := Dial(b.Gateways[gateway].Frontend.Addr())
	if err != nil {
		b.T.Fatal(err)
	}
	b.T.Cleanup(func() { _ = client.Close() }) // it fails if the test has closed the client or its gateway
	return client
}
