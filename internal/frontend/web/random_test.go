package web_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"irispost/internal/testkit"
)

// kinds of a random client.
const (
	sendsInTwoParts = iota
	sendsPart
	sendsGarbage
	sendsAndDisconnects
	sendsGarbageAfterRequest
	numClientKinds
)

// randomClient is what a client does; splitAt is where its request is split, and garbage what it sends that is no request.
type randomClient struct {
	id      string
	kind    int
	splitAt int
	garbage string
}

// run plays the client. Where many leave at once, a valid request may be rejected.
func (r randomClient) run(t *testing.T, c *client) {
	defer func() { _ = c.Close() }()
	request := putRequest(r.id)
	expectServed := func() {
		status, body := c.read()
		if (status != 200 || body != r.id+servedBody) && status != 503 {
			t.Errorf("%s: %d %q", r.id, status, body)
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
			t.Errorf("noise %q is served", r.garbage)
		}
	case sendsAndDisconnects:
		c.send(request)
	case sendsGarbageAfterRequest:
		c.send(request + "\x00\r\n\r\n")
		expectServed()
		if status, _ := c.read(); status != 400 {
			t.Errorf("noise behind a request: status %d, want 400", status)
		}
	}
}

// TestRandomClientsAreServedTheirOwn: of random clients, some bad, the good ones get their own responses, and no
// connection and no request is left in the end.
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
