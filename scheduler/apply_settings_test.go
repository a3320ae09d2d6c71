package scheduler

import "testing"

// Each specified effect of a settings change is covered by one case.
func TestApplySettings(t *testing.T) {
	for _, c := range []struct {
		name string
		test func(t *testing.T)
	}{
		{"a rate limit below present use reduces the accumulated level", checkLowerRateLimit},
		{"a rate limit where there was none starts empty", checkNewRateLimit},
		{"a reserve is lowered at once, and the nominal rate replaces a missing one", checkLowerReserve},
		{"requests in flight keep the strictest idempotency", checkChangedIdempotency},
		{"two dedup scopes that differ are non-idempotent", checkStricterClass},
		{"a service level that is left out is not served until it is back", checkRemovedServiceLevel},
		{"a class that becomes ordered waits for earlier requests", checkNewlyOrderedClass},
		{"a longer retry window leaves no budget until it has passed", checkLongerRetryWindow},
	} {
		t.Run(c.name, c.test)
	}
}

// newHarnessWithNode returns a harness whose endpoint list names one node.
func newHarnessWithNode(overrides ...string) *harness {
	h := newHarness(1, testSettings(overrides...))
	h.listNode("a0", 0, 0, EndpointReady)
	return h
}

func checkLowerRateLimit(t *testing.T) {
	h := newHarnessWithNode("plans.0.limit=60", "plans.0.burst=64") // half of it for each of two gateways
	volume := h.submit(2, "read", 0, 8).Volume
	h.rateLimits[volume] = &TokenBucket{Rate: 30, Capacity: 32, UpdatedAt: h.startedAt}
	h.advanceInSteps(2 * Second)
	lower := map[string]string{"plans.0.limit": "8", "plans.0.burst": "8"}
	h.scheduler.ApplySettings(h.now, settingsWith(h.settings, lower))
	expectEqual(t, h, "accumulated level fits the new capacity", volume.RateLimit.Level <= 4, true)
	h.rateLimits[volume].resize(h.now, 4, 4)
	sent := 0.0
	for range 100 {
		h.submit(2, "read", 0, 2)
		h.advance(50 * Millisecond)
		for _, attempt := range h.dispatched {
			sent += attempt.Request.Units
		}
		h.finishAll(OutcomeServed)
	}
	expectEqual(t, h, "units sent in five seconds are 16 to 24", sent >= 16 && sent <= 24, true)
}

func checkNewRateLimit(t *testing.T) {
	h := newHarnessWithNode("plans.0.limit=0")
	request := h.submit(2, "read", 0, 8)
	h.advance(Millisecond)
	h.finish(h.inFlight[0], OutcomeServed)
	h.scheduler.ApplySettings(h.now, testSettings())
	expectEqual(t, h, "level of the new limit", request.Volume.RateLimit.Level, 0.0)
	h.scheduler.ApplySettings(h.now, testSettings("plans.0.limit=0"))
	late := h.submit(2, "read", 0, 8)
	h.advance(Millisecond)
	expectEqual(t, h, "state once the limit is removed", late.State, RequestInFlight)
}

func checkLowerReserve(t *testing.T) {
	h := newHarnessWithNode("plans.0.limit=0")
	volume := h.submit(1, "read", 0, 2).Volume
	h.scheduler.ApplySettings(h.now, testSettings("plans.1.reserve=4"))
	expectEqual(t, h, "rate", volume.Reserve.Rate, 2.0)
	expectEqual(t, h, "level within the capacity", volume.Reserve.Level <= volume.Reserve.Capacity, true)
	h.scheduler.ApplySettings(h.now, testSettings("plans.1.reserve=0", "plans.1.rate=3"))
	expectEqual(t, h, "rate in place of a reserve", volume.Reserve.Rate, 3.0)
}

