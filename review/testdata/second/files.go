package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	pkgsftp "github.com/pkg/sftp"

	"irispost/internal/backend/node"
	"irispost/internal/standin"
)

// shards is the usual number of shards, each with one storage node.
const shards = 3

// gatewaySettings are the settings of the gateway, as in examples/canteen.hcl, for one gateway and one volume. The
// objectives and the deadlines are those of hronec-zvolen (order-read, order-write).
const gatewaySettings = `
gateway "g0" {
  listen   = %q
  shards   = %d
  extent   = "256KiB"
  gateways = 1
  stop_by  = "10s"
%s}
units {
  bytes   = "16KiB"
  least   = 0.25
  mean    = 1
  largest = 16
}
executions {
  most          = 3
  second_copies = true
  calling_off   = true
}
dismissals {
  advice = true
  most   = "1s"
}
order {
  rest = "100ms"
}
plan "standard" {
  weight  = 1
  rate    = 1000
  reserve = 600
}
product "order-read" {
  goal     = "300ms"
  patience = "2500ms"
}
product "order-write" {
  goal     = "300ms"
  patience = "2500ms"
  in_turn  = true
}
product "order-change" {
  kind     = "referenced"
  group    = "shard"
  window   = "5s"
  goal     = "300ms"
  patience = "2500ms"
}
volume "orders" {
  id    = 1
  plan  = "standard"
  hosts = 1
  product "order-read" {
    for = ["read", "look"]
  }
  product "order-write" {
    for = ["write"]
  }
  product "order-change" {
    for = ["change"]
  }
}
`

// fileGateway is a gateway for file commands with its storage nodes.
type fileGateway struct {
	process *process
	addr    string
}

// startFileGateway starts a storage node for each shard, a relay in front of each, and a gateway that has its list of
// nodes from a file.
func (p *play) startFileGateway(hold func(call *node.Call) time.Duration) (*fileGateway, error) {
	relays, err := p.startFileNodes(shards, hold)
	if err != nil {
		return nil, err
	}
	return p.startGatewayWithList(relays, "")
}

// startGatewayWithList starts a gateway with the list of its nodes in a file, and with more settings.
func (p *play) startGatewayWithList(relays []*relay, more string) (*fileGateway, error) {
	var list strings.Builder
	for shard, relay := range relays {
		fmt.Fprintf(&list, "node %q {\n  shard = %d\n}\n", relay.addr(), shard)
	}
	file := filepath.Join(p.dir, "nodes.hcl")
	if err := os.WriteFile(file, []byte(list.String()), 0o644); err != nil {
		return nil, err
	}
	return p.serveFiles(len(relays), more, fmt.Sprintf("source \"own\" \"list\" {\n  file = %q\n}\n", file))
}

// startFileNodes starts a storage node for each shard and a relay in front of each.
func (p *play) startFileNodes(count int, hold func(call *node.Call) time.Duration) (relays []*relay, err error) {
	for shard := range count {
		store, err := standin.NewStore("")
		if err != nil {
			return nil, err
		}
		storage, err := standin.Start(standin.Options{Addr: "127.0.0.1:0", Shard: shard, Store: store, Cores: 2,
			UnitTime: 2 * time.Millisecond, Queue: 256, DedupWindow: time.Minute, Seed: uint64(shard)})
		if err != nil {
			return nil, err
		}
		p.atEnd(storage.Close)
		relay, err := p.startRelay(storage.Addr(), hold)
		if err != nil {
			return nil, err
		}
		relays = append(relays, relay)
	}
	return relays, nil
}

// serveFiles starts a gateway with more settings in its block and a source of its list of nodes.
func (p *play) serveFiles(shards int, more, source string) (*fileGateway, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(p.dir, "gateway.hcl")
	if err := os.WriteFile(config, fmt.Appendf(nil, gatewaySettings+source, addr, shards, more), 0o644); err != nil {
		return nil, err
	}
	process, err := p.startProcess("gateway g0", nil, "serve", "--config", config)
	if err != nil {
		return nil, err
	}
	return &fileGateway{process, addr}, waitListening(addr, process)
}

// connect opens an SFTP session with a gateway.
func (p *play) connect(gateway *fileGateway) (*pkgsftp.Client, error) {
	conn, err := net.DialTimeout("tcp", gateway.addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	p.atEnd(func() { _ = conn.Close() })
	return pkgsftp.NewClientPipe(conn, conn, pkgsftp.UseConcurrentWrites(false))
}

// stats asks for the attributes of a path several times. It stands for the clients' other lookups, of which the
// disrupted one is a small share.
func (p *play) stats(client *pkgsftp.Client, path string, count int) error {
	for range count {
		if _, err := client.Stat(path); err != nil {
			return fmt.Errorf("stat %s: %w", path, err)
		}
	}
	p.note("%d lookups of %s were answered", count, path)
	return nil
}
