// Package testkit sets up small installations on loopback for tests: stand-in nodes, lists and gateways.
package testkit

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	pkgsftp "github.com/pkg/sftp"

	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/endpoint/manager"
	"irispost/internal/serve"
	"irispost/internal/standin"
)

// FixSeeds has the checks of a test draw the same each time.
func FixSeeds(t testing.TB) {
	t.Helper()
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "7"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// ListSource is a source of lists for tests.
type ListSource struct {
	lock sync.Mutex
	last *endpoint.List
	news chan endpoint.List
}

// Run hands out the lists that are set.
func (l *ListSource) Run(ctx context.Context, to endpoint.Subscriber) error {
	l.lock.Lock()
	last := *l.last
	l.lock.Unlock()
	to.OnLink(true, "")
	to.OnUpdate(last)
	for {
		select {
		case <-ctx.Done():
			return nil
		case n := <-l.news:
			to.OnUpdate(n)
		}
	}
}

// Testbed is a small installation.
type Testbed struct {
	T               testing.TB
	Conf            string
	Stores          []*standin.Store
	Nodes           []*standin.Node
	EndpointSources func(gateway string) []manager.NamedSource // of the gateways that are started from now on; nil: lists by Tell
	Sources         []*ListSource
	Gateways        []*serve.Gateway
}

// Conf is a configuration that fits tests; %s is the gateway's name, %d the number of shards. Spans are long, so that
// a slow machine does not change what is seen.
const Conf = `
gateway "%s" {
  listen   = "127.0.0.1:0"
  nodes    = "-"
  shards   = %d
  extent   = "64KiB"
  gateways = 2
}
units {
  bytes = "16KiB"
}
order {
  rest = "100ms"
}
plan "basic" {
  rate = 1000
}
product "read" {
  goal     = "3s"
  patience = "5s"
}
product "write" {
  goal     = "3s"
  patience = "5s"
  in_turn  = true
}
product "change" {
  kind     = "referenced"
  group    = "shard"
  window   = "10s"
  goal     = "3s"
  patience = "5s"
}
volume "meals" {
  id   = 1
  plan = "basic"
  product "read" {
    for = ["read", "look"]
  }
  product "write" {
    for = ["write"]
  }
  product "change" {
    for = ["change"]
  }
}
`

// Start sets up nodes, one for each shard, and gateways. change may alter each node's options.
func Start(t testing.TB, conf string, shards, gateways int, change func(*standin.Options)) *Testbed {
	w := &Testbed{T: t, Conf: conf}
	for i := range shards {
		store, err := standin.NewStore("")
		if err != nil {
			t.Fatal(err)
		}
		o := standin.Options{Addr: "127.0.0.1:0", Shard: i, Zone: "z", Store: store, Cores: 2, Queue: 256,
			DedupWindow: time.Minute, Seed: uint64(i)}
		if change != nil {
			change(&o)
		}
		n, err := standin.Start(o)
		if err != nil {
			t.Fatal(err)
		}
		w.Stores, w.Nodes = append(w.Stores, store), append(w.Nodes, n)
	}
	for i := range gateways {
		w.Gateway(fmt.Sprintf("g%d", i))
	}
	t.Cleanup(func() {
		for _, g := range w.Gateways {
			g.Kill()
		}
		for _, n := range w.Nodes {
			n.Close()
		}
	})
	return w
}

// List is the list of all nodes as they are.
func (w *Testbed) List() endpoint.List {
	var l endpoint.List
	for i, n := range w.Nodes {
		l.Nodes = append(l.Nodes, endpoint.Node{Addr: n.Addr(), Zone: "z", Shard: i})
	}
	return l
}

// Gateway adds a gateway.
func (w *Testbed) Gateway(name string) *serve.Gateway {
	w.T.Helper()
	c, err := config.Parse("test.hcl", fmt.Appendf(nil, w.Conf, name, len(w.Nodes)))
	if err != nil {
		w.T.Fatal(err)
	}
	list := w.List()
	var sources []manager.NamedSource
	if w.EndpointSources != nil {
		sources = w.EndpointSources(name)
	} else {
		s := &ListSource{last: &list, news: make(chan endpoint.List)}
		w.Sources = append(w.Sources, s)
		sources = []manager.NamedSource{{Name: "test", Source: s}}
	}
	out := io.Discard
	if os.Getenv("IRISPOST_TEST_LOG") != "" {
		out = os.Stderr
	}
	g, err := serve.StartWithSources(c, sources, slog.New(slog.NewTextHandler(out, nil)))
	if err != nil {
		w.T.Fatal(err)
	}
	w.Gateways = append(w.Gateways, g)
	return g
}

// UpdateEndpoints gives all gateways a list.
func (w *Testbed) UpdateEndpoints(l endpoint.List) {
	for _, s := range w.Sources {
		s.news <- l
	}
}

// Client connects pkg/sftp's client, which this project did not write, to a gateway.
func (w *Testbed) Client(gateway int) *pkgsftp.Client {
	w.T.Helper()
	c, err := Dial(w.Gateways[gateway].Frontend.Addr())
	if err != nil {
		w.T.Fatal(err)
	}
	w.T.Cleanup(func() { _ = c.Close() })
	return c
}

// Dial connects pkg/sftp's client to an address.
func Dial(addr string) (*pkgsftp.Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return pkgsftp.NewClientPipe(conn, conn, pkgsftp.UseConcurrentWrites(true))
}

// RetryUntilDone does something until it works, as a client does that is told that trying again is harmless. It gives up
// after many tries.
func RetryUntilDone(t testing.TB, what string, f func() error) {
	t.Helper()
	var err error
	for range 200 {
		if err = f(); err == nil {
			return
		}
		if !strings.Contains(err.Error(), "dismissed") && !strings.Contains(err.Error(), "written off") {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s: %v", what, err)
}
