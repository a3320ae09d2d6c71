package gateway

import (
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// endpointStates maps the health of a node in an endpoint list to the scheduler's state of the node.
var endpointStates = map[endpoint.Health]scheduler.EndpointState{
	endpoint.Ready:     scheduler.EndpointReady,
	endpoint.Draining:  scheduler.EndpointDraining,
	endpoint.Removed:   scheduler.EndpointRemoved,
	endpoint.Unhealthy: scheduler.EndpointRemoved,
}

// ApplyEndpointList passes an endpoint list to a scheduler. A list that is not complete contains only the nodes that
// have changed.
func ApplyEndpointList(s *scheduler.Scheduler, now scheduler.Time, list endpoint.List, complete bool) {
	s.BeginEndpointList(now, complete, list.Stale)
	for _, n := range list.Nodes {
		s.UpdateEndpoint(n.Addr, n.Zone, n.Shard, n.StartedAt, endpointStates[n.Health])
	}
	s.FinishEndpointList()
}

// UpdateEndpoints applies an endpoint list, or a partial list with the nodes that have changed.
func (l *Loop) UpdateEndpoints(list endpoint.List) {
	l.post(func(now scheduler.Time) { l.updateEndpoints(now, list) })
}

// EndpointListFailed reports that the endpoint list could not be fetched. unresponsive means that the service that
// provides it did not answer at all.
func (l *Loop) EndpointListFailed(unresponsive bool) {
	l.post(func(now scheduler.Time) { l.scheduler.endpointListFailed(now, unresponsive) })
}

// updateEndpoints applies a list to the scheduler and to the node client.
func (l *Loop) updateEndpoints(now scheduler.Time, list endpoint.List) {
	l.scheduler.updateEndpoints(now, list)
	retained := map[string]bool{}
	ready := map[string]bool{}
	for _, n := range list.Nodes {
		retained[n.Addr] = n.Health != endpoint.Removed
		ready[n.Addr] = endpointStates[n.Health] == scheduler.EndpointReady
	}
	// Attempts from earlier decisions may still wait for a connection to their node. If they were sent once it is
	// established, they could arrive after the grace period of a draining node.
	l.opt.Nodes.AbortQueued(func(addr string) bool {
		isReady, listed := ready[addr]
		return !isReady && (listed || !list.Partial)
	})
	if !list.Partial {
		go l.opt.Nodes.Retain(retained)
	}
}
