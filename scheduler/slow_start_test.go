package scheduler

import (
	"fmt"
	"slices"
	"testing"
)

// A warming node is sent more only as it answers, and a new start voids what it answered before.
func TestWarmingNodeIsSentMoreOnlyAsItAnswers(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, h.now, EndpointReady)
	node := h.node("a0")
	burst := func() (sent int) {
		node.AnsweredUnits = 1e3 // so that the limit in flight is wide
		for range 20 {
			h.submit(1, "read", 0, 1)
		}
		h.advance(Millisecond)
		return len(h.dispatched)
	}
	if sent := burst(); sent > 1 {
		t.Errorf("%d requests at first", sent)
	}
	h.finishAll(OutcomeServed)
	h.advanceInSteps(1100 * Millisecond)
	node.Measured = true
	node.BusySeconds = 1
	node.SlowStartAnswered = UnitWindow{{h.now, 10}}
	if sent := burst(); sent < 10 || sent > 11 { // 10 answered, times 2, times the part used, and one by chance
		t.Errorf("%d requests after ten answers", sent)
	}
	h.finishAll(OutcomeServed)
	h.advanceInSteps(1100 * Millisecond)
	node.SlowStartAnswered = UnitWindow{{h.now, 10}}
	h.listNode("a0", 0, h.now, EndpointReady)
	if sent := burst(); sent > 1 {
		t.Errorf("%d requests after a new start", sent)
	}
}

// warmUnitsPerSecond is what the nodes of the tests with many gateways do when they are warm.
const warmUnitsPerSecond = 60

// warmingUnitsPerSecond is what such a node does a time after its start: a fifth at first, all after ten seconds.
func warmingUnitsPerSecond(age Time) float64 {
	return warmUnitsPerSecond * (0.2 + 0.8*float64(age)/float64(10*Second))
}

// manyGateways is gateways, without agreement among them, whose one node starts anew.
type manyGateways struct {
	gateways, volumes, gatewaysPerVolume int
	submitted                            float64 // units a second
	leastUnits                           float64 // sent in four seconds from the start
	mostShare                            float64 // of the budget, in any second
}

// However many gateways there are, what they send a warming node stays within its slow-start budget, and is not nothing:
// requests of one volume through all of them, or of many volumes within their service levels, seldom each, or more.
func TestManyGatewaysStayWithinTheSlowStartBudget(t *testing.T) {
	for _, c := range []manyGateways{
		{2, 1, 2, 600, 30, 0.4},
		{80, 1, 80, 600, 30, 0.55},
		{300, 1, 300, 600, 30, 0.6},
		{60, 12, 2, 36, 40, 0.5},
		{60, 12, 2, 72, 60, 0.8},
		{60, 12, 2, 144, 80, 0.9},
	} {
		units, share := c.play()
		t.Logf("%+v: %.0f units, at most %.0f%% of the slow-start budget", c, units, 100*share)
		if share > c.mostShare || units < c.leastUnits {
			t.Errorf("%+v: %g units in four seconds, at most %.0f%% of the slow-start budget", c, units, 100*share)
		}
	}
}

// start makes the gateways, each of which knows the rate of a warm node.
func (c manyGateways) start() (harnesses []*harness) {
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

// listWarmNode has the list name a second node whose rate is known.
func (h *harness) listWarmNode() {
	h.listNode("a1", 1, 0, EndpointReady)
	node := h.node("a1")
	node.Measured = true
	node.AnsweredUnits = warmUnitsPerSecond
	node.BusySeconds = 1
}

// play runs the gateways for five seconds, the last four from the node's start; the node takes one request after
// the other. It returns the units sent in these four, and the most in any second as a share of its slow-start
// budget.
func (c manyGateways) play() (units, mostShare float64) {
	harnesses := c.start()
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
			mostShare = max(mostShare, sent.since(harnesses[0].now-Second)/2/rate)
		}
	}
	return units, mostShare
}

