package agent

import (
	"testing"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// TestExpiredAllocationIsSuspendedWhileAllocatorIsReachable: nothing waits, so no request is made, and nothing may be
// sent until there is an allocation again; once the allocator may be gone a request finds out.
func TestExpiredAllocationIsSuspendedWhileAllocatorIsReachable(t *testing.T) {
	const allocationTime = scheduler.Time(100)
	now := scheduler.Time(1000)
	a := newTestAgent(t, Options{
		Holder: "g", Now: func() scheduler.Time { return now }, Settings: budget.Settings{AllocationTime: allocationTime},
	})
	t.Cleanup(a.Close)
	r := &reservation{}
	r.succeeded(now, now+allocationTime, allocationTime)
	a.reservations[testNode] = r
	demands := []scheduler.SlowStartDemand{{Addr: testNode}}
	if got := a.poll(t.Context(), demands, 1); len(got) != 0 {
		t.Errorf("suspended before the allocation has expired: %+v", got)
	}
	now += allocationTime
	want := suspension{node: testNode, until: now + allocationTime}
	if got := a.poll(t.Context(), demands, 1); len(got) != 1 || got[0] != want {
		t.Errorf("suspensions are %+v, not %+v", got, want)
	}
	if got := a.poll(t.Context(), demands, 1); len(got) != 0 {
		t.Errorf("suspended twice: %+v", got)
	}
	now += reachableMultiple * allocationTime
	if got := a.poll(t.Context(), demands, 1); len(got) != 0 {
		t.Errorf("suspended although the allocator may be gone: %+v", got)
	}
}

// TestBackoffDoublesUpToItsBound: and the next request is made within the backoff, at half of it at the earliest.
func TestBackoffDoublesUpToItsBound(t *testing.T) {
	const allocationTime = scheduler.Time(100)
	r := &reservation{}
	for i, want := range []scheduler.Time{50, 100, 200, 400, 800, 1600, 1600} {
		r.beginRequest()
		r.failed(1000, allocationTime)
		if wait := r.nextRequestAt - 1000; r.backoff != want || wait < want/2 || wait >= want || r.state != stateNoAllocator {
			t.Errorf("failure %d: backoff %d, next request after %d, not %d", i+1, r.backoff, wait, want)
		}
	}
	r.succeeded(2000, 2100, allocationTime)
	if r.backoff != 0 || !r.canRequest(2000) {
		t.Errorf("backoff %d after a response", r.backoff)
	}
}
