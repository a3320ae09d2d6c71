package scheduler

import "testing"

// A request that was admitted by a draw at one warming node must draw again at the next node.
func TestAdmissionDrawCountsAtOneNodeOnly(t *testing.T) {
	h := newHarness(2, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, h.now, EndpointReady)
	h.node("a0").EjectedUntil = h.now + Second
	request := h.submit(1, "read", 0, 8)
	h.advance(Millisecond)
	request.SlowStartDraw = DrawAdmitted
	request.ExcessDraw = DrawAdmitted
	request.SlowStartShareDraw = DrawAdmitted
	h.listNode("a0", 0, 0, EndpointDraining)
	h.listNode("a9", 0, h.now, EndpointReady)
	h.advance(Millisecond)
	expectEqual(t, h, "node", request.Node.Addr, "a9")
	expectEqual(t, h, "state at a node where nothing can admit it in time", request.State, RequestRejected)
	h.node("a9").SlowStartAnswered = UnitWindow{{h.now, 1}}
	request = h.submit(1, "read", 0, 8)
	h.advance(Millisecond)
	expectEqual(t, h, "state at a node whose answers may admit it", request.State, RequestQueued)
}

// A node that is slow for all gateways takes only requests within reserves, as long as it answers.
func TestHeavilyLoadedNodeTakesOnlyReservedRequests(t *testing.T) {
	checkHeavilyLoadedNode(t, newHarness(1, testSettings("plans.0.limit=0")))
	// If no level has a reserve, the nominal rate is used; here only the second level has a nominal rate.
	checkHeavilyLoadedNode(t, newHarness(1, testSettings("plans.0.limit=0", "plans.1.reserve=0", "plans.1.rate=20")))
}

func checkHeavilyLoadedNode(t *testing.T, h *harness) {
	t.Helper()
	h.listNode("a0", 0, 0, EndpointReady)
	for range 8 {
		h.submit(1, "read", 0, 2)
		h.advance(Millisecond)
		h.advanceInSteps(120 * Millisecond)
		h.finish(h.inFlight[0], OutcomeServed)
	}
	excess := h.submit(2, "read", 0, 1)
	h.advance(Millisecond)
	expectEqual(t, h, "state beyond any reserve", excess.State, RequestQueued)
	reserved := h.submit(1, "read", 0, 1)
	h.advance(Millisecond)
	expectEqual(t, h, "state within a reserve", reserved.State, RequestInFlight)
	h.finish(h.inFlight[0], OutcomeServed)
	h.advance(150 * Millisecond) // meanwhile the first request is given up
	late := h.submit(2, "read", 0, 1)
	h.advance(60 * Millisecond)
	expectEqual(t, h, "state after silence for the objective", late.State, RequestInFlight)
}

// Beyond its reserve, a volume gets only its part of the fair rate of a node whose answers are delayed. On average
// this holds even if that part is far smaller than a request. A node whose answers are not delayed takes everything.
func TestFairRateLimitsRequestsBeyondReserves(t *testing.T) {
	for _, gateways := range []float64{1, 100} {
		for _, fairRate := range []float64{0.25, 1} {
			h := newHarness(1, testSettings("plans.0.limit=0", "plans.0.rate=16", "plans.1.rate=16"))
			h.listNode("a0", 0, 0, EndpointReady)
			h.submit(2, "read", 0, 2)
			h.advance(Millisecond)
			node, volume := h.node("a0"), h.scheduler.volumes[2]
			node.FairRate = fairRate
			volume.GatewayCount = gateways
			volume.Share = 1 / gateways
			admitted := 0.0
			for range 20000 { // 200 s
				h.now += 10 * Millisecond
				h.scheduler.now = h.now
				if h.scheduler.withinFairRate(node, &Request{Units: 2, Volume: volume}) {
					h.scheduler.flow(node, volume).Excess.take(2)
					admitted += 2
				}
			}
			rate := 0.25 * 32 / 4 / gateways // units per second: 1/4 of the sum of nominal rates over the sum of weights
			if fairRate == 1 {
				expectEqual(t, h, "units admitted at a node with the full fair rate", admitted, 40000.0)
			} else if expected := 200 * rate; admitted < 0.5*expected || admitted > 1.5*expected+8 {
				t.Errorf("one of %g gateways admitted %g units, want about %g", gateways, admitted, expected)
			}
		}
	}
}
