package scheduler

import (
	"fmt"
	"slices"
	"testing"
)

// More requests are sent to a warming node only as it answers, and a restart of the node voids its earlier answers.
func TestWarmingNodeIsSentMoreOnlyAsItAnswers(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, h.now, EndpointReady)
	node := h.node("a0")
	burst := func() (sent int) {
		node.AnsweredUnits = 1e3 // large, so that the in-flight limit does not apply
		for range 20 {
			h.submit(1, "read", 0, 1)
		}
		h.advance(Millisecond)
		return len(h.dispatched)
	}
	if sent := burst(); sent > 1 {
		t.Errorf("sent %d requests at first, want at most 1", sent)
	}
	h.finishAll(OutcomeServed)
	h.advanceInSteps(1100 * Millisecond)
	node.Measured = true
	node.BusySeconds = 1
	node.SlowStartAnswered = UnitWindow{{h.now, 10}}
	if sent := burst(); sent < 10 || sent > 11 { // 10 answered units x multiple 2 x safety 0.5, plus one at random
		t.Errorf("sent %d requests after ten answered units, want 10 or 11", sent)
	}
	h.finishAll(OutcomeServed)
	h.advanceInSteps(1100 * Millisecond)
	node.SlowStartAnswered = UnitWindow{{h.now, 10}}
	h.listNode("a0", 0, h.now, EndpointReady)
	if sent := burst(); sent > 1 {
		t.Errorf("sent %d requests after a restart, want at most 1", sent)
	}
}

// warmUnitsPerSecond is the rate of a warm node in the tests with many gateways.
const warmUnitsPerSecond = 60

// warmingUnitsPerSecond returns the rate of such a node at a given age. It starts at a fifth and is complete after
// ten seconds.
func warmingUnitsPerSecond(age Time) float64 {
	return warmUnitsPerSecond * (0.2 + 0.8*float64(age)/float64(10*Second))
}

// manyGateways is a scenario in which a node restarts while many gateways send to it without coordination.
type manyGateways struct {
	gateways, volumes, gatewaysPerVolume int
	submitted                            float64 // units per second
	minUnits                             float64 // minimum units sent within four seconds of the start
	maxShare                             float64 // maximum share of the budget used in any second
}

// Regardless of their number, the gateways together stay within a warming node's slow-start budget, but do use it.
// The cases are one volume whose requests come through all gateways, and many volumes with few requests each, within
// their service levels or beyond.
func TestManyGatewaysStayWithinTheSlowStartBudget(t *testing.T) {
	for _, c := range []manyGateways{
		{2, 1, 2, 600, 30, 0.4},
		{80, 1, 80, 600, 30, 0.55},
		{300, 1, 300, 600, 30, 0.6},
		{60, 12, 2, 36, 40, 0.5},
		{60, 12, 2, 72, 60, 0.8},
		{60, 12, 2, 144, 80, 0.9},
	} {
		units, share := c.simulate()
		t.Logf("%+v: sent %.0f units, at most %.0f%% of the slow-start budget", c, units, 100*share)
		if share > c.maxShare || units < c.minUnits {
			t.Errorf("%+v: sent %g units in four seconds, at most %.0f%% of the slow-start budget, want at least minUnits and at most maxShare",
				c, units, 100*share)
		}
	}
}

// startGateways creates the gateways. Each of them knows the rate of a warm node.
func (c manyGateways) startGateways() (harnesses []*harness) {
	for i := range c.gateways {
		h := newHarness(uint64(i), testSettings(
			"plans.0.limit=0", "plans.0.rate=2", "plans.0.reserve=1", "plans.1.rate=4",
			fmt.Sprintf("gateways=%d", c.gateways),
			fmt.Sprintf("plans.1.reserve=%g", 20/float64(c.volumes))))
		h.gatewayCount = float64(c.gatewaysPerVolume)
		h.listNode("a0", 0, 0, EndpointReady)
		h.listWarmNode()
		harnesses = append(harnesses, h)
	}
	return harnesses
}

// listWarmNode adds a second node with a known rate to the list.
func (h *harness) listWarmNode() {
	h.listNode("a1", 1, 0, EndpointReady)
	node := h.node("a1")
	node.Measured = true
	node.AnsweredUnits = warmUnitsPerSecond
	node.BusySeconds = 1
}

