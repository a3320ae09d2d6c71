package web_test

import (
	"fmt"
	"strings"
	"testing"
)

// TestInvalidRequestsAreRejected: an invalid request is rejected with the right status and not forwarded, and its
// connection is closed.
func TestInvalidRequestsAreRejected(t *testing.T) {
	b := start(t, generousLimits())
	for name, change := range map[string]struct{ old, replacement, status string }{
		"no id":             {"X-Request-Id: r\r\n", "", "400"},
		"two ids":           {"X-Request-Id: r\r\n", "X-Request-Id: r\r\nX-Request-Id: s\r\n", "400"},
		"an id with spaces": {"X-Request-Id: r", "X-Request-Id: r s", "400"},
		"unknown class":     {"X-Class: read", "X-Class: gold", "400"},
		"unknown plan":      {"X-Plan: gold", "X-Plan: read", "400"},
		"no deadline":       {"X-Deadline-Ms: 120000", "X-Deadline-Ms: soon", "400"},
		"negative deadline": {"X-Deadline-Ms: 120000", "X-Deadline-Ms: -5", "400"},
		"zero deadline":     {"X-Deadline-Ms: 120000", "X-Deadline-Ms: 0", "400"},
		"huge deadline":     {"X-Deadline-Ms: 120000", "X-Deadline-Ms: 99999999999999", "400"},
		"no extent":         {"?extent=7f3a9c21e0b4d655", "", "400"},
		"odd extent":        {"extent=7f3a9c21e0b4d655", "extent=7f3a", "400"},
		"no volume":         {"volume=00000003b4d60021,", "", "400"},
		"no units":          {"units=2", "units=NaN", "400"},
		"too many units":    {"units=2", "units=9", "400"},
		"negative units":    {"units=2", "units=-2", "400"},
		"odd shard":         {"shard=0", "shard=-2", "400"},
		"no hosts":          {"hosts=3", "hosts=0", "400"},
		"another method":    {"PUT /", "POST /", "405"},
		"a read with bytes": {"PUT /", "GET /", "400"},
		"two framings":      {"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked", "400"},
		"60 MB":             {"Content-Length: 4", "Content-Length: 60000000", "413"},
	} {
		c := b.dial(t)
		c.send(strings.Replace(putRequest("r"), change.old, change.replacement, 1))
		status, _ := c.read()
		if fmt.Sprint(status) != change.status {
			t.Errorf("%s: status %d, want %s", name, status, change.status)
		}
		c.expect(0, name+": connection after the rejection")
	}
	if n := b.nodes.total(); n > 0 {
		t.Errorf("%d attempts were made, want 0", n)
	}
}

// TestEndToEndFieldsAreForwarded: the idempotency key and all other end-to-end fields are forwarded to the node.
// Hop-by-hop fields and those that the gateway writes itself are not.
func TestEndToEndFieldsAreForwarded(t *testing.T) {
	b := start(t, generousLimits())
	b.nodes.setHolding(true)
	c := b.dial(t)
	c.send(strings.Replace(putRequest("x"), "Host: origin.svc\r\n", "Host: origin.svc\r\nIdempotency-Key: \tk=1; a \r\n"+
		"X-Other: b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: a\r\n", 1))
	<-b.nodes.heldIDs
	want := "[idempotency-key k=1; a x-other b x-class read x-plan gold " +
		"x-io volume=00000003b4d60021,units=2,shard=0,hosts=3]"
	if got := fmt.Sprint(b.nodes.attempt("x").call.Headers); got != want {
		t.Errorf("forwarded fields: got %s, want %s", got, want)
	}
}
