package scheduler

import "testing"

// A node that takes work and answers nothing is suspected; what waits for it is tried one request at a time.
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
		t.Errorf("%d requests sent to an unresponsive node in 2700 ms", sent)
	}
	h.finish(h.inFlight[0], OutcomeServed)
	node := h.node("a0")
	expectEqual(t, h, "suspected after an answer", node.Suspected, false)
	node.MeanLatency, node.EjectedUntil = 0, 0
	h.submit(1, "read", 0, 1)
	h.advance(Millisecond)
	h.finish(h.inFlight[0], OutcomeOverloaded) // a full queue, or a drain that the list does not name yet
	expectEqual(t, h, "suspected after rejecting a request", h.node("a0").Suspected, true)
}

// A node that takes more than the objective for a mean request is ejected for a while, for reserved requests too.
func TestNodeSlowerThanTheObjectiveIsEjected(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, 0, EndpointReady)
	h.submit(1, "read", 0, 2)
	h.advanceInSteps(300 * Millisecond)
	h.finish(h.inFlight[0], OutcomeServed)
	early := h.submit(1, "read", 0, 2)
	h.advanceInSteps(100 * Millisecond)
	expectEqual(t, h, "while it is ejected", early.State, RequestRejected)
	h.advanceInSteps(100 * Millisecond)
	late := h.submit(1, "read", 0, 2)
	h.advance(Millisecond)
	expectEqual(t, h, "after its ejection", late.State, RequestInFlight)
}

// Silence for longer than the objective lowers a node's fair rate before its answer comes, and silence through a
// whole time-out ejects it; a failure after a long pause weighs more than one among many answers.
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
			t.Error("an error does not raise the failure rate")
		}
		h.finishAll(OutcomeServed)
		node.FairRate = 1
		h.submit(2, "read", 0, 2)
		h.advanceInSteps(190 * Millisecond)
		expectEqual(t, h, "fair rate reduced within the objective", node.FairRate < 1, false)
		h.advanceInSteps(60 * Millisecond)
		expectEqual(t, h, "fair rate reduced after it", node.FairRate < 1, true)
		expectEqual(t, h, "ejected before the time-out", node.EjectedUntil > h.now+300*Millisecond, false)
		h.advanceInSteps(360 * Millisecond)
		expectEqual(t, h, "ejected after it", node.EjectedUntil > h.now+300*Millisecond, true)
	}
}

// Latencies that a gateway finds after it stood still itself are not counted against the node.
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

// At a node with a high failure rate, and where most overdue attempts had no answer, an overdue attempt is presumed
// lost: it takes no capacity, and its request is sent once more. An answer that comes all the same lowers the share
// of lost ones.
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
		expectEqual(t, h, "counted as in flight", node.AttemptsInFlight, 1)
		before := h.scheduler.overdueLostShare
		h.finish(lost.Attempts[0], OutcomeServed)
		lowered := h.scheduler.overdueLostShare < before || before == 0
		expectEqual(t, h, "share of lost attempts lowered by an answer", lowered, true)
	}
}
