package scheduler

import "testing"

// Of two waiting requests, the larger is given up first, because its expected latency is longer.
func TestLargeRequestIsGivenUpWhenItCannotMeetItsObjective(t *testing.T) {
	h := newHarness(1, testSettings())
	h.listNode("a0", 0, 0, EndpointReady)
	for i := range 24 {
		units := float64(1 + i%2*7)
		h.submit(1, "read", 0, units)
		h.advance(Millisecond)
		h.advanceInSteps(Time(units) * 10 * Millisecond)
		h.finish(h.inFlight[0], OutcomeServed)
	}
	node := h.node("a0")
	node.Suspected, node.EjectedUntil = true, h.now+Second
	small := h.submit(1, "read", 0, 1)
	large := h.submit(1, "read", 0, 8)
	h.advance(150 * Millisecond)
	expectEqual(t, h, "state of the large request", large.State, RequestRejected)
	expectEqual(t, h, "state of the small request", small.State, RequestQueued)
}

// If clients leave before the objective, a request is given up once it can only be answered after they usually leave.
// This must not happen if clients leave at arbitrary times while others that wait as long are served, or if they leave at
// once: one client that sent requests and left without waiting had those of others given up at once.
func TestEarlyCancellationsShortenTheObjective(t *testing.T) {
	for _, c := range []struct {
		after   Time // milliseconds after which a client leaves
		every   int  // one in this many clients leaves
		givenUp bool
	}{{50, 100, false}, {50, 1, true}, {1, 5, false}, {1, 1, false}} {
		h := newHarness(1, testSettings("plans.0.limit=0"))
		h.listNode("a0", 0, 0, EndpointReady)
		for i := range 60 {
			request := h.submit(2, "read", 0, 1)
			h.advance(c.after * Millisecond)
			if i%c.every == c.every-1 {
				h.finished[request] = true
				h.scheduler.ClientCancelled(h.now, request.ID)
			}
			h.advanceInSteps(10 * Millisecond)
			h.finishAll(OutcomeServed)
		}
		h.node("a0").Suspected, h.node("a0").EjectedUntil = true, h.now+10*Second
		request := h.submit(2, "read", 0, 1)
		h.advance(60 * Millisecond)
		expectEqual(t, h, "given up", request.State == RequestRejected, c.givenUp)
	}
}
