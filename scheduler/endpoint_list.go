package scheduler

import "cmp"

// BeginEndpointList starts an endpoint list. complete means that nodes not named in it are removed; stale means that
// it may be out of date. UpdateEndpoint follows for each node, then FinishEndpointList.
func (s *Scheduler) BeginEndpointList(now Time, complete, stale bool) {
	s.now = now
	s.listComplete = complete
	s.listStale = stale
	s.listGeneration++
}

// UpdateEndpoint records one node of the list. A later start time than the known one resets what was learned about
// the node; attempts in flight there still get their outcome.
func (s *Scheduler) UpdateEndpoint(addr, zone string, shard int, startedAt Time, state EndpointState) {
	node := s.nodesByAddress[addr]
	if node == nil {
		node = &Node{Addr: addr, StartedAt: -1, State: EndpointRemoved, flowsByVolume: map[*Volume]*Flow{}}
		s.nodesByAddress[addr] = node
		s.nodes = append(s.nodes, node)
	}
	if startedAt > node.StartedAt {
		s.resetNode(node, startedAt)
	}
	node.Zone = zone
	node.Shard = shard
	node.listGeneration = s.listGeneration
	s.setNodeState(node, state)
}

// resetNode discards what was learned about a node before its latest start.
func (s *Scheduler) resetNode(node *Node, startedAt Time) {
	node.StartedAt = startedAt
	node.Measured = false
	node.AnsweredUnits = 0
	node.BusySeconds = 0
	node.MeanLatency = 0
	node.FailureRate = 0
	node.InFlightShare = inFlightShareInitial
	node.PlacementCredits = maxPlacementCredits
	node.FairRate = 1
	node.Suspected = false
	node.EjectedUntil = 0
	node.SlowStart = TokenBucket{UpdatedAt: s.now}
	node.SlowStartAnswered = node.SlowStartAnswered[:0]
	node.AllocationExpiresAt = 0
}

// FinishEndpointList ends an endpoint list. A list that may be out of date does not count as received, so the next
// call for the list stays due.
func (s *Scheduler) FinishEndpointList() {
	for _, node := range s.nodes {
		if s.listComplete && node.listGeneration != s.listGeneration {
			s.setNodeState(node, EndpointRemoved)
		}
	}
	if s.listStale {
		return
	}
	s.nextListCallAt = 0
	s.listBackoff = listBackoffInitial
	s.listReceivedAt = s.now
	s.logTransition(&s.listUnresponsive, false, "the list is silent: %%t")
}

// EndpointListFailed records that a call for the list failed; unresponsive means that it ended without any response.
// In pull discovery the next call follows after a backoff. The backoff doubles up to a limit that leaves time to
// receive the list before it counts as outdated, and has random jitter so that gateways do not call at the same time.
func (s *Scheduler) EndpointListFailed(now Time, unresponsive bool) {
	s.now = now
	s.logTransition(&s.listUnresponsive, s.listUnresponsive || unresponsive,
		"the list is silent: %%t, %d ms by now", (now-s.listReceivedAt)/Millisecond)
	if s.settings[settingDiscovery] != discoveryPull {
		return
	}
	if s.listUnresponsive {
		s.listBackoff = min(s.listBackoff, 2*listBackoffInitial)
	}
	s.nextListCallAt = now + Time(float64(s.listBackoff)*(listJitterMin+s.random.float64()))
	statedInterval := cmp.Or(s.settings.duration(settingListInterval), listBackoffMax)
	s.listBackoff = min(2*s.listBackoff, listBackoffMax, statedInterval)
}

// listOutdated reports whether the list has been unresponsive for the platform's limit plus the given grace. From
// then on, changes of the list count as announced even though they could not be received.
func (s *Scheduler) listOutdated(grace Time) bool {
	return s.listUnresponsive && s.now-s.listReceivedAt >= listSilenceMax+grace
}

// latestPossibleStart returns the latest time at which a node may have started. While the list is outdated, this is
// the time when it was last received, since any node may have restarted after that. The cost is unused capacity if no
// node has.
func (s *Scheduler) latestPossibleStart(node *Node) Time {
	if !s.listOutdated(0) {
		return node.StartedAt
	}
	return max(node.StartedAt, s.listReceivedAt)
}

// mayReceive reports whether requests may be sent to a node. While the list is unresponsive, any node may have
// started to drain. Therefore, once the list has been outdated for the drain grace period, only nodes that have
// answered an attempt sent within such a period are used.
func (s *Scheduler) mayReceive(node *Node) bool {
	if node.State != EndpointReady {
		return false
	}
	if !s.listUnresponsive {
		return true
	}
	grace := s.settings.duration(settingDrainGrace)
	return !s.listOutdated(grace) || s.now-node.LatestAnsweredSend < grace
}

// setNodeState sets a node's state. Requests queued at a node that is no longer ready become unplaced again.
func (s *Scheduler) setNodeState(node *Node, state EndpointState) {
	if node.State != state {
		node.dirty = true
	}
	node.State = state
	if state == EndpointReady {
		return
	}
	for _, flow := range node.Flows {
		for _, request := range flow.Queue {
			s.makeUnplaced(request, 0)
		}
		flow.Queue = flow.Queue[:0]
	}
}
