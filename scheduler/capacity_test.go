package scheduler

import "testing"

// A node that falls behind its measured rate, whatever slows it, is sent less until answers meet their objective.
func TestLateAnswersLowerTheInFlightLimit(t *testing.T) {
	h := newHarness(1, testSettings())
	h.listNode("a0", 0, 0, EndpointReady)
	node := h.node("a0")
	for _, took := range []Time{250, 10} {
		h.submit(1, "read", 0, 1)
		h.advance(Millisecond)
		h.advanceInSteps(took * Millisecond)
		h.finish(h.inFlight[0], OutcomeServed)
		if narrow := node.InFlightShare < inFlightShareInitial; narrow != (took == 250) {
			t.Errorf("in-flight share is %g after an answer of %d ms", node.InFlightShare, took)
		}
		node.InFlightShare, node.MeanLatency, node.EjectedUntil = inFlightShareInitial, 0, 0
	}
}

// One large request fills the limit; a small one does not wait behind it, unless the node is slow for all.
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
		node.AnsweredUnits = node.BusySeconds // a unit a second, so that the limit is under one
		h.submit(2, "read", 0, 8)
		h.submit(2, "read", 0, 1)
		h.submit(2, "read", 0, 1)
		h.advance(0)
		expectEqual(t, h, "attempts in flight", node.AttemptsInFlight, map[Time]int{10: 2, 100: 1}[took])
	}
}

// What a volume was served through other gateways counts in virtual time, and lowers this gateway's share of the
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
		t.Errorf("with no service through others, the share of one in two gateways is %g", first)
	}
	flow := h.node("a0").Flows[0]
	expectEqual(t, h, "virtual start within the reserve", flow.VirtualStart, 0.0)
	expectEqual(t, h, "share when others are served more", share(60), 0.5)
	expectEqual(t, h, "virtual start after 60 units through others", flow.VirtualStart, 20.0)
	expectEqual(t, h, "rate of the reserve", flow.Volume.Reserve.Rate, 10.0)
	for _, absurd := range []float64{-1e12, 1e12, 0} { // changes the share within its bounds, and violates nothing
		if got := share(absurd); got < 0.5 || got > 1 {
			t.Errorf("after a report of %g the share is %g", absurd, got)
		}
	}
	expectEqual(t, h, "requests that remain", len(h.scheduler.requests), 0)
}