// submit submits the requests of 10 ms, of two units each. They are writes, whose answers do not count, since a
// node may put off part of their work.
func (c manyGateways) submit(harnesses []*harness, random *pcg32) {
	for expected := c.submitted / 200; expected > 0; expected-- {
		volume := int(random.uint32()) % c.volumes
		if random.float64() < expected {
			gateway := volume*5 + int(random.uint32())%c.gatewaysPerVolume
			harnesses[gateway%len(harnesses)].submit(int64(volume+1), "read", 0, 2).Write = true
		}
	}
}

// A warming node keeps its slow-start budget for requests that no other node can serve. Answered writes, part of
// whose work may be put off, do not let it have more.
func TestWarmingNodeTakesNoNewObjectsAndNoCreditForWrites(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, h.now, EndpointReady)
	h.listNode("a1", 1, 0, EndpointReady)
	h.node("a1").UnitsInFlight = 100 // busy, so that the warming node would be through first
	object := h.submit(2, "read", -1, 1)
	h.advance(Millisecond)
	expectEqual(t, h, "a new object's node", object.Node.Addr, "a1")
	for _, write := range []bool{true, false} {
		h.advanceInSteps(1100 * Millisecond) // so that its part is saved up
		request := h.submit(1, "read", 0, 1)
		request.Write = write
		h.advance(Millisecond)
		h.finish(h.inFlight[len(h.inFlight)-1], OutcomeServed)
		expectEqual(t, h, "answers that count", len(h.node("a0").SlowStartAnswered) > 0, !write)
	}
}

// An allocation is all that a warming node is sent until it expires; what is left of it is returned, and one for
// another start is dropped.
func TestAllocationIsAllThatAWarmingNodeIsSent(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	startedAt := h.now
	h.listNode("a0", 0, startedAt, EndpointReady)
	expiresAt := h.now + 500*Millisecond
	allocate := func(startedAt Time, units float64) float64 {
		return h.scheduler.AllocateSlowStart(h.now, "a0", startedAt, units, expiresAt)
	}
	expectEqual(t, h, "left at first", allocate(startedAt, 3), 0.0)
	expectEqual(t, h, "left for another start", allocate(startedAt-1, 8), 0.0)
	first, second := h.submit(1, "read", 0, 2), h.submit(1, "read", 0, 2)
	h.advance(Millisecond)
	expectEqual(t, h, "within the allocation", first.State, RequestInFlight)
	expectEqual(t, h, "not to be sent after", first.Attempts[0].SendBefore, expiresAt)
	expectEqual(t, h, "beyond it", second.State, RequestQueued)
	expectEqual(t, h, "left", allocate(startedAt, 2), 1.0)
	h.advance(Millisecond)
	expectEqual(t, h, "with another allocation", second.State, RequestInFlight)
}

func TestSlowStartDemandsAreWhatWaitsAtWarmingNodes(t *testing.T) {
	h := newHarness(1, testSettings("plans.0.limit=0"))
	h.listNode("a0", 0, h.now, EndpointReady)
	h.listNode("a2", 2, h.now, EndpointDraining)
	h.listWarmNode()
	h.scheduler.AllocateSlowStart(h.now, "a0", h.now, 0, h.now+Second) // so that all waits
	h.submit(1, "read", 0, 3)                                          // weight 3
	h.submit(2, "read", 0, 1)                                          // weight 1
	h.advance(Millisecond)
	demands, rate := h.scheduler.SlowStartDemands(h.now)
	expectEqual(t, h, "nodes", len(demands), 1)
	want := SlowStartDemand{Addr: "a0", StartedAt: Second, Units: 4, SmallestRequest: 1, PriorityWeight: 3}
	expectEqual(t, h, "demand", demands[0], want)
	expectEqual(t, h, "rate", rate, float64(warmUnitsPerSecond))
	h.node("a1").BaseLatency = float64(20 * Millisecond) // two units in 20 ms
	_, rate = h.scheduler.SlowStartDemands(h.now)
	expectEqual(t, h, "rate by the base latency", rate, 100.0)
}
