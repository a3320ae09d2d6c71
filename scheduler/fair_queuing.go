package scheduler

import (
	"math"
	"slices"
)

// flow returns a volume's flow at a node, and makes it on first use.
func (s *Scheduler) flow(node *Node, volume *Volume) *Flow {
	flow := node.flowsByVolume[volume]
	if flow == nil {
		flow = &Flow{
			Volume:       volume,
			VirtualStart: node.VirtualTime,
			Budget:       s.defaultBudget(),
			Excess:       TokenBucket{Level: math.Inf(1), Capacity: math.Inf(1)},
		}
		node.flowsByVolume[volume] = flow
		node.Flows = append(node.Flows, flow)
	}
	return flow
}

// defaultBudget is the budget of a turn, in units.
func (s *Scheduler) defaultBudget() float64 { return defaultBudgetRequests * s.meanUnits }

// minBudget is the least budget of a turn, in units.
func (s *Scheduler) minBudget() float64 { return s.defaultBudget() / minBudgetDivisor }

// dispatchQueued sends what may be sent to a node now, flow by flow in their order of precedence. It stops at the
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
		case !s.mayAttempt(request, node): // while it waited, the retry budget was used up or its window closed
			s.giveUp(request)
		case s.canDispatch(node, request):
			flow.Queue = slices.Delete(flow.Queue, 0, 1)
			s.dispatch(request, node)
		case request.SlowStartDraw == DrawDenied && len(node.SlowStartAnswered) == 0:
			s.giveUp(request) // nothing would admit it at the warming node in time
		default:
			return
		}
	}
}

// nextFlow returns the flow that goes next at a node, or nil if none can: one whose next request is within its
// volume's reserve, else the one in service, else the one with the least virtual finish time. A turn gives
// precedence and does not exclude: when the flow in service has nothing to send, others do.
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

// nextWithinRateLimit reports whether a flow has a queued request that its volume's rate limit admits.
func (s *Scheduler) nextWithinRateLimit(flow *Flow) bool {
	return len(flow.Queue) > 0 && s.withinRateLimit(flow.Queue[0])
}

// endService ends the turn of the flow in service, if it is over, and sets the flow's next budget by how the turn
// ended.
func (s *Scheduler) endService(node *Node) {
	flow := node.InService
	if flow == nil {
		return
	}
	expired := s.now-node.InServiceSince >= inServiceExpiry
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

// budgetAfterExhaustion is the next budget of a flow that has used up its last: the default divided by the active
// flows of the node, less what was overdrawn, and no less than the minimum.
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

// earliestFlows returns the flow with the least virtual finish time, and the one with the least among those whose
// next request is within its volume's reserve; nil where there is none. Flows that the rate limit holds back are
// passed over.
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

// chargeVirtualTime counts units of a flow beyond its volume's reserve, sent by this gateway or served through
// others. The flow's virtual start moves on by units over its weight, the node's virtual time by units over the
// weights of all active flows. The node's is never behind the least virtual start of the flows that wait.
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
