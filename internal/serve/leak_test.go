package serve_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"irispost/internal/endpoint/discovery"
	"irispost/internal/platform"
	"irispost/internal/serve"
	"irispost/internal/webstandin"
)

// startLeakGateway starts an HTTP gateway that takes its endpoints from a discovery server.
func startLeakGateway(t *testing.T, list *discoveryServer) (*serve.WebGateway, *platform.Config) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"discovery":"ask","contracts":[{"name":"gold","base_rate":1000.0,"floor_rate":1000.0}],
		"domain":{"unit_mean":2.0,"largest":8},
		"lanes":[{"name":"read","effect":"read_like","target_ms":500.0,"hard_limit_ms":1000.0}],
		"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"dial_timeout_ms":5000.0,
		"idle_close_ms":60000.0}}}`, list.Listener.Addr())
	conf, err := platform.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	g, err := serve.StartWebGateway(conf, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return g, conf
}

// dialWeb connects to an HTTP gateway and sends a text.
func dialWeb(t *testing.T, g *serve.WebGateway, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", g.Frontend.Addr())
	if err != nil {
		t.Fatal(err)
	}
	write(t, c, []byte(text))
	return c
}

// TestWebGatewayLeavesNoGoroutine: after its shutdown, an HTTP gateway leaves no goroutine of its front end, its node
// connections, its discovery client or its loop, although clients stayed idle, disconnected or sent malformed
// requests.
func TestWebGatewayLeavesNoGoroutine(t *testing.T) {
	store := webstandin.Start(t)
	targets := []discovery.Target{{UID: "s", Endpoint: store.Addr().String(), State: "ready"}}
	list := startDiscoveryServer(t, discovery.Response{Revision: 1, Full: true, Targets: targets})
	other := startDiscoveryServer(t, discovery.Response{Revision: 1, Full: true})
	before := goleak.IgnoreCurrent()
	g, conf := startLeakGateway(t, list)
	list.awaitCalls(2)
	request := func(id string) string {
		return "PUT /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: read\r\n" +
			"X-Plan: gold\r\nX-Deadline-Ms: 120000\r\nContent-Length: 0\r\n" +
			"X-IO: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n"
	}
	served := dialWeb(t, g, request("served-1"))
	if _, err := io.ReadFull(served, make([]byte, 12)); err != nil { // the connection stays idle
		t.Error(err)
	}
	rubbish := dialWeb(t, g, request(strings.Repeat("x y", 100)))
	gone := dialWeb(t, g, request("held-1"))
	<-store.WaitingIDs
	_ = gone.Close()
	half := dialWeb(t, g, "PUT /api HTTP/1.1\r\nHost")
	close(store.Release)
	moved := *conf
	moved.Discovery = other.Listener.Addr().String()
	g.Reload(&moved)
	g.Shutdown()
	for _, c := range []net.Conn{served, rubbish, half} {
		_ = c.Close()
	}
	list.update(func(*discovery.Response) {})
	other.update(func(*discovery.Response) {})
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, before)
}
