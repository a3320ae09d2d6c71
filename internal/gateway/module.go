package gateway

import (
	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// Tap is told all that the module is told, and what it decides, in the same order.
type Tap interface {
	Start(now scheduler.Time, seed uint64, terms scheduler.Settings)
	EndpointList(now scheduler.Time, l endpoint.List)
	EndpointUpdate(now scheduler.Time, l endpoint.List, whole bool)
	EndpointListFailed(now scheduler.Time, silent bool)
	SettingsChanged(now scheduler.Time, terms scheduler.Settings)
	Allocated(now scheduler.Time, addr string, born scheduler.Time, units float64, till scheduler.Time)
	Submitted(now scheduler.Time, j *scheduler.Request, volume int64, plan, product string, hosts float64, keyed bool)
	AttemptEnded(now scheduler.Time, job string, number int, o scheduler.Outcome, took scheduler.Time, final bool, others float64, inflight int,
		latency scheduler.Time)
	ClientCancelled(now scheduler.Time, job string)
	Decided(now scheduler.Time, d *scheduler.Decision)
	Snapshot(now scheduler.Time, g *scheduler.Scheduler) // asked for when it begins to listen, and when it is blind
	NeedsSnapshot() bool
}

// module is the one narrow place through which the decision module is told things and asked. Nothing else calls it,
// and it is handed nothing that does not pass here: no clock, no chance, no order but that of these calls.
type module struct {
	gateway *scheduler.Scheduler
	tap     Tap // nil: none
}

func (m *module) start(now scheduler.Time, seed uint64, terms scheduler.Settings) {
	if m.tap != nil {
		m.tap.Start(now, seed, terms)
	}
	m.gateway = scheduler.New(now, seed, terms)
}

// listen has a tap told of all from now on, or nobody (nil).
func (m *module) listen(now scheduler.Time, t Tap) {
	if m.tap = t; t != nil {
		t.Snapshot(now, m.gateway)
	}
}

func (m *module) listed(now scheduler.Time, l endpoint.List) {
	switch {
	case m.tap == nil:
	case l.Partial:
		m.tap.EndpointUpdate(now, l, false)
	default:
		m.tap.EndpointList(now, l)
	}
	ApplyEndpointList(m.gateway, now, l, !l.Partial)
}

func (m *module) listFailed(now scheduler.Time, silent bool) {
	if m.tap != nil {
		m.tap.EndpointListFailed(now, silent)
	}
	m.gateway.EndpointListFailed(now, silent)
}

func (m *module) agree(now scheduler.Time, terms scheduler.Settings) {
	if m.tap != nil {
		m.tap.SettingsChanged(now, terms)
	}
	m.gateway.ApplySettings(now, terms)
}

func (m *module) lend(now scheduler.Time, addr string, born scheduler.Time, units float64, till scheduler.Time) float64 {
	if m.tap != nil {
		m.tap.Allocated(now, addr, born, units, till)
	}
	return m.gateway.AllocateSlowStart(now, addr, born, units, till)
}

// ApplyEndpointList tells a module of a list. One that is not whole leaves out what has not changed.
func ApplyEndpointList(g *scheduler.Scheduler, now scheduler.Time, l endpoint.List, whole bool) {
	g.BeginEndpointList(now, whole, l.Stale)
	for _, n := range l.Nodes {
		g.UpdateEndpoint(n.Addr, n.Zone, n.Shard, n.StartedAt, standings[n.Health])
	}
	g.FinishEndpointList()
}

func (m *module) take(now scheduler.Time, j *scheduler.Request, w *RequestSpec) {
	if m.tap != nil {
		m.tap.Submitted(now, j, w.Volume.ID, w.Volume.ServiceLevel, w.Class, w.Volume.Gateways, w.HasKey)
	}
	m.gateway.Submit(now, j, w.Volume.ID, w.Volume.ServiceLevel, w.Class, w.Volume.Gateways, w.HasKey)
}

func (m *module) ended(now scheduler.Time, e *scheduler.Attempt, o scheduler.Outcome, final bool, a node.Reply) {
	took := now - e.SentAt
	if m.tap != nil {
		m.tap.AttemptEnded(now, e.Request.ID, e.Number, o, took, final, a.UnitsElsewhere, a.InFlight, int64(a.Latency))
	}
	m.gateway.AttemptFinished(now, e.Request.ID, e.Number, o, took, final, a.UnitsElsewhere)
}

func (m *module) left(now scheduler.Time, j *scheduler.Request) {
	if m.tap != nil {
		m.tap.ClientCancelled(now, j.ID)
	}
	m.gateway.ClientLeft(now, j.ID)
}

func (m *module) decide(now scheduler.Time) *scheduler.Decision {
	d := m.gateway.Decide(now)
	if m.tap != nil {
		m.tap.Decided(now, d)
		if m.tap.NeedsSnapshot() {
			m.tap.Snapshot(now, m.gateway)
		}
	}
	return d
}

var standings = map[endpoint.Health]scheduler.EndpointState{endpoint.Ready: scheduler.EndpointReady, endpoint.Draining: scheduler.EndpointDraining,
	endpoint.Removed: scheduler.EndpointRemoved, endpoint.Unhealthy: scheduler.EndpointRemoved}

// outcomes by the connections' words. What a node carried out is served, whatever the operation's result.
var outcomes = [...]scheduler.Outcome{node.Failed: scheduler.OutcomeError, node.Executed: scheduler.OutcomeServed, node.QueueFull: scheduler.OutcomeOverloaded,
	node.WrongShard: scheduler.OutcomeMisdirected, node.ConnectFailed: scheduler.OutcomeConnectFailed, node.ConnectionReset: scheduler.OutcomeReset}
