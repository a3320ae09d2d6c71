package scheduler

import "cmp"

// BeginEndpointList begins an endpoint list. Complete means that a node that it does not name is removed, stale that
// it may be out of date. UpdateEndpoint follows for each node, then FinishEndpointList.
func (s *Scheduler) BeginEndpointList(now Time, complete, stale bool) {
	s.now = now
	s.listComplete = complete
	s.listStale = stale
	s.listGeneration++
}

// UpdateEndpoint records one node of the list. A start that is later than the one known voids what was learned of the
// node; what is in flight there still gets its outcome.
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

// resetNode forgets what was learned of a node before its latest start.
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

// FinishEndpointList ends an endpoint list. One that may be out of date does not count as received: the next call for
// it stays due.
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

// EndpointListFailed records that a call for the list failed; unresponsive means that it ended with no response at
// all. Where the list has to be asked for, the next call comes after a backoff. It doubles up to a limit that lets
// the list be received before it counts as outdated, and is spread by chance so that gateways do not call together.
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

// listOutdated reports whether the list has been unresponsive for so long that its changes count as announced
// although they could not be received: for the platform's limit, and a grace beyond it.
func (s *Scheduler) listOutdated(grace Time) bool {
	return s.listUnresponsive && s.now-s.listReceivedAt >= listSilenceMax+grace
}

// latestPossibleStart returns when a node may have started last. While the list is outdated that is when it was last
// received, since any node may have restarted after that. This costs capacity where none has.
func (s *Scheduler) latestPossibleStart(node *Node) Time {
	if !s.listOutdated(0) {
		return node.StartedAt
	}
	return max(node.StartedAt, s.listReceivedAt)
}

// mayReceive reports whether a node may be sent requests. While the list is unresponsive any node may have begun to
// drain. So after the grace of a drain beyond the time when the list is outdated, only those may that have answered
// an attempt sent within such a grace.
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

// setNodeState notes a node's state. What is queued at a node that is not ready any more is placed anew.
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
			s.holdUnplaced(request, 0)
		}
		flow.Queue = flow.Queue[:0]
	}
}
