package agent

import (
	"testing"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// TestExpiredAllocationIsSuspendedWhileAllocatorIsReachable: if an allocation expires while nothing waits, no request
// is made, and nothing may be sent until there is an allocation again. Once the allocator may be gone, a request checks
// whether it still responds, and there is no further suspension.
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
		t.Errorf("got suspensions %+v before the allocation has expired, want none", got)
	}
	now += allocationTime
	want := suspension{node: testNode, until: now + allocationTime}
	if got := a.poll(t.Context(), demands, 1); len(got) != 1 || got[0] != want {
		t.Errorf("got suspensions %+v, want only %+v", got, want)
	}
	if got := a.poll(t.Context(), demands, 1); len(got) != 0 {
		t.Errorf("got suspensions %+v at the next poll, want none", got)
	}
	now += reachableMultiple * allocationTime
	if got := a.poll(t.Context(), demands, 1); len(got) != 0 {
		t.Errorf("got suspensions %+v although the allocator may be gone, want none", got)
	}
}

// TestBackoffDoublesUpToItsBound: the backoff doubles with each failure up to a maximum, and the next request is made
// in its second half.
func TestBackoffDoublesUpToItsBound(t *testing.T) {
	const allocationTime = scheduler.Time(100)
	r := &reservation{}
	for i, want := range []scheduler.Time{50, 100, 200, 400, 800, 1600, 1600} {
		r.beginRequest()
		r.failed(1000, allocationTime)
		if wait := r.nextRequestAt - 1000; r.backoff != want || wait < want/2 || wait >= want || r.state != stateNoAllocator {
			t.Errorf("failure %d: got backoff %d, next request after %d; want backoff %d, request in its second half, stateNoAllocator",
				i+1, r.backoff, wait, want)
		}
	}
	r.succeeded(2000, 2100, allocationTime)
	if r.backoff != 0 || !r.canRequest(2000) {
		t.Errorf("got backoff %d after a response, want 0 and a request allowed at once", r.backoff)
	}
}
