package scheduler

import "testing"

// hedgedRequest returns a request for a new object that is in flight at two nodes.
func hedgedRequest(t *testing.T, h *harness) *Request {
	t.Helper()
	h.listNode("a0", 0, 0, EndpointReady)
	h.listNode("a1", 1, 0, EndpointReady)
	request := h.submit(2, "read", -1, 1)
	h.advance(Millisecond)
	request.Node.Suspected = true
	h.advance(110 * Millisecond)
	expectEqual(t, h, "attempts", len(request.Attempts), 2)
	return request
}

func TestResponseThatStartsCancelsTheOtherAttempts(t *testing.T) {
	for _, cancelling := range []string{"true", "false"} {
		h := newHarness(1, testSettings("plans.0.limit=0", "calling_off="+cancelling))
		request := hedgedRequest(t, h)
		h.scheduler.ResponseStarted(h.now, request.ID, 1)
		expectEqual(t, h, "state", request.State, RequestStreaming)
		expectEqual(t, h, "first attempt cancelled", request.Attempts[0].Cancelled, cancelling == "true")
		expectEqual(t, h, "second attempt cancelled", request.Attempts[1].Cancelled, false)
		h.finish(request.Attempts[1], OutcomeServed)
		expectEqual(t, h, "state after the answer", request.State, RequestSucceeded)
	}
}

func TestResponseThatBreaksOffFailsTheRequest(t *testing.T) {
	h := newHarnessWithNode("plans.0.limit=0")
	request := h.submit(2, "read", 0, 1)
	h.advance(Millisecond)
	h.scheduler.ResponseStarted(h.now, request.ID, 0)
	h.finished[request] = true // its client sees the response break off
	h.finish(request.Attempts[0], OutcomeReset)
	expectEqual(t, h, "state", request.State, RequestFailed)
}

func TestEventsOfUnknownAttemptsAreIgnored(t *testing.T) {
	h := newHarnessWithNode("plans.0.limit=0")
	request := h.submit(2, "read", 0, 1)
	h.advance(Millisecond)
	for _, number := range []int{-1, 1} {
		h.scheduler.ResponseStarted(h.now, request.ID, number)
		h.scheduler.AttemptFinished(h.now, request.ID, number, OutcomeServed, Millisecond, true, 0)
	}
	h.scheduler.AttemptFinished(h.now, request.ID, 0, OutcomePending, Millisecond, true, 0)
	h.scheduler.AttemptFinished(h.now, "unknown", 0, OutcomeServed, Millisecond, true, 0)
	h.scheduler.ResponseStarted(h.now, "unknown", 0)
	h.scheduler.ClientCancelled(h.now, "unknown")
	expectEqual(t, h, "state", request.State, RequestInFlight)
	expectEqual(t, h, "attempts in flight at its node", h.node("a0").AttemptsInFlight, 1)
}

func TestUnknownClassAndServiceLevelAreNonIdempotentAndOfWeightOne(t *testing.T) {
	h := newHarnessWithNode()
	request := &Request{ID: "r", Units: 1, Deadline: h.now + 400*Millisecond}
	h.scheduler.Submit(h.now, request, 9, "unknown", "unknown", 2, false)
	expectEqual(t, h, "idempotency", request.Class.Idempotency, NonIdempotent)
	expectEqual(t, h, "objective", request.Class.LatencyObjective, 400*Millisecond)
	expectEqual(t, h, "weight", request.Volume.ServiceLevel.Weight, 1.0)
	h.decide()
	expectEqual(t, h, "state", request.State, RequestInFlight)
}
