package scheduler

import (
	"math"
	"slices"
)

// newFlow returns a flow of a volume at a node that has not been used yet.
func (s *Scheduler) newFlow(node *Node, volume *Volume) *Flow {
	return &Flow{
		Volume:       volume,
		VirtualStart: node.VirtualTime,
		Budget:       s.defaultBudget(),
		Excess:       TokenBucket{Level: math.Inf(1), Capacity: math.Inf(1)},
	}
}

// defaultBudget returns the budget of a turn, in units.
func (s *Scheduler) defaultBudget() float64 { return defaultBudgetRequests * s.meanUnits }

// minBudget returns the smallest budget of a turn, in units.
func (s *Scheduler) minBudget() float64 { return s.defaultBudget() / minBudgetDivisor }

// dispatchQueued sends the queued requests that a node can take now, in the order given by nextFlow. It stops at the
// first request that has to wait.
func (s *Scheduler) dispatchQueued(node *Node) {
	s.advanceBusyTime(node)
	for {
		flow := s.nextFlow(node)
		if flow == nil {
			return
		}
		request := flow.Queue[0]
		switch {
		case !s.mayAttempt(request, node): // the retry budget was used up or the dedup window closed while it waited
			s.giveUp(request)
		case s.canDispatch(node, request):
			flow.Queue = slices.Delete(flow.Queue, 0, 1)
			s.dispatch(request, node)
		case request.SlowStartDraw == DrawDenied && len(node.SlowStartAnswered) == 0:
			s.giveUp(request) // the warming node cannot admit it in time
		default:
			return
		}
	}
}

// nextFlow returns the flow to be served next at a node, or nil if there is none: a flow whose next request is within
// its volume's reserve, else the flow in service, else the one with the earliest virtual finish time. A turn gives
// priority, not exclusivity: when the flow in service has nothing to send, other flows are served.
func (s *Scheduler) nextFlow(node *Node) *Flow {
	s.endService(node)
	first, reserved := s.earliestFlows(node)
	if node.InService == nil && first != nil {
		node.InService = first
		node.InServiceSince = s.now
	}
	if reserved != nil {
		return reserved
	}
	if current := node.InService; current != nil && s.nextWithinRateLimit(current) {
		return current
	}
	return first
}

// nextWithinRateLimit reports whether a flow has a queued request and its volume's rate limit admits the first one.
func (s *Scheduler) nextWithinRateLimit(flow *Flow) bool {
	return len(flow.Queue) > 0 && s.withinRateLimit(flow.Queue[0])
}

// endService ends the turn of the flow in service if it is over, and sets the flow's next budget according to how the
// turn ended.
func (s *Scheduler) endService(node *Node) {
	flow := node.InService
	if flow == nil {
		return
	}
	expired := s.now-node.InServiceSince >= maxTurnDuration
	idle := !flow.active() && s.now-flow.LastAnsweredAt >= flow.AverageSendGap
	switch {
	case flow.Budget <= 0:
		flow.Budget = s.budgetAfterExhaustion(node, flow.Budget)
	case !expired && !idle:
		return
	case flow.Budget <= s.minBudget():
		flow.Budget = s.defaultBudget()
	}
	node.InService = nil
}

// budgetAfterExhaustion returns the next budget of a flow that has used up its last one: the default divided by the
// number of active flows of the node, less the overdrawn units, but at least the minimum. The argument is the
// remaining budget and is not positive.
func (s *Scheduler) budgetAfterExhaustion(node *Node, overdrawn float64) float64 {
	active := 0.0
	for _, flow := range node.Flows {
		if flow.active() {
			active++
		}
	}
	budget := max(s.defaultBudget()/max(active, 1), s.minBudget())
	return max(budget+overdrawn, s.minBudget())
}

// earliestFlows returns the flow with the earliest virtual finish time, and the earliest among the flows whose next
// request is within its volume's reserve. Either may be nil. Flows held back by the rate limit are skipped.
func (s *Scheduler) earliestFlows(node *Node) (first, reserved *Flow) {
	var firstFinish, reservedFinish float64
	for _, flow := range node.Flows {
		if !s.nextWithinRateLimit(flow) {
			continue
		}
		request := flow.Queue[0]
		finish := flow.VirtualStart + request.Units/flow.Volume.ServiceLevel.Weight
		if first == nil || finish < firstFinish {
			first, firstFinish = flow, finish
		}
		if s.withinReserve(request) && (reserved == nil || finish < reservedFinish) {
			reserved, reservedFinish = flow, finish
		}
	}
	return first, reserved
}

// chargeVirtualTime charges a flow with units beyond its volume's reserve, sent by this gateway or served through
// others. The flow's virtual start advances by the units divided by its weight, and the node's virtual time by the
// units divided by the total weight of all active flows. The node's virtual time is kept at or above the earliest
// virtual start of the queued flows.
func (s *Scheduler) chargeVirtualTime(node *Node, charged *Flow, units float64) {
	charged.VirtualStart += units / charged.Volume.ServiceLevel.Weight
	weights, leastStart := 0.0, math.Inf(1)
	for _, flow := range node.Flows {
		if flow.active() || flow == charged {
			weights += flow.Volume.ServiceLevel.Weight
		}
		if len(flow.Queue) > 0 {
			leastStart = min(leastStart, flow.VirtualStart)
		}
	}
	node.VirtualTime += units / weights
	if !math.IsInf(leastStart, 1) {
		node.VirtualTime = max(node.VirtualTime, leastStart)
	}
}
