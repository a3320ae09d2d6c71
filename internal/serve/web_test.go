package serve_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"irispost/internal/endpoint/discovery"
	"irispost/internal/platform"
	"irispost/internal/serve"
	"irispost/internal/webstandin"
)

// discoveryServer is a test server for discovery. A watch is answered once there is a newer revision of the list.
type discoveryServer struct {
	*httptest.Server
	mu       sync.Mutex // guards the fields below
	changed  sync.Cond
	response discovery.Response
	calls    int
}

func startDiscoveryServer(t *testing.T, response discovery.Response) *discoveryServer {
	t.Helper()
	l := &discoveryServer{response: response}
	l.changed.L = &l.mu
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.calls++
		l.changed.Broadcast()
		for r.FormValue("from") == fmt.Sprint(l.response.Revision) && r.Context().Err() == nil {
			l.changed.Wait()
		}
		_ = json.NewEncoder(w).Encode(l.response) // the gateway may have closed the connection
	}))
	t.Cleanup(func() {
		l.update(func(*discovery.Response) {}) // answers the pending watches
		l.CloseClientConnections()
		l.Close()
	})
	return l
}

// update changes the list and increments its revision.
func (l *discoveryServer) update(change func(*discovery.Response)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.response.Revision++
	change(&l.response)
	l.changed.Broadcast()
}

// awaitCalls waits until the list has been requested n times.
func (l *discoveryServer) awaitCalls(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.calls < n {
		l.changed.Wait()
	}
}

// webTestbed is an HTTP gateway with test nodes, one per shard.
type webTestbed struct {
	t            *testing.T
	nodes        []*webstandin.Node
	discovery    [2]*discoveryServer // the gateway is configured with the first one
	conf         *platform.Config
	gateway      *serve.WebGateway
	client       *http.Client
	requestCount int // number of requests sent
}

func startWebTestbed(t *testing.T) *webTestbed {
	t.Helper()
	b := &webTestbed{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	t.Cleanup(b.client.CloseIdleConnections)
	response := discovery.Response{Revision: 1, Full: true}
	for shard := range 3 {
		n := webstandin.Start(t)
		b.nodes = append(b.nodes, n)
		response.Targets = append(response.Targets, discovery.Target{
			UID:      fmt.Sprint("s", shard),
			Endpoint: n.Listener.Addr().String(),
			Shard:    shard,
			State:    "ready",
		})
	}
	for i := range b.discovery {
		b.discovery[i] = startDiscoveryServer(t, response)
	}
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"discovery":"ask","contract":{"ask_every_ms":40000.0},
		"contracts":[{"name":"gold","proportion":1.0,"base_rate":1000.0,"floor_rate":1000.0}],
		"domain":{"unit_mean":2.0,"largest":8},
		"lanes":[{"name":"read","effect":"read_like","target_ms":60000.0,"hard_limit_ms":120000.0}],
		"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,
		"max_retry_after_ms":1000.0,"dial_timeout_ms":5000.0,"idle_close_ms":60000.0}}}`, b.discovery[0].Listener.Addr().String())
	var err error
	if b.conf, err = platform.Parse([]byte(text), func(string) string { return "" }); err != nil {
		t.Fatal(err)
	}
	b.gateway, err = serve.StartWebGateway(b.conf, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// sendRequest sends a request of a webstandin kind for a shard. done receives the status and body of the response.
func (b *webTestbed) sendRequest(kind string, shard int) (id string, done chan string) {
	b.t.Helper()
	b.requestCount++
	id, done = fmt.Sprintf("%s-%d", kind, b.requestCount), make(chan string, 1)
	url := "http://" + b.gateway.Frontend.Addr() + "/api?extent=7f3a9c21e0b4d655"
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader("body"))
	if err != nil {
		b.t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Class", "read")
	request.Header.Set("X-Plan", "gold")
	request.Header.Set("X-Deadline-Ms", "120000")
	request.Header.Set("X-IO", fmt.Sprintf("volume=00000003b4d60021,units=2,shard=%d,hosts=1", shard))
	go func() { done <- b.do(request) }()
	return id, done
}

func (b *webTestbed) do(request *http.Request) string {
	response, err := b.client.Do(request)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return err.Error()
	}
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

// countsAgree reports whether the gateway's counts agree with what its nodes observe on their sockets.
func (b *webTestbed) countsAgree() bool {
	stats, running := b.gateway.Loop.Stats()
	open, idle := b.gateway.Nodes.ConnectionCounts()
	_, requests := b.gateway.Frontend.Counts()
	attempts, conns := 0, 0
	for _, n := range b.nodes {
		held, open := n.Counts()
		attempts, conns = attempts+held, conns+open
		if stats.AttemptsByNode[n.Listener.Addr().String()] != held {
			return false
		}
	}
	return running && stats.Attempts == attempts && stats.InFlight == requests && open-idle == attempts && open == conns
}

// TestWebGatewayCountsAgreeWithNodes: the gateway's counts of attempts, connections and requests agree with what its
// nodes observe on their sockets, under load and afterwards, and each request is sent once.
func TestWebGatewayCountsAgreeWithNodes(t *testing.T) {
	b := startWebTestbed(t)
	b.discovery[0].awaitCalls(2) // the first list has arrived
	held := map[string]chan string{}
	for i := range 6 {
		id, done := b.sendRequest("held", i%3)
		held[id] = done
	}
	waitFor(func() bool { n, _ := b.nodes[0].Counts(); return n > 0 && b.countsAgree() })
	for _, n := range b.nodes {
		close(n.Release)
	}
	for id, done := range held {
		if got := <-done; got != "200 "+id+"body" {
			t.Errorf("%s: response %q, want status 200 with the ID and the body", id, got)
		}
	}
	waitFor(func() bool {
		stats, _ := b.gateway.Loop.Stats()
		return stats.Attempts == 0 && stats.InFlight == 0 && b.countsAgree()
	})
	for _, n := range b.nodes {
		for id, times := range n.ReceivedCounts {
			if times != 1 {
				t.Errorf("%s was sent %d times, want once", id, times)
			}
		}
	}
	b.checkReload()
	b.checkShutdown()
}

// checkReload reloads the gateway with the address of another discovery server, from whose list it then removes a
// node.
func (b *webTestbed) checkReload() {
	b.t.Helper()
	moved := *b.conf
	moved.Discovery = b.discovery[1].Listener.Addr().String()
	b.gateway.Reload(&moved)
	b.discovery[1].awaitCalls(1)
	b.discovery[1].update(func(r *discovery.Response) { r.Targets = r.Targets[:2] })
	b.discovery[1].awaitCalls(2)
	waitFor(func() bool { _, conns := b.nodes[2].Counts(); return conns == 0 }) // its idle connections are closed
	if _, done := b.sendRequest("served", 1); (<-done)[:3] != "200" {
		b.t.Error("a request to a node that is still listed failed, want status 200")
	}
}

func (b *webTestbed) checkShutdown() {
	b.t.Helper()
	b.client.CloseIdleConnections()
	b.gateway.Shutdown()
	if conns, requests := b.gateway.Frontend.Counts(); conns != 0 || requests != 0 {
		b.t.Errorf("after the shutdown: %d connections and %d requests, want none", conns, requests)
	}
	waitFor(func() bool { open, _ := b.gateway.Nodes.ConnectionCounts(); return open == 0 })
}
