package scheduler

import "math"

// warmingUp reports whether a node started so lately that it can do only part of its work.
func (s *Scheduler) warmingUp(node *Node) bool {
	startedAt := s.latestPossibleStart(node)
	return startedAt > 0 && s.now-startedAt < s.settings.duration(settingSlowStartTime)
}

// withinSlowStart reports whether a request is within the slow-start budget of a node that warms up: a multiple of
// the capacity that it has by its age, in any window. All gateways send, and each sees only what it sends itself;
// together they must stay within the budget. So a request goes in one of these ways:
//
//   - Allocated: where the node's budget is allocated among the gateways (AllocateSlowStart), what is left of the
//     allocation holds it, and nothing else goes.
//   - Answered: what this gateway sent in the window stays within the safe multiple of what it was answered in it.
//   - Saved up: it is within this gateway's even part of what the node tolerates in any case, or of the safe multiple
//     of what it can do by now at the rate that is known of other nodes. Half of that is a bucket's capacity and half
//     flows in within a window.
//   - By chance, where that part is less than one request: the part of the others would go unused, since few of many
//     gateways meet a given node. So a share of the requests passes that are within their reserve, or within as much
//     of the fair rate. A warm node can do what service levels are sized for, so the sum over all gateways is a like
//     share of it. It sends too much where volumes ask for many times their levels and answers are quick all the same.
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
	share := s.warmShare(node)
	s.resizeSlowStart(node, share)
	s.drawSlowStartShare(node, request, share)
	return request.SlowStartShareDraw == DrawAdmitted ||
		s.bucketAdmits(&node.SlowStart, request, &request.SlowStartDraw)
}

// safeMultiple is the multiple of a warming node's capacity that is used.
func (s *Scheduler) safeMultiple() float64 {
	return slowStartSafety * s.settings.number(settingSlowStartMultiple)
}

// coveredByAnswers reports whether what was sent to a node in the window, with the request, is within the safe
// multiple of what it answered in it.
func (s *Scheduler) coveredByAnswers(node *Node, request *Request) bool {
	windowStart := s.now - s.settings.duration(settingSlowStartWindow)
	sent := node.SlowStartSent.since(windowStart) + request.Units
	return sent <= s.safeMultiple()*node.SlowStartAnswered.since(windowStart)
}

// warmShare is the share of its capacity that a node has by now: it grows linearly from the stated share at its
// start to the whole.
func (s *Scheduler) warmShare(node *Node) float64 {
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

// drawSlowStartShare draws once for a request that is larger than the slow-start bucket. It passes with the
// probability of the safe multiple times the node's share, less half the initial share, which no answer has shown
// yet.
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

// chargeSlowStart takes an attempt that is sent to a warming node from what admitted its request.
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

// AllocateSlowStart takes the allocation of units of a node's slow-start budget to this gateway: until it expires
// nothing else is sent there while the node warms up. It returns what was left of the allocation before, in units.
// An allocation for another start of the node than the one known is dropped.
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

// SlowStartDemand is work that waits at a node that warms up, from which the node's slow-start budget is allocated.
type SlowStartDemand struct {
	Addr            string
	StartedAt       Time
	Units           float64 // of all requests that wait
	SmallestRequest float64 // units of the smallest, or infinity where none waits
	PriorityWeight  float64 // the greatest weight of a service level that waits
}

// SlowStartDemands lists what waits at the nodes that warm up and may be sent to, in the order of the nodes. The
// rate is what this gateway knows of warm nodes, in units a second, or 0.
func (s *Scheduler) SlowStartDemands(now Time) (demands []SlowStartDemand, rate float64) {
	s.now = now
	for _, node := range s.nodes {
		if node.State == EndpointReady && s.warmingUp(node) {
			demands = append(demands, node.slowStartDemand())
		}
	}
	// The measured rate is of busy time that other gateways share. A node serves at least one request at a time, in its
	// base latency.
	rate = s.meanServiceRate()
	if base := s.averageOverMeasured(func(node *Node) float64 { return node.BaseLatency }); base > 0 {
		rate = max(rate, s.meanUnits/base*float64(Second))
	}
	return demands, rate
}

// slowStartDemand sums up what waits at the node.
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
