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

// TestNothingIsLeftRunning: a gateway behind HTTP that has served, has had clients that rest, leave and send rubbish, and has ended, leaves no goroutine
// of its front, its node connections, its list or its loop.
func TestNothingIsLeftRunning(t *testing.T) {
	store := webstandin.Start(t)
	list := startLists(t, discovery.Response{Revision: 1, Full: true, Targets: []discovery.Target{{UID: "s", Endpoint: store.Addr().String(), State: "ready"}}})
	other := startLists(t, discovery.Response{Revision: 1, Full: true})
	before := goleak.IgnoreCurrent()
	conf, err := platform.Parse([]byte(fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"discovery":"ask","contracts":[{"name":"gold","base_rate":1000.0,"floor_rate":1000.0}],
		"domain":{"unit_mean":2.0,"largest":8},"lanes":[{"name":"read","effect":"read_like","target_ms":500.0,"hard_limit_ms":1000.0}],
		"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"dial_timeout_ms":5000.0,"idle_close_ms":60000.0}}}`, list.Listener.Addr())),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	g, err := serve.StartWebGateway(conf, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	until(func() bool { list.lock.Lock(); defer list.lock.Unlock(); return list.asked >= 2 })
	ask := func(id string) net.Conn {
		c, err := net.Dial("tcp", g.Frontend.Addr())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "PUT /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Request-Id: "+id+"\r\nX-Class: read\r\nX-Plan: gold\r\nX-Deadline-Ms: 120000\r\n"+
			"Content-Length: 0\r\nX-IO: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n")
		return c
	}
	served := ask("served-1")
	io.ReadFull(served, make([]byte, 12)) // and rests
	rubbish := ask(strings.Repeat("x y", 100))
	left := ask("held-1")
	<-store.WaitingIDs
	left.Close()
	half, err := net.Dial("tcp", g.Frontend.Addr())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(half, "PUT /api HTTP/1.1\r\nHost")
	close(store.Release)
	moved := *conf
	moved.Discovery = other.Listener.Addr().String()
	g.Reload(&moved)
	g.Shutdown()
	for _, c := range []net.Conn{served, rubbish, half} {
		c.Close()
	}
	list.say(func(*discovery.Response) {})
	other.say(func(*discovery.Response) {})
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, before)
}
