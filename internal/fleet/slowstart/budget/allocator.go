package budget

import (
	"cmp"
	"slices"
)

// Allocator holds the budget of one node. Each unit is available, outstanding at a holder, or used.
type Allocator struct {
	settings    Settings
	faults      InjectedFaults
	startedAt   Time    // when the node started, on this clock; can be negative
	available   float64 // units that can be allocated now
	outstanding float64 // units that holders may still send
	updatedAt   Time    // time up to which new units have been added to available
	rate        float64 // of a warmed-up node, in units per second
	holders     map[string]*holder
}

// holder is the allocator's state of one gateway.
type holder struct {
	seq         uint64   // of its latest request
	units       float64  // allocated, and neither returned nor expired
	expiresAt   Time     // when the units have certainly expired at the holder
	allocatedAt Time     // time of the latest allocation; 0: none
	pending     *Request // request that waits for an allocation; nil: none
}

// NewAllocator returns the allocator of a node of the given age. Nothing is available at first, because another
// allocator may have allocated everything a moment before.
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

// SetRate sets the current estimate of a warmed-up node's rate, in units per second.
func (a *Allocator) SetRate(now Time, rate float64) {
	a.update(now)
	a.rate = rate
}

// NodeRestarted records that the node has restarted and has the given age. Outstanding units stay outstanding, because
// their holders may not know of the restart yet.
func (a *Allocator) NodeRestarted(now, age Time) {
	a.update(now)
	a.available, a.startedAt = 0, now-age
}

// WarmedUp reports whether the node has warmed up and needs no allocator any more.
func (a *Allocator) WarmedUp(now Time) bool { return now-a.startedAt >= a.settings.WarmupTime }

// update advances the allocator to the given time: expired units count as used, and new units become available up to
// the limit.
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

// HandleRequest accepts a holder's request, which replaces its earlier one and stays pending until Allocate serves it.
// It returns false if the request is not later than those already received, or if its amounts are invalid.
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
	returned := min(request.Returned, h.units) // units that have expired meanwhile count as used
	if a.faults.Has(FaultTrustReturned) {
		returned = request.Returned
	}
	if h.units > 0 { // units that the holder has not returned count as used
		a.outstanding -= h.units
		h.units = 0
	}
	a.available += returned
	a.update(now)
	return true
}

// Allocate serves the pending requests in the order of their priority weight; among equals, the holder whose latest
// allocation is the oldest comes first. Requests that cannot be served stay pending.
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
			continue // it may still be enough for another holder's request
		}
		a.reserve(now, h, units)
		allocations = append(allocations, Allocation{Holder: request.Holder, Seq: request.Seq, Units: units})
	}
	return allocations
}

// pendingHolders returns the holders with a pending request, in the order in which they are served.
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

// reserve allocates available units to a holder, where they become outstanding, and completes its request.
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

// Usage returns the numbers of available and of outstanding units.
func (a *Allocator) Usage(now Time) (available, outstanding float64) {
	a.update(now)
	return a.available, a.outstanding
}

// CancelRequest drops the pending request of a holder. Units allocated to the holder stay outstanding.
func (a *Allocator) CancelRequest(holderID string) {
	if h := a.holders[holderID]; h != nil {
		h.pending = nil
	}
}

// RemoveIdle removes holders that have no pending request and no outstanding units, and whose latest allocation is
// older than the given time.
func (a *Allocator) RemoveIdle(now, after Time) {
	for id, h := range a.holders {
		if h.pending == nil && h.units == 0 && now-h.allocatedAt > after {
			delete(a.holders, id)
		}
	}
}
