package budget

import (
	"cmp"
	"slices"
)

// Allocator has one node's budget. Its units are available, outstanding at holders, or used up.
type Allocator struct {
	settings    Settings
	faults      InjectedFaults
	startedAt   Time    // when the node started, on this clock; it may lie before 0
	available   float64 // units that can be allocated now
	outstanding float64 // units that holders may still send
	updatedAt   Time    // up to when units have flowed in
	rate        float64 // units a second of a warmed up node
	holders     map[string]*holder
}

// holder is a gateway as the allocator knows it.
type holder struct {
	seq         uint64   // of its latest request
	units       float64  // allocated, and neither returned nor expired
	expiresAt   Time     // when that has expired at the holder for certain
	allocatedAt Time     // the latest allocation; 0: none
	pending     *Request // waits for an allocation; nil: none does
}

// NewAllocator makes the allocator of a node that started the given time ago. Nothing is available at first:
// another allocator may have allocated all a moment before.
func NewAllocator(now Time, settings Settings, age Time, rate float64, faults InjectedFaults) *Allocator {
	a := &Allocator{
		settings: settings, faults: faults, startedAt: now - age, updatedAt: now, rate: rate,
		holders: map[string]*holder{},
	}
	if faults.Has(FaultFullStart) {
		a.available, _ = settings.limits(age, rate)
	}
	return a
}

// SetRate sets the rate of a warmed up node, in units a second, as far as it is known now.
func (a *Allocator) SetRate(now Time, rate float64) {
	a.update(now)
	a.rate = rate
}

// NodeRestarted notes that the node started again the given time ago. What is outstanding stays so: its holders
// may not know of the restart yet.
func (a *Allocator) NodeRestarted(now, age Time) {
	a.update(now)
	a.available, a.startedAt = 0, now-age
}

// WarmedUp tells whether the node needs no allocator any more.
func (a *Allocator) WarmedUp(now Time) bool { return now-a.startedAt >= a.settings.WarmupTime }

// update brings the allocator up to a time: what has expired is used up, and what flows in is available as far
// as the limit allows.
func (a *Allocator) update(now Time) {
	for _, h := range a.holders {
		if h.units > 0 && now > h.expiresAt {
			a.outstanding -= h.units
			h.units = 0
		}
	}
	maxUnits, unitsPerSecond := a.settings.limits(now-a.startedAt, a.rate)
	if elapsed := now - a.updatedAt; elapsed > 0 {
		a.available += unitsPerSecond * float64(elapsed) / float64(second)
		a.updatedAt = now
	}
	maxAvailable := maxUnits - a.outstanding
	if a.faults.Has(FaultIgnoreOutstanding) {
		maxAvailable = maxUnits
	}
	a.available = max(min(a.available, maxAvailable), 0)
}

// HandleRequest takes a holder's request, which waits for Allocate in place of its earlier one. It is false if
// the request is not later than those that came already, or states amounts that cannot be.
func (a *Allocator) HandleRequest(now Time, request *Request) bool {
	a.update(now)
	h := a.holders[request.Holder]
	if h == nil {
		h = &holder{}
		a.holders[request.Holder] = h
	}
	if request.Seq <= h.seq && !a.faults.Has(FaultAcceptDuplicates) || !request.isValid() {
		return false
	}
	h.seq, h.pending = request.Seq, request
	returned := min(request.Returned, h.units) // what has expired meanwhile counts as used
	if a.faults.Has(FaultTrustReturned) {
		returned = request.Returned
	}
	if h.units > 0 { // what the holder has not returned, it has used
		a.outstanding -= h.units
		h.units = 0
	}
	a.available += returned
	a.update(now)
	return true
}

// Allocate serves the pending requests, by priority weight, then by who had an allocation longest ago. A request
// that cannot be served waits on.
func (a *Allocator) Allocate(now Time) (allocations []Allocation) {
	a.update(now)
	for _, h := range a.pendingHolders() {
		request := h.pending
		if request.Demand <= 0 {
			h.pending = nil
			allocations = append(allocations, Allocation{Holder: request.Holder, Seq: request.Seq})
			continue
		}
		units := min(request.Demand, a.available)
		if units < request.SmallestRequest || units <= 0 {
			continue // it may still be enough for another holder's
		}
		a.reserve(now, h, units)
		allocations = append(allocations, Allocation{Holder: request.Holder, Seq: request.Seq, Units: units})
	}
	return allocations
}

// pendingHolders are those whose requests wait, in the order in which they are served.
func (a *Allocator) pendingHolders() (pending []*holder) {
	for _, h := range a.holders {
		if h.pending != nil {
			pending = append(pending, h)
		}
	}
	slices.SortFunc(pending, func(x, y *holder) int {
		return cmp.Or(
			-cmp.Compare(x.pending.PriorityWeight, y.pending.PriorityWeight),
			cmp.Compare(x.allocatedAt, y.allocatedAt),
			cmp.Compare(x.pending.Holder, y.pending.Holder),
		)
	})
	return pending
}

// reserve moves units from available to outstanding at a holder, whose request is then served.
func (a *Allocator) reserve(now Time, h *holder, units float64) {
	a.available -= units
	a.outstanding += units
	h.units = units
	h.expiresAt = now + a.settings.outstandingTime()
	if a.faults.Has(FaultEarlyExpiry) {
		h.expiresAt = now + a.settings.AllocationTime/2
	}
	h.allocatedAt = now
	h.pending = nil
}

// Usage is how many units are available and how many outstanding.
func (a *Allocator) Usage(now Time) (available, outstanding float64) {
	a.update(now)
	return a.available, a.outstanding
}

// CancelRequest notes that a holder does not wait for its request any more. What was allocated to it stays
// outstanding.
func (a *Allocator) CancelRequest(holderID string) {
	if h := a.holders[holderID]; h != nil {
		h.pending = nil
	}
}

// RemoveIdle removes holders with no request and nothing outstanding whose latest allocation is longer ago than
// the given time.
func (a *Allocator) RemoveIdle(now, after Time) {
	for id, h := range a.holders {
		if h.pending == nil && h.units == 0 && now-h.allocatedAt > after {
			delete(a.holders, id)
		}
	}
}
