package agent

import "irispost/scheduler"

// reservationState is how this gateway stands with the allocator of a node. Only reservation.setState changes
// it.
type reservationState uint8

const (
	stateNoAllocator reservationState = iota // no allocator is known to respond: the scheduler's own rules apply
	stateRequesting                          // as stateNoAllocator, and a request is in flight
	stateAllocated                           // what is allocated may be sent, and no more
	stateRenewing                            // as stateAllocated, and a request is in flight
)

// reservation is what the allocator of a node has allocated to this gateway. The agent's mutex guards it.
type reservation struct {
	state          reservationState
	startedAt      scheduler.Time // which start of the node it is for
	seq            uint64         // of the latest request
	backoff        scheduler.Time // after a request that failed; it doubles
	nextRequestAt  scheduler.Time // not before
	expiresAt      scheduler.Time // the latest allocation, or the suspension that follows it
	reachableUntil scheduler.Time // until then the allocator is taken to be reachable
}

// suspension has nothing be sent to a node until a time.
type suspension struct {
	node             string
	startedAt, until scheduler.Time
}

func (r *reservation) setState(state reservationState) { r.state = state }

// canRequest tells whether the next request may be made.
func (r *reservation) canRequest(now scheduler.Time) bool {
	inFlight := r.state == stateRequesting || r.state == stateRenewing
	return !inFlight && now >= r.nextRequestAt
}

// beginRequest notes that a request is in flight.
func (r *reservation) beginRequest() {
	if r.state == stateAllocated {
		r.setState(stateRenewing)
	} else {
		r.setState(stateRequesting)
	}
	r.seq++
}

// failed notes that the latest request failed. The next one waits for a backoff, which doubles up to a bound and
// is spread by the request's number.
func (r *reservation) failed(now, allocationTime scheduler.Time) {
	r.setState(stateNoAllocator)
	r.backoff = min(max(2*r.backoff, allocationTime/2), maxBackoffMultiple*allocationTime)
	spread := scheduler.Time(r.seq % uint64(r.backoff/2))
	r.nextRequestAt = now + r.backoff/2 + spread
}

// succeeded notes an allocation that is valid until a time.
func (r *reservation) succeeded(now, until, allocationTime scheduler.Time) {
	r.backoff = 0
	r.expiresAt = until
	r.reachableUntil = now + reachableMultiple*allocationTime
	r.setState(stateAllocated)
}