// simulate runs the gateways for one second before the node's start and four seconds after it. The node processes one
// request at a time. The results are the units sent in the four seconds and the maximum share of the slow-start
// budget used in any second.
func (c manyGateways) simulate() (units, maxShare float64) {
	harnesses := c.startGateways()
	random := newPCG32(uint64(c.gateways))
	dueAt := map[*Attempt]Time{}
	busyUntil := Time(0)
	var sent UnitWindow
	for step := -100; step < 400; step++ {
		rate := warmingUnitsPerSecond(Time(max(step, 0)) * 10 * Millisecond)
		c.submit(harnesses, &random)
		for _, h := range harnesses {
			if step == 0 {
				units, sent = 0, nil
				h.listNode("a0", 0, h.now, EndpointReady)
			}
			for _, attempt := range slices.Clone(h.inFlight) {
				if dueAt[attempt] <= h.now {
					h.finish(attempt, OutcomeServed)
				}
			}
			h.advance(10 * Millisecond)
			for _, attempt := range h.dispatched {
				sent = append(sent, UnitSample{h.now, attempt.Request.Units})
				units += attempt.Request.Units
				busyUntil = max(busyUntil, h.now) + Time(attempt.Request.Units/rate*float64(Second))
				dueAt[attempt] = busyUntil
			}
		}
		if step >= 0 {
			maxShare = max(maxShare, sent.sumSince(harnesses[0].now-Second)/2/rate)
		}
	}
	return units, maxShare
}

// submit submits 10 ms worth of requests of two units each. They are writes, whose answers do not count because a
// node may defer part of a write.
func (c manyGateways) submit(harnesses []*harness, random *pcg32) {
	for expected := c.submitted / 200; expected > 0; expected-- {
		volume := int(random.uint32()) % c.volumes
		if random.float64() < expected {
			gateway := volume*5 + int(random.uint32())%c.gatewaysPerVolume
			harnesses[gateway%len(harnesses)].submit(int64(volume+1), "read", 0, 2).Write = true
		}
	}
}

// The slow-start budget of a warming node is kept for requests that no other node can serve. Answered writes do not
// raise what may be sent, because part of their work may be deferred.
func TestWarmingNodeTakesNoNewObjectsAndNoCreditForWrites(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, h.now, EndpointReady)
	h.listNode("a1", 1, 0, EndpointReady)
	h.node("a1").UnitsInFlight = 100 // busy, so that the warming node would finish first
	object := h.submit(2, "read", -1, 1)
	h.advance(Millisecond)
	expectEqual(t, h, "node of the new object", object.Node.Addr, "a1")
	for _, write := range []bool{true, false} {
		h.advanceInSteps(1100 * Millisecond) // refills the slow-start bucket
		request := h.submit(1, "read", 0, 1)
		request.Write = write
		h.advance(Millisecond)
		h.finish(h.inFlight[len(h.inFlight)-1], OutcomeServed)
		expectEqual(t, h, "the answer counts", len(h.node("a0").SlowStartAnswered) > 0, !write)
	}
}

// Until an allocation expires, nothing beyond it is sent to a warming node. The unused part is returned, and an
// allocation for another start of the node is ignored.
func TestAllocationIsAllThatAWarmingNodeIsSent(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	startedAt := h.now
	h.listNode("a0", 0, startedAt, EndpointReady)
	expiresAt := h.now + 500*Millisecond
	allocate := func(startedAt Time, units float64) float64 {
		return h.scheduler.AllocateSlowStart(h.now, "a0", startedAt, units, expiresAt)
	}
	expectEqual(t, h, "remaining units at first", allocate(startedAt, 3), 0.0)
	expectEqual(t, h, "remaining units for another start", allocate(startedAt-1, 8), 0.0)
	first, second := h.submit(1, "read", 0, 2), h.submit(1, "read", 0, 2)
	h.advance(Millisecond)
	expectEqual(t, h, "state within the allocation", first.State, RequestInFlight)
	expectEqual(t, h, "latest time to reach the node", first.Attempts[0].SendBefore, expiresAt)
	expectEqual(t, h, "state beyond the allocation", second.State, RequestQueued)
	expectEqual(t, h, "remaining units", allocate(startedAt, 2), 1.0)
	h.advance(Millisecond)
	expectEqual(t, h, "state with another allocation", second.State, RequestInFlight)
}

func TestSlowStartDemandsAreWhatWaitsAtWarmingNodes(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, h.now, EndpointReady)
	h.listNode("a2", 2, h.now, EndpointDraining)
	h.listWarmNode()
	h.scheduler.AllocateSlowStart(h.now, "a0", h.now, 0, h.now+Second) // so that all requests wait
	h.submit(1, "read", 0, 3)                                          // weight 3
	h.submit(2, "read", 0, 1)                                          // weight 1
	h.advance(Millisecond)
	demands, rate := h.scheduler.SlowStartDemands(h.now)
	expectEqual(t, h, "nodes", len(demands), 1)
	want := SlowStartDemand{Addr: "a0", StartedAt: Second, Units: 4, SmallestRequest: 1, PriorityWeight: 3}
	expectEqual(t, h, "demand", demands[0], want)
	expectEqual(t, h, "rate", rate, float64(warmUnitsPerSecond))
	h.node("a1").BaseLatency = float64(20 * Millisecond) // a mean request of two units in 20 ms
	_, rate = h.scheduler.SlowStartDemands(h.now)
	expectEqual(t, h, "rate by the base latency", rate, 100.0)
}
