package web_test

import (
	"strings"
	"testing"

	"irispost/internal/frontend/web"
)

// unsafeRequest returns a request of a class that must not run twice.
func unsafeRequest(id string) string {
	return strings.Replace(putRequest(id), "X-Class: read", "X-Class: write-once", 1)
}

// TestIDOfClientThatHasLeftRunsOnce guards against a second run of a request whose client left while it was at a storage
// node and sent it again: it is answered 409, as while the first is open.
func TestIDOfClientThatHasLeftRunsOnce(t *testing.T) {
	b := start(t, generousLimits())
	b.nodes.setHolding(true)
	first := b.dial(t)
	first.send(unsafeRequest("x"))
	<-b.nodes.heldIDs
	_ = first.Close()
	<-b.nodes.attempt("x").cancelled
	awaitNoRequests(b.Server)
	b.nodes.setHolding(false)
	again := b.dial(t)
	again.send(unsafeRequest("x"))
	again.expect(409, "the same ID after its client had left")
	if n := b.nodes.count("x"); n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
	other := b.dial(t)
	other.send(unsafeRequest("y"))
	other.expect(200, "another ID")
}

// TestIDThatWasServedRunsOnce: a request that must not run twice is not run for a client that sends it again after its
// answer; one that is idempotent is.
func TestIDThatWasServedRunsOnce(t *testing.T) {
	b := start(t, generousLimits())
	c := b.dial(t)
	c.send(putRequest("r") + putRequest("r") + unsafeRequest("x") + unsafeRequest("x"))
	c.expect(200, "read")
	c.expect(200, "the same read again")
	c.expect(200, "request that must not run twice")
	c.expect(409, "the same request again")
	if n := b.nodes.count("x"); n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
}

// TestIDThatNeverRanMayComeAgain: a request that was rejected before anything was sent may be tried again under its ID.
func TestIDThatNeverRanMayComeAgain(t *testing.T) {
	b := start(t, generousLimits())
	rejected := b.dial(t)
	rejected.send(strings.Replace(strings.Replace(unsafeRequest("x"), "shard=0", "shard=7", 1), "120000", "20", 1))
	rejected.expect(503, "request for a shard that no node has")
	rejected.send(unsafeRequest("x"))
	rejected.expect(200, "the same ID for a shard that a node has")
}

// awaitNoRequests waits until no request is open.
func awaitNoRequests(s *web.Server) {
	for _, requests := s.Counts(); requests > 0; _, requests = s.Counts() {
	}
}
