package scheduler

import "testing"

// A node that accepts requests and answers none is suspected; requests for it are then tried one at a time.
func TestUnresponsiveNodeIsTriedOneRequestAtATime(t *testing.T) {
	h := newHarness(1, testSettings())
	h.listNode("a0", 0, 0, EndpointReady)
	sent := 0
	for i := 0; i < 300 || len(h.inFlight) == 0; i++ {
		h.submit(1, "read", 0, 1)
		h.advance(10 * Millisecond)
		if i >= 30 {
			sent += len(h.dispatched)
		}
	}
	expectEqual(t, h, "suspected", h.node("a0").Suspected, true)
	if sent < 2 || sent > 10 {
		t.Errorf("sent %d requests to an unresponsive node in 2700 ms, want 2 to 10", sent)
	}
	h.finish(h.inFlight[0], OutcomeServed)
	node := h.node("a0")
	expectEqual(t, h, "suspected after an answer", node.Suspected, false)
	node.MeanLatency, node.EjectedUntil = 0, 0
	h.submit(1, "read", 0, 1)
	h.advance(Millisecond)
	h.finish(h.inFlight[0], OutcomeOverloaded) // a full queue, or a drain not yet in the list
	expectEqual(t, h, "suspected after rejecting a request", h.node("a0").Suspected, true)
}

// A node that takes longer than the objective for a mean request is ejected for a while, also for reserved requests.
func TestNodeSlowerThanTheObjectiveIsEjected(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, 0, EndpointReady)
	h.submit(1, "read", 0, 2)
	h.advanceInSteps(300 * Millisecond)
	h.finish(h.inFlight[0], OutcomeServed)
	early := h.submit(1, "read", 0, 2)
	h.advanceInSteps(100 * Millisecond)
	expectEqual(t, h, "state during the ejection", early.State, RequestRejected)
	h.advanceInSteps(100 * Millisecond)
	late := h.submit(1, "read", 0, 2)
	h.advance(Millisecond)
	expectEqual(t, h, "state after the ejection", late.State, RequestInFlight)
}

// A node that is silent for longer than the objective gets a lower fair rate before its answer arrives, and is
// ejected if it is silent for a whole timeout. A failure after a long pause has more weight than one among many
// answers.
func TestSilenceOfASeldomUsedNodeLowersItsFairRate(t *testing.T) {
	for _, pause := range []Time{0, 10 * Second} {
		h := newHarness(1, testSettings("plans.0.limit=0"))
		h.listNode("a0", 0, 0, EndpointReady)
		for range 20 {
			h.submit(2, "read", 0, 2)
			h.advanceInSteps(20 * Millisecond)
			h.finish(h.inFlight[0], OutcomeServed)
		}
		node := h.node("a0")
		h.advanceInSteps(pause)
		h.submit(2, "read", 0, 2)
		h.advance(Millisecond)
		h.finish(h.inFlight[0], OutcomeError)
		expectEqual(t, h, "failure rate over half after one error", node.FailureRate > 0.5, pause > 0)
		if node.FailureRate == 0 {
			t.Error("failure rate is 0 after an error")
		}
		h.finishAll(OutcomeServed)
		node.FairRate = 1
		h.submit(2, "read", 0, 2)
		h.advanceInSteps(190 * Millisecond)
		expectEqual(t, h, "fair rate reduced within the objective", node.FairRate < 1, false)
		h.advanceInSteps(60 * Millisecond)
		expectEqual(t, h, "fair rate reduced after it", node.FairRate < 1, true)
		expectEqual(t, h, "ejected before the timeout", node.EjectedUntil > h.now+300*Millisecond, false)
		h.advanceInSteps(360 * Millisecond)
		expectEqual(t, h, "ejected after it", node.EjectedUntil > h.now+300*Millisecond, true)
	}
}

// Latencies measured after the gateway itself has stalled are not counted against the node.
func TestOwnStallIsNotCountedAgainstNodes(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		h := newHarness(1, testSettings("plans.0.limit=0"))
		h.listNode("a0", 0, 0, EndpointReady)
		h.submit(2, "read", 0, 2)
		h.advanceInSteps(10 * Millisecond)
		h.finish(h.inFlight[0], OutcomeServed)
		h.submit(2, "read", 0, 2)
		h.advance(Millisecond)
		if stalls {
			h.now += 300 * Millisecond
		} else {
			h.advanceInSteps(300 * Millisecond)
		}
		h.finish(h.inFlight[0], OutcomeServed)
		node := h.node("a0")
		expectEqual(t, h, "fair rate reduced", node.FairRate < 1, !stalls)
		expectEqual(t, h, "mean latency raised", node.MeanLatency > float64(30*Millisecond), !stalls)
		expectEqual(t, h, "suspected", node.Suspected, false)
	}
}

// An overdue attempt is presumed lost if its node has a high failure rate or if most overdue attempts were never
// answered. It then occupies no capacity, and its request is sent again. An answer that arrives after all lowers the
// share of lost attempts.
func TestLostAttemptIsRetriedAndHoldsNoCapacity(t *testing.T) {
	for _, c := range []struct {
		failureRate, overdueLostShare float64
		attempts                      int
	}{{0, 0, 1}, {0.2, 0, 2}, {0, 0.6, 2}} {
		h := newHarness(1, testSettings("plans.0.limit=0"))
		h.listNode("a0", 0, 0, EndpointReady)
		for range 8 {
			h.submit(2, "read", 0, 2)
			h.advance(Millisecond)
			h.advanceInSteps(10 * Millisecond)
			h.finish(h.inFlight[0], OutcomeServed)
		}
		node := h.node("a0")
		h.scheduler.overdueLostShare = c.overdueLostShare
		lost := h.submit(2, "read", 0, 2)
		h.advance(Millisecond)
		h.submit(2, "read", 0, 2)
		h.advance(10 * Millisecond)
		h.finish(h.inFlight[1], OutcomeServed)
		node.FailureRate = c.failureRate
		h.advance(40 * Millisecond)
		expectEqual(t, h, "attempts", len(lost.Attempts), c.attempts)
		expectEqual(t, h, "attempts counted as in flight", node.AttemptsInFlight, 1)
		before := h.scheduler.overdueLostShare
		h.finish(lost.Attempts[0], OutcomeServed)
		lowered := h.scheduler.overdueLostShare < before || before == 0
		expectEqual(t, h, "share of lost attempts lowered by an answer", lowered, true)
	}
}
