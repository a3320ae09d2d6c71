package scheduler

import (
	"cmp"
	"slices"
)

// Clients may use any number of volumes, one after another. So the state of volumes and flows that are not in use is
// kept only for a limited number of them, those used last. State that still limits a volume is not dropped, so that a
// volume cannot get around a limit by being forgotten.

// flow returns the flow of a volume at a node and creates it on first use.
func (s *Scheduler) flow(node *Node, volume *Volume) *Flow {
	flow := node.flowsByVolume[volume]
	if flow == nil {
		s.forgetIdleFlows(node)
		flow = s.newFlow(node, volume)
		node.flowsByVolume[volume] = flow
		node.Flows = append(node.Flows, flow)
	}
	return flow
}

// volume returns the volume with the given ID and creates it on first use. This gateway's part of its rate limit is
// an even split over the highest gateway count seen. The bucket counts as empty at the gateway's start, because a
// gateway that was killed does not know what it had sent before.
func (s *Scheduler) volume(id int64, level string, gatewayCount float64) *Volume {
	volume := s.volumes[id]
	if volume == nil {
		s.forgetIdleVolumes()
		volume = s.newVolume(level)
		s.volumes[id] = volume
	}
	gatewayCount = max(gatewayCount, 1)
	if gatewayCount > volume.GatewayCount {
		volume.GatewayCount = gatewayCount
		limit := &volume.RateLimit
		limit.Rate = volume.ServiceLevel.RateLimit / gatewayCount
		limit.Capacity = volume.ServiceLevel.Burst / gatewayCount
		limit.Level = min(limit.Level, limit.Capacity)
		s.recordServedUnits(volume, 0, 0)
	}
	return volume
}

// isSweepDue reports whether idle state has to be dropped before one more item is added. Sweeps are spread out so that
// their cost is shared by the items added in between.
func isSweepDue(items, maximum int) bool { return items >= maximum && items%(maximum/2) == 0 }

// forgetIdleFlows drops the flows of a node that have been idle for longest, if the node has too many.
func (s *Scheduler) forgetIdleFlows(node *Node) {
	if !isSweepDue(len(node.Flows), maxFlowsPerNode) {
		return
	}
	var idle []*Flow
	for _, flow := range node.Flows {
		if s.isForgettable(node, flow) {
			idle = append(idle, flow)
		}
	}
	slices.SortStableFunc(idle, func(a, b *Flow) int { return cmp.Compare(a.lastUsedAt(), b.lastUsedAt()) })
	excess := min(len(node.Flows)-maxFlowsPerNode/2, len(idle))
	for _, flow := range idle[:excess] {
		delete(node.flowsByVolume, flow.Volume)
	}
	node.dropUnindexedFlows()
}

// isForgettable reports whether a flow at a node owes nothing, so that a new flow in its place would be treated no
// better.
func (s *Scheduler) isForgettable(node *Node, flow *Flow) bool {
	return !flow.active() && flow != node.InService && flow.VirtualStart <= node.VirtualTime && s.isRefilled(&flow.Excess)
}

// isRefilled reports whether a bucket is full, or has no rate and therefore no effect.
func (s *Scheduler) isRefilled(bucket *TokenBucket) bool {
	return bucket.Rate <= 0 || bucket.Refill(s.now) >= bucket.Capacity
}

// lastUsedAt returns when an attempt of the flow was last sent or answered.
func (f *Flow) lastUsedAt() Time { return max(f.LastSentAt, f.LastAnsweredAt) }

// dropUnindexedFlows removes the flows that are no longer in flowsByVolume. The others keep their order, which decides
// between equals.
func (n *Node) dropUnindexedFlows() {
	n.Flows = slices.DeleteFunc(n.Flows, func(flow *Flow) bool { return n.flowsByVolume[flow.Volume] != flow })
}

// forgetIdleVolumes drops the volumes that were served least recently, with their flows, if there are too many.
func (s *Scheduler) forgetIdleVolumes() {
	if !isSweepDue(len(s.volumes), maxVolumes) {
		return
	}
	idle := s.forgettableVolumes()
	excess := min(len(s.volumes)-maxVolumes/2, len(idle))
	for _, id := range idle[:excess] {
		for _, node := range s.nodes {
			delete(node.flowsByVolume, s.volumes[id])
		}
		delete(s.volumes, id)
	}
	for _, node := range s.nodes {
		node.dropUnindexedFlows()
	}
}

// forgettableVolumes returns the IDs of the volumes that have no request, owe nothing at any node and have used up
// nothing of their reserve and rate limit, in the order in which they were last served.
func (s *Scheduler) forgettableVolumes() (ids []int64) {
	inUse := map[*Volume]bool{}
	for _, request := range s.requests { // the iteration order affects no decision
		inUse[request.Volume] = true
	}
	for _, node := range s.nodes {
		for _, flow := range node.Flows {
			if !s.isForgettable(node, flow) {
				inUse[flow.Volume] = true
			}
		}
	}
	for id, volume := range s.volumes { // sorted below
		if !inUse[volume] && s.isRefilled(&volume.Reserve) && s.isRefilled(&volume.RateLimit) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b int64) int {
		return cmp.Or(cmp.Compare(s.volumes[a].ServedUpdatedAt, s.volumes[b].ServedUpdatedAt), cmp.Compare(a, b))
	})
	return ids
}
