package scheduler

import "testing"

// After a failed call, the list is requested again soon, since nodes may be draining. While calls keep failing, the
// interval grows so that the gateways do not all call at once. Three calls must still fit into the time after which
// the list is outdated. Receiving a list resets the backoff.
func TestListBackoffBeginsShortAndDoubles(t *testing.T) {
	h := newHarness(1, testSettings("discovery=ask"))
	nextCall := func() Time {
		failedAt := h.now
		h.scheduler.EndpointListFailed(h.now, false)
		for ; h.now < failedAt+60*Second; h.now += 10 * Millisecond {
			if h.scheduler.Decide(h.now).WatchEndpoints {
				break
			}
		}
		return h.now - failedAt
	}
	h.scheduler.Decide(h.now)
	first := nextCall()
	expectEqual(t, h, "first backoff is short", first <= 500*Millisecond, true)
	longest, sum := Time(0), Time(0)
	for range 40 {
		backoff := nextCall()
		longest = max(longest, backoff)
		sum += backoff
	}
	expectEqual(t, h, "later backoffs are long", sum >= 40*listBackoffMax*3/4, true)
	expectEqual(t, h, "longest backoff is within its limit", longest <= listSilenceMax/4, true)
	h.listNode("a0", 0, 0, EndpointReady)
	expectEqual(t, h, "backoff is short again after a list", nextCall() <= 500*Millisecond, true)
}

// Once the list is outdated, a node may have drained or restarted. It is used only while it answers, and as a warming
// node. A call that failed with a response has no such effect.
func TestOutdatedListLimitsSendingToNodesThatAnswer(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		h := newHarness(1, testSettings("plans.0.limit=0", "drain.grace=2000"))
		h.listNode("a0", 0, 0, EndpointReady)
		h.listNode("a1", 1, 0, EndpointReady)
		h.scheduler.EndpointListFailed(h.now, unresponsive)
		sent := map[string]int{}
		for h.now < 30*Second {
			shard := []int{0, 0, 0, 1}[h.now/(40*Millisecond)%4] // also use the second node until the list is outdated
			if shard == 0 || h.now < 7*Second {
				h.submit(1, "read", shard, 1)
			}
			h.advance(40 * Millisecond)
			for _, attempt := range h.dispatched {
				if h.now > 11*Second {
					sent[attempt.Node.Addr]++
				}
			}
			h.finishAll(OutcomeServed)
		}
		late := h.submit(1, "read", 1, 1)
		h.advance(Millisecond)
		expectEqual(t, h, "sent to a node that has not answered recently", late.State == RequestInFlight, !unresponsive)
		expectEqual(t, h, "still sent to a node that answers", sent["a0"] > 100, true)
		// More than the duration of slow start has passed since the list was last received.
		expectEqual(t, h, "warming up at the end", h.scheduler.warmingUp(h.node("a0")), false)
		h.listNode("a2", 2, 0, EndpointReady)
		h.advance(Millisecond)
		expectEqual(t, h, "state once a list is received", late.State, RequestInFlight)
	}
}

func TestNodesCountAsWarmingUpOnceTheListIsOutdated(t *testing.T) {
	h := newHarness(1, testSettings("drain.grace=2000"))
	h.listNode("a0", 0, 0, EndpointReady)
	h.scheduler.EndpointListFailed(h.now, true)
	h.advanceInSteps(5 * Second)
	expectEqual(t, h, "warming up before the list is outdated", h.scheduler.warmingUp(h.node("a0")), false)
	h.advanceInSteps(Second)
	expectEqual(t, h, "warming up once it is outdated", h.scheduler.warmingUp(h.node("a0")), true)
}

// If its calls for the list fail, a gateway calls again well within the time after which the list is outdated.
func TestListIsPolledWithinTheTimeAfterWhichItIsOutdated(t *testing.T) {
	for _, c := range []struct {
		interval     string
		unresponsive bool
		longest      Time
	}{
		{"0", false, 1500 * Millisecond},
		{"0", true, 750 * Millisecond},
		{"3000", false, 1500 * Millisecond},
		{"3000", true, 750 * Millisecond},
		{"600", false, 900 * Millisecond},
	} {
		h := newHarness(1, testSettings("list.every="+c.interval))
		h.decide()
		worst := Time(0)
		for range 40 {
			failedAt := h.now
			h.scheduler.EndpointListFailed(h.now, c.unresponsive)
			h.advance(10 * Millisecond)
			for !h.scheduler.returned.WatchEndpoints {
				h.advance(10 * Millisecond)
			}
			worst = max(worst, h.now-failedAt)
		}
		if worst > c.longest+50*Millisecond || worst < c.longest/2 {
			t.Errorf("%+v: got a longest time to the next call of %d ms, want half to all of the case's longest, plus 50 ms",
				c, worst/Millisecond)
		}
	}
}

// A node missing from a complete list is removed; one missing from a list of changes is kept. Only an up-to-date list
// ends the calls for the list.
func TestCompleteListRemovesNodesThatItDoesNotName(t *testing.T) {
	h := newHarnessWithNode()
	for _, c := range []struct {
		complete, stale bool
		state           EndpointState
	}{
		{false, false, EndpointReady},
		{true, true, EndpointRemoved},
	} {
		h.scheduler.EndpointListFailed(h.now, false)
		h.scheduler.BeginEndpointList(h.now, c.complete, c.stale)
		h.scheduler.FinishEndpointList()
		expectEqual(t, h, "state", h.node("a0").State, c.state)
		expectEqual(t, h, "another call is due", h.scheduler.nextListCallAt > 0, c.stale)
	}
}
