package web_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"irispost/internal/testkit"
)

// Kinds of random clients.
const (
	sendsInTwoParts = iota
	sendsPart
	sendsGarbage
	sendsAndDisconnects
	sendsGarbageAfterRequest
	numClientKinds
)

// randomClient describes what a client does. splitAt is the length of the first part of its request; garbage is sent
// instead of a request.
type randomClient struct {
	id      string
	kind    int
	splitAt int
	garbage string
}

// run runs the client. A valid request may be rejected with status 503 if many clients disconnect at once.
func (r randomClient) run(t *testing.T, c *client) {
	defer func() { _ = c.Close() }()
	request := putRequest(r.id)
	expectServed := func() {
		status, body := c.read()
		if (status != 200 || body != r.id+servedBody) && status != 503 {
			t.Errorf("%s: status %d, body %q, want 200 and its own body, or 503", r.id, status, body)
		}
	}
	switch r.kind {
	case sendsInTwoParts:
		c.send(request[:r.splitAt])
		c.send(request[r.splitAt:])
		expectServed()
	case sendsPart:
		c.send(request[:r.splitAt])
	case sendsGarbage:
		c.send(r.garbage + "\r\n\r\n")
		if status, _ := c.read(); status == 200 {
			t.Errorf("garbage %q: got status 200, want a rejection", r.garbage)
		}
	case sendsAndDisconnects:
		c.send(request)
	case sendsGarbageAfterRequest:
		c.send(request + "\x00\r\n\r\n")
		expectServed()
		if status, _ := c.read(); status != 400 {
			t.Errorf("garbage after a request: status %d, want 400", status)
		}
	}
}

// TestRandomClientsAreServedTheirOwn: among random clients, some of them misbehaving, those with valid requests get
// their own responses. In the end, no connection is open and no request is without a response.
func TestRandomClientsAreServedTheirOwn(t *testing.T) {
	b := start(t, generousLimits())
	count := 0
	testkit.FixSeeds(t)
	rapid.Check(t, func(draw *rapid.T) {
		var running sync.WaitGroup
		for range rapid.IntRange(1, 8).Draw(draw, "clients") {
			count++
			r := randomClient{id: fmt.Sprint("x", count)}
			r.kind = rapid.IntRange(0, numClientKinds-1).Draw(draw, "kind")
			r.splitAt = rapid.IntRange(0, len(putRequest(r.id))-1).Draw(draw, "cut")
			r.garbage = string(rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(draw, "noise"))
			c := b.dial(t)
			running.Go(func() { r.run(t, c) })
		}
		running.Wait()
	})
	for {
		if conns, requests := b.Counts(); conns == 0 && requests == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
}
