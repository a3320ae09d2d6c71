package client

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/replica"
)

// waitLimit is how long a test waits for an expected event.
const waitLimit = time.Minute

// largeContent returns the content of a version with the given number of nodes, of which one has another address.
func largeContent(nodes, replaced int) []byte {
	config := &configversion.Config{
		RequiredFormat: 1, Shards: nodes, MeanRequestUnits: 1,
		ServiceLevels:  map[string]configversion.ServiceLevel{"gold": {Weight: 1}},
		Dispatch:       configversion.DispatchPolicy{MaxAttempts: 1},
		RequestClasses: map[string]configversion.RequestClass{},
		Nodes:          map[string]configversion.Node{},
	}
	for i := range nodes {
		addr := fmt.Sprintf("10.%d.%d.%d:7000", i%7, i/250, i%250)
		if i == replaced {
			addr = "10.9.9.9:7000"
		}
		startedAt := 1764650723000000000 + int64(i)*7919
		config.Nodes[addr] = configversion.Node{Name: fmt.Sprint("node-", i), Zone: fmt.Sprint("z", i%7), Shard: i, StartedAt: startedAt}
	}
	return config.Canonical()
}

// countingConn counts the bytes that a connection reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// clientGroup is a number of clients that use real sockets, with a count of all bytes that they exchange.
type clientGroup struct {
	t       *testing.T
	clients []*Client
	bytes   atomic.Int64
}

// startClients starts clients that are closed at the end of the test. configure, if not nil, may change the options
// of each.
func startClients(t *testing.T, count int, addrs []string, configure func(i int, options *Options)) *clientGroup {
	t.Helper()
	group := &clientGroup{t: t}
	for i := range count {
		options := Options{Gateway: fmt.Sprint("g", i), Replicas: addrs, RenewInterval: 400 * time.Millisecond, Seed: uint64(i),
			Now: wallClock, OnChange: func() {}, Logger: slog.New(slog.DiscardHandler), Dial: group.dial}
		if configure != nil {
			configure(i, &options)
		}
		client, err := Start(options)
		if err != nil {
			t.Fatal(err)
		}
		group.clients = append(group.clients, client)
		t.Cleanup(client.Close)
	}
	return group
}

func wallClock() int64 { return time.Now().UnixNano() }

func (g *clientGroup) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	return countingConn{conn, &g.bytes}, err
}

// waitForVersion waits until all clients have a version, and it alone, in effect.
func (g *clientGroup) waitForVersion(number int) {
	g.t.Helper()
	for deadline := time.Now().Add(2 * waitLimit); ; time.Sleep(5 * time.Millisecond) {
		reached, last := 0, ""
		for _, client := range g.clients {
			client.At(wallClock())
			if _, effective := client.Status(); isOnlyVersion(effective, number) {
				reached++
			} else {
				last = client.opt.Gateway + ": " + effective
			}
		}
		if reached == len(g.clients) {
			return
		}
		if time.Now().After(deadline) {
			g.t.Fatalf("version %d is in effect at %d of %d clients; another has %s", number, reached, len(g.clients), last)
		}
	}
}

// isOnlyVersion reports whether one version is in effect under a lease, and not an intersection of two.
func isOnlyVersion(effective string, number int) bool {
	return strings.HasPrefix(effective, fmt.Sprint(number, ".")) && !strings.Contains(effective, "&")
}

// testReplica is a single replica, which clients may reach through proxies that change requests and responses.
type testReplica struct {
	t      *testing.T
	addr   string
	client *replica.Client
	latest uint64 // number of the version that was proposed last
}

func startReplica(t *testing.T, leaseDuration time.Duration) *testReplica {
	t.Helper()
	server, err := replica.Start(replica.Options{ID: 1, Listen: "127.0.0.1:0", Peers: map[uint64]string{1: "-"}, Dir: t.TempDir(),
		LeaseSettings: lease.Settings{LeaseDuration: int64(leaseDuration), MaxClockDrift: 0.01},
		TickInterval:  10 * time.Millisecond, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := &replica.Client{Replicas: []string{server.Addr()}, Timeout: 30 * time.Second}
	return &testReplica{t: t, addr: server.Addr(), client: client}
}

// propose proposes a content as the next version.
func (r *testReplica) propose(content []byte) {
	r.t.Helper()
	proposal := &lease.Proposal{ID: fmt.Sprint(r.latest), Parent: r.latest, ReplacePending: true, Content: content}
	if _, err := r.client.Propose(proposal); err != nil {
		r.t.Fatal(err)
	}
	r.latest++
}

// proxy returns the address of a proxy to the replica that applies the given changes to requests and responses.
// Either function may be nil.
func (r *testReplica) proxy(changeRequest func(*http.Request), changeResponse func(*http.Response) error) string {
	rewrite := func(p *httputil.ProxyRequest) {
		p.SetURL(&url.URL{Scheme: "http", Host: r.addr})
		if changeRequest != nil {
			changeRequest(p.Out)
		}
	}
	server := httptest.NewServer(&httputil.ReverseProxy{Rewrite: rewrite, ModifyResponse: changeResponse,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)})
	r.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// logBuffer collects log output.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// captureLogsOf makes a client log to the buffer and renew often.
func (l *logBuffer) captureLogsOf(options *Options) {
	options.Logger = slog.New(slog.NewTextHandler(l, nil))
	options.RenewInterval = 100 * time.Millisecond
}
