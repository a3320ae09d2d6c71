package scheduler

import "math"

// warmingUp reports whether a node started so recently that it has only part of its capacity.
func (s *Scheduler) warmingUp(node *Node) bool {
	startedAt := s.latestPossibleStart(node)
	return startedAt > 0 && s.now-startedAt < s.settings.duration(settingSlowStartTime)
}

// withinSlowStart reports whether a request is within the slow-start budget of a warming node. For any window, the
// budget is a multiple of the capacity that the node has at its age. All gateways together must stay within it,
// although each one sees only what it sends itself. A request can be admitted in one of these ways:
//
//   - Allocated: if the node's budget is allocated among the gateways (AllocateSlowStart), the rest of the allocation
//     covers the request. Nothing else is admitted then.
//   - Answered: the units that this gateway sent in the window are within the safe multiple of those answered in it.
//   - Saved up: the request is within this gateway's even part of a budget. That budget is the larger of what the
//     node tolerates in any case, and the safe multiple of its present capacity, estimated from the rate of other
//     nodes. Half of the part is the capacity of a token bucket, and half flows into it during a window.
//   - At random, if half of that part is smaller than the request. Without this, most of the budget would go unused,
//     because only a few of many gateways send to a given node. Of the requests that are within their reserve, or
//     within a share of the fair rate, the same share is admitted. A warm node can serve what service levels are sized
//     for, so the total over all gateways is about that share of its capacity. Too much is sent if volumes ask for
//     many times their service levels while answers are fast.
func (s *Scheduler) withinSlowStart(node *Node, request *Request) bool {
	if !s.warmingUp(node) {
		node.SlowStartSent = node.SlowStartSent[:0]
		node.SlowStartAnswered = node.SlowStartAnswered[:0]
		return true
	}
	if s.now < node.AllocationExpiresAt {
		return node.AllocatedUnits >= request.Units
	}
	request.CoveredByAnswers = s.coveredByAnswers(node, request)
	if request.CoveredByAnswers {
		return true
	}
	share := s.warmCapacityShare(node)
	s.resizeSlowStart(node, share)
	s.drawSlowStartShare(node, request, share)
	return request.SlowStartShareDraw == DrawAdmitted ||
		s.bucketAdmits(&node.SlowStart, request, &request.SlowStartDraw)
}

// safeMultiple returns the multiple of a warming node's capacity that is used.
func (s *Scheduler) safeMultiple() float64 {
	return slowStartSafety * s.settings.number(settingSlowStartMultiple)
}

// coveredByAnswers reports whether the units sent to a node in the window, including the request, are within the safe
// multiple of the units that it answered in the window.
func (s *Scheduler) coveredByAnswers(node *Node, request *Request) bool {
	windowStart := s.now - s.settings.duration(settingSlowStartWindow)
	sent := node.SlowStartSent.sumSince(windowStart) + request.Units
	return sent <= s.safeMultiple()*node.SlowStartAnswered.sumSince(windowStart)
}

// warmCapacityShare returns the share of its capacity that a warming node has now. It grows linearly from the
// configured initial share to 1.
func (s *Scheduler) warmCapacityShare(node *Node) float64 {
	initial := s.settings.number(settingSlowStartFrom)
	age := float64(s.now - s.latestPossibleStart(node))
	return initial + (1-initial)*age/float64(s.settings.duration(settingSlowStartTime))
}

// resizeSlowStart sets a node's slow-start bucket to this gateway's even part of the budget.
func (s *Scheduler) resizeSlowStart(node *Node, share float64) {
	window := float64(s.settings.duration(settingSlowStartWindow))
	budget := s.safeMultiple() * share * s.meanServiceRate() * window / float64(Second)
	budget = max(budget, s.settings.number(settingSlowStartFreeUnits))
	part := budget / max(s.settings.number(settingGateways), 1)
	node.SlowStart.resize(s.now, part/2/window*float64(Second), part/2)
}

