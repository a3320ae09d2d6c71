package gateway

import (
	"irispost/decide"
	"irispost/internal/listing"
	"irispost/internal/node"
)

// Tap is told all that the module is told, and what it decides, in the same order.
type Tap interface {
	Start(now decide.Time, seed uint64, terms decide.Settings)
	EndpointList(now decide.Time, l listing.List)
	EndpointUpdate(now decide.Time, l listing.List, whole bool)
	EndpointListFailed(now decide.Time, silent bool)
	SettingsChanged(now decide.Time, terms decide.Settings)
	Allocated(now decide.Time, addr string, born decide.Time, units float64, till decide.Time)
	Submitted(now decide.Time, j *decide.Request, volume int64, plan, product string, hosts float64, keyed bool)
	AttemptEnded(now decide.Time, job string, number int, o decide.Outcome, took decide.Time, final bool, others float64, inflight int,
		latency decide.Time)
	ClientCancelled(now decide.Time, job string)
	Decided(now decide.Time, d *decide.Decision)
	Snapshot(now decide.Time, g *decide.Scheduler) // asked for when it begins to listen, and when it is blind
	NeedsSnapshot() bool
}

// module is the one narrow place through which the decision module is told things and asked. Nothing else calls it,
// and it is handed nothing that does not pass here: no clock, no chance, no order but that of these calls.
type module struct {
	gateway *decide.Scheduler
	tap     Tap // nil: none
}

func (m *module) start(now decide.Time, seed uint64, terms decide.Settings) {
	if m.tap != nil {
		m.tap.Start(now, seed, terms)
	}
	m.gateway = decide.New(now, seed, terms)
}

// listen has a tap told of all from now on, or nobody (nil).
func (m *module) listen(now decide.Time, t Tap) {
	if m.tap = t; t != nil {
		t.Snapshot(now, m.gateway)
	}
}

func (m *module) listed(now decide.Time, l listing.List) {
	switch {
	case m.tap == nil:
	case l.Partial:
		m.tap.EndpointUpdate(now, l, false)
	default:
		m.tap.EndpointList(now, l)
	}
	ApplyEndpointList(m.gateway, now, l, !l.Partial)
}

func (m *module) listFailed(now decide.Time, silent bool) {
	if m.tap != nil {
		m.tap.EndpointListFailed(now, silent)
	}
	m.gateway.EndpointListFailed(now, silent)
}

func (m *module) agree(now decide.Time, terms decide.Settings) {
	if m.tap != nil {
		m.tap.SettingsChanged(now, terms)
	}
	m.gateway.ApplySettings(now, terms)
}

func (m *module) lend(now decide.Time, addr string, born decide.Time, units float64, till decide.Time) float64 {
	if m.tap != nil {
		m.tap.Allocated(now, addr, born, units, till)
	}
	return m.gateway.AllocateSlowStart(now, addr, born, units, till)
}

// ApplyEndpointList tells a module of a list. One that is not whole leaves out what has not changed.
func ApplyEndpointList(g *decide.Scheduler, now decide.Time, l listing.List, whole bool) {
	g.BeginEndpointList(now, whole, l.Stale)
	for _, n := range l.Nodes {
		g.UpdateEndpoint(n.Addr, n.Zone, n.Shard, n.StartedAt, standings[n.Health])
	}
	g.FinishEndpointList()
}

func (m *module) take(now decide.Time, j *decide.Request, w *RequestSpec) {
	if m.tap != nil {
		m.tap.Submitted(now, j, w.Volume.ID, w.Volume.ServiceLevel, w.Class, w.Volume.Gateways, w.HasKey)
	}
	m.gateway.Submit(now, j, w.Volume.ID, w.Volume.ServiceLevel, w.Class, w.Volume.Gateways, w.HasKey)
}

func (m *module) ended(now decide.Time, e *decide.Attempt, o decide.Outcome, final bool, a node.Reply) {
	took := now - e.SentAt
	if m.tap != nil {
		m.tap.AttemptEnded(now, e.Request.ID, e.Number, o, took, final, a.UnitsElsewhere, a.InFlight, int64(a.Latency))
	}
	m.gateway.AttemptFinished(now, e.Request.ID, e.Number, o, took, final, a.UnitsElsewhere)
}

func (m *module) left(now decide.Time, j *decide.Request) {
	if m.tap != nil {
		m.tap.ClientCancelled(now, j.ID)
	}
	m.gateway.ClientLeft(now, j.ID)
}

func (m *module) decide(now decide.Time) *decide.Decision {
	d := m.gateway.Decide(now)
	if m.tap != nil {
		m.tap.Decided(now, d)
		if m.tap.NeedsSnapshot() {
			m.tap.Snapshot(now, m.gateway)
		}
	}
	return d
}

var standings = map[listing.Health]decide.EndpointState{listing.Ready: decide.EndpointReady, listing.Draining: decide.EndpointDraining,
	listing.Removed: decide.EndpointRemoved, listing.Unhealthy: decide.EndpointRemoved}

// outcomes by the connections' words. What a node carried out is served, whatever the operation's result.
var outcomes = [...]decide.Outcome{node.Failed: decide.OutcomeError, node.Executed: decide.OutcomeServed, node.QueueFull: decide.OutcomeOverloaded,
	node.WrongShard: decide.OutcomeMisdirected, node.ConnectFailed: decide.OutcomeConnectFailed, node.ConnectionReset: decide.OutcomeReset}
