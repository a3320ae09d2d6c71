package web_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"irispost/internal/frontend/web"
)

// TestShutdownServesOpenConnections: connections that are open when a shutdown begins are still served. At the end of
// the grace period, requests in flight fail, and requests that are incomplete or were never forwarded are rejected.
func TestShutdownServesOpenConnections(t *testing.T) {
	b := start(t, generousLimits())
	idle, inFlight, health, unplaceable, incomplete := b.dial(t), b.dial(t), b.dial(t), b.dial(t), b.dial(t)
	idle.send(putRequest("1"))
	idle.expect(200, "before the shutdown")
	for conns := 0; conns < 5; conns, _ = b.Counts() { // wait until all are accepted
		time.Sleep(time.Millisecond)
	}
	ctx, endGracePeriod := context.WithCancel(t.Context())
	shutDown := make(chan struct{})
	go func() {
		b.Shutdown(ctx, 0, time.Hour)
		close(shutDown)
	}()
	awaitNotAccepting(b)
	idle.send(putRequest("2"))
	idle.expect(200, "during the shutdown")
	b.nodes.setHolding(true)
	inFlight.send(putRequest("in-flight"))
	<-b.nodes.heldIDs
	unplaceable.send(strings.Replace(putRequest("unplaced"), "shard=0", "shard=7", 1)) // no node has that shard
	for requests := 0; requests < 2; {
		_, requests = b.Counts()
	}
	health.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
	health.expect(503, "health check during the shutdown")
	incomplete.send(putRequest("incomplete")[:len(putRequest("incomplete"))-1])
	for !web.IsReading(b.Server) {
		time.Sleep(time.Millisecond)
	}
	endGracePeriod()
	incomplete.expect(408, "incomplete request")
	if err := incomplete.awaitEnd(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection of the incomplete request ended with %v, want EOF", err)
	}
	inFlight.expect(502, "request in flight at the end")
	inFlight.expect(0, "connection of the request in flight")
	unplaceable.expect(503, "request that was never forwarded")
	idle.expect(0, "idle connection")
	<-shutDown
	if conns, requests := b.Counts(); conns != 0 || requests != 0 {
		t.Errorf("%d connections and %d requests are left, want none", conns, requests)
	}
}

// awaitNotAccepting waits until the server accepts no connections.
func awaitNotAccepting(b *testbed) {
	for {
		c, err := net.Dial("tcp", b.Addr())
		if err != nil {
			return
		}
		_ = c.Close()
	}
}
