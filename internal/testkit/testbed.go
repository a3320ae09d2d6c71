// Package testkit sets up small installations on loopback for tests: test nodes, endpoint lists and gateways in the
// test's process. A Testbed ends with its test. Only tests import it.
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

// logVariable is the environment variable that sends the log of gateways to standard error.
const logVariable = "IRISPOST_TEST_LOG"

// zone is the zone of all nodes of a testbed.
const zone = "z"

// Testbed is a small installation. It is used by the test's goroutine only.
type Testbed struct {
	T        testing.TB
	Conf     string // configuration of the gateways that are started from now on, with the verbs of the constant Conf
	Stores   []*standin.Store
	Nodes    []*standin.Node
	Sources  []*ListSource
	Gateways []*serve.Gateway

	// EndpointSources returns the sources of the gateways that are started from now on; nil: lists by UpdateEndpoints.
	EndpointSources func(gateway string) []manager.NamedSource
}

// Start starts nodes, one for each shard, and gateways, until the test ends. change may alter each node's options.
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

// List returns the list of all nodes as they are.
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

// UpdateEndpoints gives all gateways a list.
func (b *Testbed) UpdateEndpoints(list endpoint.List) {
	for _, source := range b.Sources {
		source.updates <- list
	}
}

// Client connects the client of pkg/sftp, which is independent of this project, to a gateway until the test ends.
func (b *Testbed) Client(gateway int) *pkgsftp.Client {
	b.T.Helper()
	client, err := Dial(b.Gateways[gateway].Frontend.Addr())
	if err != nil {
		b.T.Fatal(err)
	}
	b.T.Cleanup(func() { _ = client.Close() }) // a test may have closed it or its gateway
	return client
}
