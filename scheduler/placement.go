package scheduler

import (
	"math"
	"slices"
)

// place queues an unplaced request at a node, or gives it up if it cannot meet its objective. It returns false if the
// request remains unplaced.
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

// blockedByKey reports whether an earlier request of the same key is unfinished or may still be running.
func (s *Scheduler) blockedByKey(request *Request) bool {
	queue := request.KeyQueue
	return queue != nil && (queue.Requests[0] != request || queue.BlockedUntil > s.now)
}

// shouldGiveUpAt reports whether a request is not worth queuing at a node. A late answer has little value, so a
// request that is expected to miss its objective goes only to a node where this gateway has nothing queued or in
// flight, so that it is sent at once. If its objective has already passed, as with clients' retries, the node must
// also be lightly loaded by all gateways.
func (s *Scheduler) shouldGiveUpAt(node *Node, request *Request) bool {
	if s.now+node.expectedLatency(request.Units) <= request.effectiveObjectiveDeadline() {
		return false
	}
	if node.AttemptsInFlight > 0 || s.queuedUnits(node) > 0 {
		return true
	}
	return s.now >= request.ObjectiveDeadline && node.Measured && !s.lightlyLoaded(node)
}

// enqueue inserts a request into its flow's queue, ordered by objective deadline.
func (s *Scheduler) enqueue(node *Node, flow *Flow, request *Request) {
	if !flow.active() {
		flow.VirtualStart = max(flow.VirtualStart, node.VirtualTime) // an idle flow accumulates no credit in virtual time
	}
	at, _ := slices.BinarySearchFunc(flow.Queue, request, func(queued, request *Request) int {
		if queued.ObjectiveDeadline <= request.ObjectiveDeadline {
			return -1
		}
		return 1 // never equal: requests with the same deadline stay in order of arrival
	})
	flow.Queue = slices.Insert(flow.Queue, at, request)
	if request.Shard < 0 {
		node.takeCredit(request)
	}
	s.setRequestState(request, RequestQueued)
	request.Node = node
	node.dirty = true
	s.timers.set(request, s.latestDispatchTime(request))
}

// selectNode returns the node to serve a request, or nil if there is none at present: the node that holds its data
// or, for a new object, a node with a placement credit left.
func (s *Scheduler) selectNode(request *Request) *Node {
	if request.Shard >= 0 {
		return s.shardNode(request)
	}
	return s.newObjectNode(request)
}

// shardNode returns the node that holds the request's shard. While the list names several, it is the one that started
// last.
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

// newObjectNode returns the node for a new object: the one expected to finish it first, among nodes that have a
// placement credit left, are not suspected and have not been tried for it. The slow-start budget of a warming node is
// kept for requests that no other node can serve, so such a node is chosen only if all are warming up.
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

// expectedWait returns the time in seconds after which a node is expected to finish a request. It is divided by the
// node's success rate, and lengthened at random so that gateways with the same view do not all choose the same node.
func (s *Scheduler) expectedWait(node *Node, request *Request) float64 {
	units := node.UnitsInFlight + s.queuedUnits(node) + request.Units
	successRate := max(1-node.FailureRate, minSuccessRate)
	return units / s.serviceRate(node) / successRate * (1 + s.random.float64()/placementJitter)
}

// triedAt reports whether the request has had an attempt at a node, not counting attempts rejected as overload.
func (r *Request) triedAt(node *Node) bool {
	return slices.ContainsFunc(r.Attempts, func(attempt *Attempt) bool {
		return attempt.Node == node && attempt.Outcome != OutcomeOverloaded
	})
}

// queuedUnits returns the units queued at a node.
func (s *Scheduler) queuedUnits(node *Node) (units float64) {
	for _, flow := range node.Flows {
		for _, request := range flow.Queue {
			units += request.Units
		}
	}
	return units
}

// takeCredit uses one of the node's placement credits for a new object.
func (n *Node) takeCredit(request *Request) {
	n.PlacementCredits--
	request.CreditNode = n
}

// returnCredit returns a placement credit to the node.
func (n *Node) returnCredit() {
	n.PlacementCredits = min(n.PlacementCredits+1, maxPlacementCredits)
}
