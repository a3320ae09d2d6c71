package scheduler

import "testing"

// A request whose node is removed waits for a successor only as long as it can meet its objective.
func TestRequestOfARemovedNodeWaitsForASuccessorWithinItsObjective(t *testing.T) {
	h := newHarness(1, testSettings())
	h.listNode("a0", 0, 0, EndpointReady)
	h.node("a0").Suspected, h.node("a0").EjectedUntil = true, 2*Second
	queued := h.submit(1, "read", 0, 1)
	h.advance(Millisecond)
	expectEqual(t, h, "state before the drain", queued.State, RequestQueued)
	h.listNode("a0", 0, 0, EndpointDraining)
	h.listNode("a8", 0, 0, EndpointReady)
	h.advance(Millisecond)
	expectEqual(t, h, "node of the queued request", queued.Node.Addr, "a8")
	h.listNode("a8", 0, 0, EndpointDraining)
	first := h.submit(1, "read", 0, 1)
	h.advance(150 * Millisecond)
	second := h.submit(1, "read", 0, 1)
	h.advance(60 * Millisecond)
	expectEqual(t, h, "state of the first request", first.State, RequestRejected)
	h.listNode("a9", 0, 0, EndpointReady)
	h.advance(Millisecond)
	expectEqual(t, h, "state of the second request", second.State, RequestInFlight)
	expectEqual(t, h, "node of the second request", second.Node.Addr, "a9")
}

func TestNewObjectsArePlacedByCredit(t *testing.T) {
	h := newHarness(1, testSettings())
	h.listNode("a0", 0, 0, EndpointReady)
	h.listNode("a1", 1, 0, EndpointReady)
	h.decide()
	h.node("a0").PlacementCredits = 0
	request := h.submit(1, "read", -1, 1)
	h.advance(Millisecond)
	expectEqual(t, h, "node", request.Node.Addr, "a1")
	expectEqual(t, h, "credits while it is in flight", h.node("a1").PlacementCredits, maxPlacementCredits-1)
	h.finish(h.inFlight[0], OutcomeServed)
	expectEqual(t, h, "credits after the answer", h.node("a1").PlacementCredits, maxPlacementCredits)
}

// A new object in flight at a suspected node is also sent to another node while it can meet its objective.
func TestNewObjectIsHedgedFromASuspectedNode(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, 0, EndpointReady)
	h.listNode("a1", 1, 0, EndpointReady)
	request := h.submit(2, "read", -1, 1)
	h.advance(Millisecond)
	request.Node.Suspected, request.Node.EjectedUntil = true, h.now+Second
	first := request.Node
	h.advance(110 * Millisecond)
	expectEqual(t, h, "attempts", len(request.Attempts), 2)
	expectEqual(t, h, "second attempt at the same node", request.Attempts[1].Node == first, false)
}

// A client's retry past its objective is not sent to a node that is busy with requests of other gateways, even if
// this gateway has nothing in flight there.
func TestRequestPastItsObjectiveNeedsALightlyLoadedNode(t *testing.T) {
	for _, took := range []Time{10, 70} {
		h := newHarness(1, testSettings("plans.0.limit=0"))
		h.listNode("a0", 0, 0, EndpointReady)
		for range 8 {
			h.submit(1, "read", 0, 2)
			h.advance(Millisecond)
			h.advanceInSteps(took * Millisecond)
			h.finish(h.inFlight[0], OutcomeServed)
		}
		retry := &Request{ID: "retry", Units: 1, Deadline: h.now + 350*Millisecond}
		h.scheduler.Submit(h.now, retry, 1, "gold", "read", 2, false)
		h.decide()
		expectEqual(t, h, "sent", retry.State == RequestInFlight, took == 10)
	}
}
