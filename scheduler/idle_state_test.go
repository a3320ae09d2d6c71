package scheduler

import (
	"fmt"
	"testing"
)

// newIdleStateHarness returns a harness with a gateway of one node that answers everything and is not warming up.
func newIdleStateHarness(overrides ...string) *harness {
	h := newHarness(1, testSettings(overrides...))
	h.now = 100 * Second
	h.listNode("a", 0, 0, EndpointReady)
	return h
}

// serve submits a read of a volume and answers it. It returns the request.
func (h *harness) serve(volume int64, level string, units float64) *Request {
	request := &Request{ID: fmt.Sprint("r", volume, ".", h.now), Units: units, Deadline: h.now + 600*Millisecond}
	h.scheduler.Submit(h.now, request, volume, level, "read", 1, false)
	for range 100 {
		for _, attempt := range h.scheduler.Decide(h.now).Dispatch {
			h.now += Millisecond
			h.scheduler.AttemptFinished(h.now, attempt.Request.ID, attempt.Number, OutcomeServed, Millisecond, true, 0)
		}
		if request.State.Terminal() {
			break
		}
		h.now += 10 * Millisecond
	}
	return request
}

// TestManyVolumesUseBoundedState guards against memory and time per request that grow with the number of volumes seen:
// a client that used ever new volumes slowed the gateway down more than tenfold within minutes.
func TestManyVolumesUseBoundedState(t *testing.T) {
	h := newIdleStateHarness()
	s := h.scheduler
	served := 0
	for volume := range int64(4 * maxVolumes) {
		level := []string{"basic", "gold"}[volume%2]
		if h.serve(volume, level, 1).State == RequestSucceeded {
			served++
		}
		if len(s.volumes) > 2*maxVolumes || len(h.node("a").Flows) > 2*maxFlowsPerNode {
			t.Fatalf("after %d volumes: state of %d volumes and %d flows", volume+1, len(s.volumes), len(h.node("a").Flows))
		}
	}
	if served < 4*maxVolumes*99/100 {
		t.Errorf("%d of %d requests were served", served, 4*maxVolumes)
	}
	if flows, indexed := len(h.node("a").Flows), len(h.node("a").flowsByVolume); flows != indexed {
		t.Errorf("%d flows, %d of them indexed", flows, indexed)
	}
}

// TestArrivalsOfRetryBudgetAreBounded guards against memory that grows with each request where nothing is retried: the
// arrivals were dropped only when a retry was considered.
func TestArrivalsOfRetryBudgetAreBounded(t *testing.T) {
	h := newIdleStateHarness()
	const perWindow = 1000 // requests take 1 ms, and the window of testSettings is 1 s
	for range 5 * perWindow {
		h.serve(1, "gold", 0.01)
	}
	if n := len(h.scheduler.recentArrivals); n > 2*perWindow {
		t.Errorf("%d arrivals are kept, want those of the last second", n)
	}
}

// TestVolumeThatOwesIsRemembered: a volume that has used up its rate limit is not forgotten, however many others are
// used meanwhile; one that owes nothing is.
func TestVolumeThatOwesIsRemembered(t *testing.T) {
	h := newIdleStateHarness("plans.0.limit=1", "plans.0.burst=8", "products.0.patience=600")
	for range 4 {
		h.serve(1, "basic", 2)
	}
	spent := h.scheduler.volumes[1]
	h.serve(2, "gold", 1)
	start := h.now
	for volume := int64(10); h.now < start+7*Second; volume++ {
		h.serve(volume, "gold", 1)
	}
	if h.scheduler.volumes[1] != spent {
		t.Error("a volume was forgotten before its rate limit had refilled")
	}
	if h.scheduler.volumes[2] != nil {
		t.Error("a volume that owes nothing is still remembered")
	}
}

// TestFlowInDebtIsRemembered: a flow that is ahead of its node's virtual time keeps its place in fair queuing.
func TestFlowInDebtIsRemembered(t *testing.T) {
	h := newIdleStateHarness()
	s, n := h.scheduler, h.node("a")
	inDebt := s.flow(n, s.volume(1, "gold", 1))
	inDebt.VirtualStart = n.VirtualTime + 1e9
	settled := s.flow(n, s.volume(2, "gold", 1))
	for volume := int64(10); volume < 10+2*maxFlowsPerNode; volume++ {
		s.flow(n, s.volume(volume, "gold", 1))
	}
	if n.flowsByVolume[s.volumes[1]] != inDebt {
		t.Error("a flow in debt was forgotten")
	}
	if n.flowsByVolume[s.volumes[2]] == settled {
		t.Error("a flow without debt is still remembered")
	}
}