// drawSlowStartShare draws once for a request larger than the capacity of the slow-start bucket. The probability of
// admission is the safe multiple times the node's current share less half the initial share, which no answer has
// confirmed yet.
func (s *Scheduler) drawSlowStartShare(node *Node, request *Request, share float64) {
	if request.SlowStartShareDraw != NotDrawn || node.SlowStart.Capacity >= request.Units {
		return
	}
	request.SlowStartShareDraw = DrawDenied
	probability := s.safeMultiple() * (share - s.settings.number(settingSlowStartFrom)/2)
	if s.random.float64() < probability &&
		(s.withinReserve(request) || s.withinExcess(node, request, min(node.FairRate, share))) {
		request.SlowStartShareDraw = DrawAdmitted
	}
}

// chargeSlowStart charges an attempt sent to a warming node to the budget that admitted its request.
func (s *Scheduler) chargeSlowStart(attempt *Attempt) {
	node, request := attempt.Node, attempt.Request
	switch {
	case s.now < node.AllocationExpiresAt:
		node.AllocatedUnits -= request.Units
		attempt.SendBefore = node.AllocationExpiresAt
	case !request.CoveredByAnswers && request.SlowStartShareDraw != DrawAdmitted:
		node.SlowStart.take(request.Units)
	}
	request.SlowStartDraw = NotDrawn
	request.SlowStartShareDraw = NotDrawn
	node.SlowStartSent = append(node.SlowStartSent, UnitSample{At: s.now, Units: request.Units})
}

// AllocateSlowStart sets the units of a node's slow-start budget that are allocated to this gateway. Until the
// allocation expires, nothing beyond it is sent to the node while the node warms up. The result is what was left of
// the previous allocation, in units. An allocation for a start of the node other than the known one is ignored.
func (s *Scheduler) AllocateSlowStart(
	now Time, addr string, startedAt Time, units float64, expiresAt Time,
) (remaining float64) {
	s.now = now
	node := s.nodesByAddress[addr]
	if node == nil || node.StartedAt != startedAt {
		return 0
	}
	if now < node.AllocationExpiresAt {
		remaining = node.AllocatedUnits
	}
	node.AllocatedUnits = units
	node.AllocationExpiresAt = expiresAt
	node.dirty = true
	return remaining
}

// SlowStartDemand describes the requests queued at a warming node. The node's slow-start budget is allocated by it.
type SlowStartDemand struct {
	Addr            string
	StartedAt       Time
	Units           float64 // of all queued requests
	SmallestRequest float64 // units of the smallest one; +Inf if none is queued
	PriorityWeight  float64 // highest weight among their service levels
}

// SlowStartDemands returns the demand at each ready node that is warming up, in the order of the nodes. rate is the
// rate of a warm node as known to this gateway, in units per second, or 0 if unknown.
func (s *Scheduler) SlowStartDemands(now Time) (demands []SlowStartDemand, rate float64) {
	s.now = now
	for _, node := range s.nodes {
		if node.State == EndpointReady && s.warmingUp(node) {
			demands = append(demands, node.slowStartDemand())
		}
	}
	// The measured rate is per busy time, which other gateways share, and can be too low. A node serves at least one
	// request at a time, at its base latency.
	rate = s.meanServiceRate()
	if base := s.averageOverMeasured(func(node *Node) float64 { return node.BaseLatency }); base > 0 {
		rate = max(rate, s.meanUnits/base*float64(Second))
	}
	return demands, rate
}

// slowStartDemand sums up the requests queued at the node.
func (n *Node) slowStartDemand() SlowStartDemand {
	demand := SlowStartDemand{Addr: n.Addr, StartedAt: n.StartedAt, SmallestRequest: math.Inf(1)}
	for _, flow := range n.Flows {
		for _, request := range flow.Queue {
			demand.Units += request.Units
			demand.SmallestRequest = min(demand.SmallestRequest, request.Units)
			demand.PriorityWeight = max(demand.PriorityWeight, flow.Volume.ServiceLevel.Weight)
		}
	}
	return demand
}
