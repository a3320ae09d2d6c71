package gateway

import (
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// endpointStates are the scheduler's for the health that a list gives.
var endpointStates = map[endpoint.Health]scheduler.EndpointState{
	endpoint.Ready:     scheduler.EndpointReady,
	endpoint.Draining:  scheduler.EndpointDraining,
	endpoint.Removed:   scheduler.EndpointRemoved,
	endpoint.Unhealthy: scheduler.EndpointRemoved,
}

// ApplyEndpointList hands a scheduler an endpoint list. One that is not complete leaves out what has not changed.
func ApplyEndpointList(s *scheduler.Scheduler, now scheduler.Time, list endpoint.List, complete bool) {
	s.BeginEndpointList(now, complete, list.Stale)
	for _, n := range list.Nodes {
		s.UpdateEndpoint(n.Addr, n.Zone, n.Shard, n.StartedAt, endpointStates[n.Health])
	}
	s.FinishEndpointList()
}

// UpdateEndpoints hands in an endpoint list, or what has changed in it.
func (l *Loop) UpdateEndpoints(list endpoint.List) {
	l.post(func(now scheduler.Time) { l.updateEndpoints(now, list) })
}

// EndpointListFailed reports that the endpoint list could not be had; unresponsive that its service has not answered
// at all.
func (l *Loop) EndpointListFailed(unresponsive bool) {
	l.post(func(now scheduler.Time) { l.scheduler.endpointListFailed(now, unresponsive) })
}

// updateEndpoints applies a list to the scheduler and to the connections.
func (l *Loop) updateEndpoints(now scheduler.Time, list endpoint.List) {
	l.scheduler.updateEndpoints(now, list)
	retained := map[string]bool{}
	ready := map[string]bool{}
	for _, n := range list.Nodes {
		retained[n.Addr] = n.Health != endpoint.Removed
		ready[n.Addr] = endpointStates[n.Health] == scheduler.EndpointReady
	}
	// What was decided before may still wait for its connection; sent once that is up, it could come after the grace
	// period of a drain.
	l.opt.Nodes.AbortQueued(func(addr string) bool {
		isReady, listed := ready[addr]
		return !isReady && (listed || !list.Partial)
	})
	if !list.Partial {
		go l.opt.Nodes.Retain(retained)
	}
}
