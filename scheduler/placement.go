package scheduler

import (
	"math"
	"slices"
)

// place queues an unplaced request at a node, or gives it up where it cannot meet its objective. It returns whether
// the request is settled; if not, it stays unplaced.
func (s *Scheduler) place(request *Request) bool {
	if request.removedFromSettings() {
		s.giveUp(request)
		return true
	}
	if request.NotBefore > s.now || s.blockedByKey(request) {
		return false
	}
	node := s.selectNode(request)
	if node == nil {
		return false
	}
	flow := s.flow(node, request.Volume)
	if s.shouldGiveUpAt(node, request) {
		s.giveUp(request)
		return true
	}
	s.enqueue(node, flow, request)
	return true
}

// blockedByKey reports whether an earlier request of the key is unfinished, or may still run.
func (s *Scheduler) blockedByKey(request *Request) bool {
	queue := request.KeyQueue
	return queue != nil && (queue.Requests[0] != request || queue.BlockedUntil > s.now)
}

// shouldGiveUpAt reports whether a request is not worth queuing at a node. One that cannot meet its objective earns
// little: it goes at once to a node that has nothing of this gateway's, or not at all; and one that is past its
// objective, as clients' retries are, only to a node that is lightly loaded by all.
func (s *Scheduler) shouldGiveUpAt(node *Node, request *Request) bool {
	if s.now+node.expectedLatency(request.Units) <= request.effectiveObjective() {
		return false
	}
	if node.AttemptsInFlight > 0 || s.queuedUnits(node) > 0 {
		return true
	}
	return s.now >= request.ObjectiveDeadline && node.Measured && !s.lightlyLoaded(node)
}

// enqueue puts a request into its flow's queue, in order of objective deadlines.
func (s *Scheduler) enqueue(node *Node, flow *Flow, request *Request) {
	if !flow.active() {
		flow.VirtualStart = max(flow.VirtualStart, node.VirtualTime) // an idle volume gathers no credit in virtual time
	}
	at, _ := slices.BinarySearchFunc(flow.Queue, request, func(queued, request *Request) int {
		if queued.ObjectiveDeadline <= request.ObjectiveDeadline {
			return -1
		}
		return 1 // never equal: the request goes behind those of its own deadline
	})
	flow.Queue = slices.Insert(flow.Queue, at, request)
	if request.Shard < 0 {
		node.takeCredit(request)
	}
	s.setRequestState(request, RequestQueued)
	request.Node = node
	node.dirty = true
	s.timers.set(request, s.latestDispatch(request))
}

// selectNode returns the node that is to serve a request, or nil if none can now: the one that holds its data, or
// for a new object one with a placement credit left.
func (s *Scheduler) selectNode(request *Request) *Node {
	if request.Shard >= 0 {
		return s.shardNode(request)
	}
	return s.newObjectNode(request)
}

// shardNode returns the node that holds the request's shard; the one that started last, while the list names several.
func (s *Scheduler) shardNode(request *Request) (latest *Node) {
	for _, node := range s.nodes {
		if !s.mayReceive(node) || !s.mayAttempt(request, node) || node.Shard != request.Shard {
			continue
		}
		if latest == nil || node.StartedAt > latest.StartedAt {
			latest = node
		}
	}
	return latest
}

// newObjectNode returns the node for a new object: the one that would be through with it first, of those that have
// a placement credit left, answer, and have not been tried for it. A node that warms up keeps its slow-start budget
// for the requests that no other node can serve, unless all warm up.
func (s *Scheduler) newObjectNode(request *Request) (best *Node) {
	least := math.Inf(1)
	for _, node := range s.nodes {
		if !s.mayReceive(node) || !s.mayAttempt(request, node) {
			continue
		}
		if node.PlacementCredits <= 0 || node.Suspected || request.triedAt(node) {
			continue
		}
		wait := s.expectedWait(node, request)
		if s.warmingUp(node) {
			wait += warmingUpPenalty
		}
		if wait < least {
			best, least = node, wait
		}
	}
	return best
}

// expectedWait is when a node would be through with a request, in seconds, lengthened by its failures and by
// chance, so that gateways that see the same do not all choose the same node.
func (s *Scheduler) expectedWait(node *Node, request *Request) float64 {
	units := node.UnitsInFlight + s.queuedUnits(node) + request.Units
	successRate := max(1-node.FailureRate, minSuccessRate)
	return units / s.serviceRate(node) / successRate * (1 + s.random.float64()/placementJitter)
}

// triedAt reports whether the request has had an attempt at a node that the node did not turn away.
func (r *Request) triedAt(node *Node) bool {
	return slices.ContainsFunc(r.Attempts, func(attempt *Attempt) bool {
		return attempt.Node == node && attempt.Outcome != OutcomeOverloaded
	})
}

// queuedUnits is the units that wait at a node.
func (s *Scheduler) queuedUnits(node *Node) (units float64) {
	for _, flow := range node.Flows {
		for _, request := range flow.Queue {
			units += request.Units
		}
	}
	return units
}

// takeCredit spends a placement credit of the node on a new object.
func (n *Node) takeCredit(request *Request) {
	n.PlacementCredits--
	request.CreditNode = n
}

// returnCredit gives the node a placement credit back.
func (n *Node) returnCredit() {
	n.PlacementCredits = min(n.PlacementCredits+1, maxPlacementCredits)
}
