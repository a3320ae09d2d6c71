package web_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/frontend/web"
	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/internal/platform"
)

// settings define one service level, gold, and one request class, read, whose requests do not time out within a test.
const settings = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
	"limits":{"cores":1,"memory_mb":64,"sockets":256},
	"settings":{"contracts":[{"name":"gold","proportion":1.0,"base_rate":1000.0,"floor_rate":1000.0}],
	"domain":{"unit_mean":2.0,"largest":8},
	"lanes":[{"name":"read","effect":"read_like","target_ms":60000.0,"hard_limit_ms":120000.0},
		{"name":"write-once","effect":"non_idempotent","target_ms":60000.0,"hard_limit_ms":120000.0}],
	"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,"max_retry_after_ms":1000.0,
	"dial_timeout_ms":250.0,"idle_close_ms":30000.0}}}`

// fakeNodes replaces the client of the storage nodes. It answers each attempt at once, or holds it until the test
// answers it.
type fakeNodes struct {
	heldIDs chan string // request ID of each attempt when it is held

	mu      sync.Mutex // guards all fields below
	holding bool
	held    map[string]*fakeAttempt // by request ID
	counts  map[string]int          // number of attempts by request ID
}

type fakeAttempt struct {
	id        string
	call      node.Call
	onReply   func(node.Reply)
	cancelled chan struct{}
}

func (n *fakeNodes) Start(_ string, call *node.Call, done func(node.Reply)) node.Attempt {
	a := &fakeAttempt{id: call.IdempotencyKey, call: *call, onReply: done, cancelled: make(chan struct{})}
	n.mu.Lock()
	n.counts[a.id]++
	holding := n.holding
	if holding {
		n.held[a.id] = a
	}
	n.mu.Unlock()
	if holding {
		n.heldIDs <- a.id
	} else {
		go a.serve()
	}
	return a
}

func (n *fakeNodes) setHolding(holding bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holding = holding
}

// attempt returns the held attempt of a request.
func (n *fakeNodes) attempt(id string) *fakeAttempt {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held[id]
}

// count returns the number of attempts for a request.
func (n *fakeNodes) count(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts[id]
}

// total returns the number of attempts for all requests.
func (n *fakeNodes) total() (total int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, count := range n.counts {
		total += count
	}
	return total
}

func (n *fakeNodes) Retain(map[string]bool)        {}
func (n *fakeNodes) AbortQueued(func(string) bool) {}
func (n *fakeNodes) LateReplies() int64            { return 0 }

// servedBody is the part of a response body after the request ID, in the response to putRequest.
const servedBody = " /api?extent=7f3a9c21e0b4d655 body"

func (a *fakeAttempt) serve() {
	a.onReply(node.Reply{Outcome: node.Executed, Data: []byte(a.id + " " + a.call.Name + " " + string(a.call.Data))})
}

func (a *fakeAttempt) Cancel() { close(a.cancelled) }

func (*fakeAttempt) Withdraw() bool { return false }

// testbed is a server with a loop and fake nodes.
type testbed struct {
	*web.Server
	nodes *fakeNodes
	loop  *gateway.Loop
}

// generousLimits returns limits that no test reaches unless it lowers them.
func generousLimits() web.Limits {
	return web.Limits{
		MaxConnections:      100,
		EvictionThreshold:   100,
		MaxBodyBytes:        1 << 20,
		FirstRequestTimeout: time.Minute,
		RequestTimeout:      time.Minute,
		IdleTimeout:         time.Minute,
		EvictionIdleTimeout: time.Minute,
		WriteTimeout:        time.Minute,
		Message:             http1.DefaultLimits,
	}
}

func start(t testing.TB, limits web.Limits) *testbed {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startOnListener(t, listener, limits)
}

func startOnListener(t testing.TB, listener net.Listener, limits web.Limits) *testbed {
	t.Helper()
	conf, err := platform.Parse([]byte(settings), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	nodes := &fakeNodes{heldIDs: make(chan string, 1000), held: map[string]*fakeAttempt{}, counts: map[string]int{}}
	loop := gateway.Start(gateway.Options{
		Name:       "n1",
		Seed:       1,
		Settings:   conf.Settings,
		QueueSize:  64,
		Clock:      gateway.NewClock(),
		Nodes:      nodes,
		Log:        logger,
		CachedList: &endpoint.List{Nodes: []endpoint.Node{{Addr: "a:1", Zone: "z", Shard: 0}}},
	})
	server := web.ServeListener(listener, web.Options{
		GatewayName: "n1",
		Loop:        loop,
		Settings:    conf.Settings,
		Limits:      limits,
		Logger:      logger,
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		server.Shutdown(ctx, 0, 0)
		loop.Stop()
	})
	return &testbed{server, nodes, loop}
}

// client is the client side of a connection.
type client struct {
	net.Conn
	reader *bufio.Reader
	t      testing.TB
}

func (b *testbed) dial(t testing.TB) *client {
	t.Helper()
	c, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c), t}
}

// putRequest returns a valid PUT request with the given ID.
func putRequest(id string) string {
	return "PUT /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id + "\r\n" +
		"X-Class: read\r\nX-Plan: gold\r\nX-Deadline-Ms: 120000\r\nContent-Length: 4\r\n" +
		"X-IO: volume=00000003b4d60021,units=2,shard=0,hosts=3\r\n\r\nbody"
}

// send sends text. It ignores errors: if the server has closed the connection, the next read reports it.
func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// read reads a response. The status is 0 if no complete response can be read.
func (c *client) read() (status int, body string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	bytes, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(bytes)
}

func (c *client) expect(status int, what string) {
	c.t.Helper()
	if got, body := c.read(); got != status {
		c.t.Errorf("%s: status %d, want %d (%q)", what, got, status, body)
	}
}

// awaitEnd discards data until a read fails, and returns the error; io.EOF after an orderly close.
func (c *client) awaitEnd() (err error) {
	for err == nil {
		_, err = c.reader.ReadByte()
	}
	return err
}

// write writes text to a connection and reports errors to the test.
func write(t testing.TB, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}