func checkChangedIdempotency(t *testing.T) {
	for _, c := range []struct {
		class, setting string
		attempts       int
	}{
		{"read", "products.0.kind=single-use", 1},
		{"once", "products.1.kind=replayable", 1},
		{"read", "products.0.goal=199", 2},
	} {
		h := newHarnessWithNode("plans.0.limit=0")
		request := h.submit(2, c.class, 0, 1)
		h.advance(Millisecond)
		h.scheduler.ApplySettings(h.now, testSettings("plans.0.limit=0", c.setting))
		h.finish(h.inFlight[0], OutcomeError)
		h.advance(Millisecond)
		expectEqual(t, h, c.setting+", attempts", len(request.Attempts), c.attempts)
	}
}

func checkStricterClass(t *testing.T) {
	zone := &RequestClass{Idempotency: IdempotencyKeyed, DedupScope: DedupSameZone, DedupWindow: 5}
	shard := &RequestClass{Idempotency: IdempotencyKeyed, DedupScope: DedupSameShard, DedupWindow: 7}
	all := &RequestClass{Idempotency: IdempotencyKeyed, DedupWindow: 9}
	idempotent := &RequestClass{}
	for _, c := range []struct {
		earlier, later *RequestClass
		want           RequestClass
	}{
		{zone, shard, RequestClass{Idempotency: NonIdempotent, DedupScope: DedupSameShard, DedupWindow: 5}},
		{idempotent, shard, *shard},
		{all, idempotent, *all},
		{zone, zone, *zone},
	} {
		if got := stricterClass(c.earlier, c.later); *got != c.want {
			t.Errorf("stricterClass(%+v, %+v) = %+v, which is not the expected class", c.earlier, c.later, got)
		}
	}
}

func checkRemovedServiceLevel(t *testing.T) {
	h := newHarnessWithNode("plans.0.limit=0")
	sent := h.submit(2, "read", 0, 1)
	h.advance(Millisecond)
	h.node("a0").EjectedUntil = h.now + Second
	queued := h.submit(2, "read", 0, 1)
	unplaced := h.submit(2, "read", 2, 1)
	h.advance(Millisecond)
	h.scheduler.ApplySettings(h.now, testSettings("plans.0.name=iron"))
	late := h.submit(2, "read", 0, 1)
	h.advance(0)
	for _, request := range []*Request{queued, unplaced, late} {
		expectEqual(t, h, "state of a waiting request", request.State, RequestRejected)
	}
	expectEqual(t, h, "state of the request in flight", sent.State, RequestInFlight)
	h.finish(h.inFlight[0], OutcomeServed)
	expectEqual(t, h, "its state after the answer", sent.State, RequestSucceeded)
	h.scheduler.ApplySettings(h.now, testSettings("plans.0.limit=0"))
	h.node("a0").EjectedUntil = 0
	back := h.submit(2, "read", 0, 1)
	h.advance(Millisecond)
	expectEqual(t, h, "state once the level is back", back.State, RequestInFlight)
	expectEqual(t, h, "its volume is the same", back.Volume == sent.Volume, true)
}

func checkNewlyOrderedClass(t *testing.T) {
	h := newHarnessWithNode("plans.0.limit=0")
	first := h.submit(3, "read", 0, 1) // key 0
	h.advance(Millisecond)
	h.scheduler.ApplySettings(h.now, testSettings("plans.0.limit=0", "products.0.in_turn=true"))
	later, other := h.submit(3, "read", 0, 1), h.submit(4, "read", 0, 1)
	h.advance(Millisecond)
	expectEqual(t, h, "state behind a request that may still be running", later.State, RequestUnplaced)
	expectEqual(t, h, "state of a request with another key", other.State, RequestInFlight)
	expectEqual(t, h, "state of the first request", first.State, RequestInFlight)
}

func checkLongerRetryWindow(t *testing.T) {
	h := newHarnessWithNode("plans.0.limit=0", "further.window=100")
	h.scheduler.ApplySettings(h.now, testSettings("plans.0.limit=0"))
	attempts := func() int {
		request := h.submit(2, "read", 0, 1)
		h.advance(Millisecond)
		h.finish(h.inFlight[0], OutcomeError)
		h.advance(Millisecond)
		return len(request.Attempts)
	}
	expectEqual(t, h, "attempts while earlier retries are unknown", attempts(), 1)
	h.advanceInSteps(1100 * Millisecond)
	expectEqual(t, h, "attempts after a full window", attempts(), 2)
}
