package scheduler

import "testing"

func TestFlowsAreServedInTurnsByBudget(t *testing.T) {
	h := newHarness(1, testSettings("plans.1.reserve=0"))
	h.listNode("a0", 0, 0, EndpointReady)
	for range 40 {
		h.submit(1, "read", 0, 2) // weight 3
		h.submit(3, "read", 0, 2) // weight 3
	}
	node := h.node("a0")
	first, second := h.scheduler.volumes[1], h.scheduler.volumes[3]
	first.Reserve.Level = 0 // the reserve's initial burst is used up
	second.Reserve.Level = 0
	names := map[*Volume]string{first: "x", second: "y"}
	served := ""
	for range 24 {
		h.advance(Millisecond)
		for _, attempt := range h.dispatched {
			served += names[attempt.Request.Volume]
		}
		if len(h.inFlight) > 0 {
			h.finish(h.inFlight[0], OutcomeServed)
		}
	}
	// A turn is eight mean requests; once it is used up, the next is half of that, as two volumes are active.
	expectEqual(t, h, "order", served[:24], "xxxxxxxxyyyyyyyyxxxxyyyy")
	node.InService = node.Flows[0]
	node.InServiceSince = h.now - maxTurnDuration
	node.InService.Budget = 0.4
	h.scheduler.nextFlow(node)
	expectEqual(t, h, "budget after expiry", node.Flows[0].Budget, 16.0)
}

func TestIdleFlowStaysInServiceForItsAverageGap(t *testing.T) {
	h := newHarness(1, testSettings())
	h.listNode("a0", 0, 0, EndpointReady)
	h.submit(1, "read", 0, 2)
	h.advance(Millisecond)
	node := h.node("a0")
	flow := node.Flows[0]
	flow.AverageSendGap = 10 * Millisecond
	h.finish(h.inFlight[0], OutcomeServed)
	h.advance(9 * Millisecond)
	h.scheduler.nextFlow(node)
	expectEqual(t, h, "flow in service within the gap", node.InService, flow)
	h.advance(Millisecond)
	h.scheduler.nextFlow(node)
	expectEqual(t, h, "flow in service after the gap", node.InService, (*Flow)(nil))
}

// A volume that was idle for a long time is not served ahead of the others when it returns.
func TestIdleFlowGathersNoVirtualTimeCredit(t *testing.T) {
	h := newHarness(1, testSettings())
	h.listNode("a0", 0, 0, EndpointReady)
	node := h.node("a0")
	h.submit(1, "read", 0, 2)
	h.advance(Millisecond)
	h.finish(h.inFlight[0], OutcomeServed)
	node.VirtualTime = 100
	h.submit(1, "read", 0, 2)
	h.advance(Millisecond)
	if start := node.Flows[0].VirtualStart; start < 100 {
		t.Errorf("virtual start is %g, want at least the node's virtual time of 100", start)
	}
}

// A request within its volume's reserve is sent before those of the flow in service.
func TestReservedRequestGoesBeforeTheFlowInService(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, 0, EndpointReady)
	for range 20 {
		h.submit(2, "read", 0, 4)
	}
	h.advance(Millisecond)
	node := h.node("a0")
	reserved := h.submit(1, "read", 0, 4)
	node.Flows[0].VirtualStart = -100 // the flow in service is also first by virtual time
	h.advance(Millisecond)
	h.finish(h.inFlight[0], OutcomeServed)
	h.advance(Millisecond)
	expectEqual(t, h, "flow in service", node.InService, node.Flows[0])
	expectEqual(t, h, "state of the reserved request", reserved.State, RequestInFlight)
}
