package agent

import "irispost/scheduler"

// reservationState is the state of this gateway's exchange with the allocator of a node. Only reservation.setState
// changes it.
type reservationState uint8

const (
	stateNoAllocator reservationState = iota // no allocator responds: the scheduler's own rules apply
	stateRequesting                          // like stateNoAllocator, with a request in flight
	stateAllocated                           // no more than the allocated units may be sent
	stateRenewing                            // like stateAllocated, with a request in flight
)

// reservation tracks the allocations of one node's allocator to this gateway. The agent's mutex guards it.
type reservation struct {
	state          reservationState
	startedAt      scheduler.Time // identifies the start of the node that it is for
	seq            uint64         // of the latest request
	backoff        scheduler.Time // after the latest failed request; doubles with each failure
	nextRequestAt  scheduler.Time // earliest time of the next request
	expiresAt      scheduler.Time // end of the latest allocation, or of the suspension that follows it
	reachableUntil scheduler.Time // the allocator counts as reachable until then
}

// suspension tells the loop to send nothing to a node until the given time.
type suspension struct {
	node             string
	startedAt, until scheduler.Time
}

func (r *reservation) setState(state reservationState) { r.state = state }

// canRequest reports whether the next request may be made now.
func (r *reservation) canRequest(now scheduler.Time) bool {
	inFlight := r.state == stateRequesting || r.state == stateRenewing
	return !inFlight && now >= r.nextRequestAt
}

// beginRequest records that a request is in flight, and numbers it.
func (r *reservation) beginRequest() {
	if r.state == stateAllocated {
		r.setState(stateRenewing)
	} else {
		r.setState(stateRequesting)
	}
	r.seq++
}

// failed records that the latest request failed. The next one waits for a backoff, which doubles up to a maximum. Its
// second half is spread by the request's sequence number.
func (r *reservation) failed(now, allocationTime scheduler.Time) {
	r.setState(stateNoAllocator)
	r.backoff = min(max(2*r.backoff, allocationTime/2), maxBackoffMultiple*allocationTime)
	spread := scheduler.Time(r.seq % uint64(r.backoff/2))
	r.nextRequestAt = now + r.backoff/2 + spread
}

// succeeded records an allocation that is valid until the given time.
func (r *reservation) succeeded(now, until, allocationTime scheduler.Time) {
	r.backoff = 0
	r.expiresAt = until
	r.reachableUntil = now + reachableMultiple*allocationTime
	r.setState(stateAllocated)
}
