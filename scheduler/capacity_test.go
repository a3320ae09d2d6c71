package scheduler

import "testing"

// A node that falls behind its measured rate, for whatever reason, is sent less until its answers meet their
// objective again.
func TestLateAnswersLowerTheInFlightLimit(t *testing.T) {
	h := newHarness(1, testSettings())
	h.listNode("a0", 0, 0, EndpointReady)
	node := h.node("a0")
	for _, took := range []Time{250, 10} {
		h.submit(1, "read", 0, 1)
		h.advance(Millisecond)
		h.advanceInSteps(took * Millisecond)
		h.finish(h.inFlight[0], OutcomeServed)
		if lowered := node.InFlightShare < inFlightShareInitial; lowered != (took == 250) {
			t.Errorf("in-flight share is %g after an answer that took %d ms, want it lowered only after 250 ms",
				node.InFlightShare, took)
		}
		node.InFlightShare, node.MeanLatency, node.EjectedUntil = inFlightShareInitial, 0, 0
	}
}

// A large request fills the in-flight limit. A small request must not wait behind it unless the node is slow for all
// gateways.
func TestSmallRequestPassesALargeOneAtALightlyLoadedNode(t *testing.T) {
	for _, took := range []Time{10, 100} {
		h := newHarness(1, testSettings("plans.0.limit=0"))
		h.listNode("a0", 0, 0, EndpointReady)
		for range 8 {
			h.submit(2, "read", 0, 2)
			h.advance(Millisecond)
			h.advanceInSteps(took * Millisecond)
			h.finish(h.inFlight[0], OutcomeServed)
		}
		node := h.node("a0")
		node.AnsweredUnits = node.BusySeconds // one unit per second, so that the limit is below one unit
		h.submit(2, "read", 0, 8)
		h.submit(2, "read", 0, 1)
		h.submit(2, "read", 0, 1)
		h.advance(0)
		expectEqual(t, h, "attempts in flight", node.AttemptsInFlight, map[Time]int{10: 2, 100: 1}[took])
	}
}

// Units served to a volume through other gateways count in virtual time and lower this gateway's share of the
// reserve.
func TestServiceThroughOtherGatewaysLowersTheShare(t *testing.T) {
	h := newHarness(1, testSettings("tells.others=true"))
	h.listNode("a0", 0, 0, EndpointReady)
	share := func(elsewhere float64) float64 {
		request := h.submit(1, "read", 0, 1)
		h.advance(Millisecond)
		h.scheduler.AttemptFinished(h.now, request.ID, 0, OutcomeServed, Millisecond, true, elsewhere)
		return request.Volume.Share
	}
	if first := share(0); first <= 0.5 || first >= 1 {
		t.Errorf("share of one of two gateways, the only one used: got %g, want above 0.5 and below 1", first)
	}
	flow := h.node("a0").Flows[0]
	expectEqual(t, h, "virtual start within the reserve", flow.VirtualStart, 0.0)
	expectEqual(t, h, "share when more is served through others", share(60), 0.5)
	expectEqual(t, h, "virtual start after 60 units served through others", flow.VirtualStart, 20.0)
	expectEqual(t, h, "rate of the reserve", flow.Volume.Reserve.Rate, 10.0)
	for _, reported := range []float64{-1e12, 1e12, 0} { // changes the share within its bounds and violates no invariant
		if got := share(reported); got < 0.5 || got > 1 {
			t.Errorf("after a report of %g units the share is %g, want 0.5 to 1", reported, got)
		}
	}
	expectEqual(t, h, "remaining requests", len(h.scheduler.requests), 0)
}
