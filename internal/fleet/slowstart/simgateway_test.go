package slowstart

import (
	"slices"
	"strconv"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/internal/fleet/slowstart/epoch"
)

// simulatedGateway is one start of a gateway. It is a holder of allocations, and the allocator while it owns the
// budget. Times are on its own clock unless stated otherwise.
type simulatedGateway struct {
	clock            clock
	name             string
	stalledUntil     int64 // true time
	partitionedUntil int64 // true time
	inbox            []func()

	ownership *epoch.Ownership
	allocator *budget.Allocator // nil: it does not own the budget
	renewedAt int64             // when it last requested its lease

	seq           uint64
	units         float64 // allocated and not sent yet
	validUntil    int64
	requestedAt   int64
	nextRequestAt int64
	isWaiting     bool                  // for an allocation
	usable        []simulatedAllocation // in transit to it, or received and not sent yet
	demandRate    float64               // units per second that it has to send
}

// simulatedAllocation is an allocation that may still be used.
type simulatedAllocation struct {
	budget.Allocation
	validUntil int64
}

func (s *simulation) newGateway() *simulatedGateway {
	s.gatewaysStarted++
	name := "g" + strconv.Itoa(s.gatewaysStarted)
	g := &simulatedGateway{clock: s.newClock(), name: name, demandRate: []float64{20, 200}[s.random.IntN(2)]}
	g.ownership = epoch.NewOwnership(name, s.faults.epoch)
	return g
}

// stepGateway makes a gateway process its inbox, and then renew its lease, request an allocation and send its units,
// each if it is due.
func (s *simulation) stepGateway(g *simulatedGateway) {
	inbox := g.inbox
	g.inbox = nil
	for _, receive := range inbox {
		receive()
	}
	now := g.clock.at(s.now)
	if now-g.renewedAt > leaseDuration/3 {
		g.renewedAt = now
		s.renewLease(g)
	}
	timedOut := now >= g.requestedAt+simulatedSettings.AllocationTime
	if now >= g.nextRequestAt && (!g.isWaiting || timedOut) {
		g.nextRequestAt = now + 20*ms + s.random.Int64N(200*ms)
		if s.sendNearExpiry {
			allocationTime := simulatedSettings.AllocationTime
			g.nextRequestAt = now + allocationTime*9/10 + s.random.Int64N(allocationTime/5)
		}
		s.requestAllocation(g)
	}
	holdBack := s.sendNearExpiry && g.validUntil-now >= 60*ms
	if g.units > 0 && now < g.validUntil && !holdBack && s.chance(0.8) {
		s.sendUnits(g)
	}
}

// renewLease requests a lease from the replicas.
func (s *simulation) renewLease(g *simulatedGateway) {
	requestedAt := g.clock.at(s.now)
	s.send(g, nil, func() {
		now := s.leaderClock.at(s.now)
		s.renewedAt[g.name] = now
		if !slices.Contains(s.membership.Members, g.name) {
			s.membership.Members = append(slices.Clone(s.membership.Members), g.name)
			s.beginEpoch(false)
		}
		membership := s.membership
		membership.Age = now - s.epochBeganAt
		membership.LeaseDuration = leaseDuration
		membership.MaxClockDrift = simulatedSettings.MaxClockDrift
		s.send(nil, g, func() { g.ownership.HandleMembership(requestedAt, g.clock.at(s.now), membership) })
	})
}

// requestAllocation requests an allocation from the owner of the node's budget.
func (s *simulation) requestAllocation(g *simulatedGateway) {
	g.seq++
	g.requestedAt, g.isWaiting = g.clock.at(s.now), true
	request := &budget.Request{
		Holder: g.name, Seq: g.seq, Demand: 4 + g.demandRate/4, SmallestRequest: 1, PriorityWeight: g.demandRate,
	}
	if g.requestedAt < g.validUntil {
		request.Returned = g.units
	}
	if !s.faults.budget.Has(budget.FaultUseReturned) {
		g.units = 0
		g.usable = nil // responses to earlier requests are not used
	}
	owner := g.ownership.Owner(simulatedNode)
	for _, to := range s.gateways {
		if to.name == owner {
			s.send(g, to, func() { s.serveRequest(to, request) })
		}
	}
}

// serveRequest makes a gateway serve a request if it owns the node's budget.
func (s *simulation) serveRequest(g *simulatedGateway, request *budget.Request) {
	now := g.clock.at(s.now)
	if !g.ownership.Owns(now, simulatedNode) {
		g.allocator = nil
		return
	}
	if g.allocator == nil {
		s.beginAllocating(g)
	}
	if !g.allocator.HandleRequest(now, request) {
		return
	}
	for _, allocation := range g.allocator.Allocate(now) {
		for _, holder := range s.gateways {
			if holder.name == allocation.Holder {
				s.sendAllocation(g, holder, allocation)
			}
		}
	}
}

// beginAllocating creates an allocator at a gateway. The node started at time 0. The start is recorded even if the
// gateway owned the budget before, because allocations made then may still be valid.
func (s *simulation) beginAllocating(g *simulatedGateway) {
	g.allocator = budget.NewAllocator(g.clock.at(s.now), simulatedSettings, s.now, simulatedRate, s.faults.budget)
	s.allocatorsStartedAt = append(s.allocatorsStartedAt, s.now)
	if s.owner != g.name {
		s.owner = g.name
		s.ownerMoves++
	}
}

// sendAllocation sends an allocation to its holder, which uses it if it is for the latest request and arrives in
// time.
func (s *simulation) sendAllocation(from, holder *simulatedGateway, allocation budget.Allocation) {
	if allocation.Seq == holder.seq {
		validUntil := holder.requestedAt + simulatedSettings.AllocationTime
		holder.usable = append(holder.usable, simulatedAllocation{allocation, validUntil})
	}
	s.send(from, holder, func() {
		validUntil := holder.requestedAt + simulatedSettings.AllocationTime
		if allocation.Seq == holder.seq && holder.clock.at(s.now) < validUntil {
			holder.units, holder.validUntil, holder.isWaiting = allocation.Units, validUntil, false
		}
	})
}

// sendUnits makes a gateway send all its units to the node.
func (s *simulation) sendUnits(g *simulatedGateway) {
	s.sentUnits += g.units
	s.sends = append(s.sends, simulatedSend{s.now, g.units})
	g.units, g.usable = 0, nil
}
