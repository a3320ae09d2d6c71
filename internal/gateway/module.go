package gateway

import (
	"irispost/decide"
	"irispost/internal/listing"
	"irispost/internal/node"
)

// Tap is told all that the module is told, and what it decides, in the same order.
type Tap interface {
	Start(now decide.Time, seed uint64, terms decide.Terms)
	Listed(now decide.Time, l listing.List)
	ListedPart(now decide.Time, l listing.List, whole bool)
	ListFailed(now decide.Time, silent bool)
	Agreed(now decide.Time, terms decide.Terms)
	Lent(now decide.Time, addr string, born decide.Time, units float64, till decide.Time)
	Take(now decide.Time, j *decide.Job, volume int64, plan, product string, hosts float64, keyed bool)
	Ended(now decide.Time, job string, number int, o decide.Outcome, took decide.Time, final bool, others float64, inflight int,
		latency decide.Time)
	Left(now decide.Time, job string)
	Decided(now decide.Time, d *decide.Decision)
	State(now decide.Time, g *decide.Gateway) // asked for when it begins to listen, and when it is blind
	Blind() bool
}

// module is the one narrow place through which the decision module is told things and asked. Nothing else calls it,
// and it is handed nothing that does not pass here: no clock, no chance, no order but that of these calls.
type module struct {
	gateway *decide.Gateway
	tap     Tap // nil: none
}

func (m *module) start(now decide.Time, seed uint64, terms decide.Terms) {
	if m.tap != nil {
		m.tap.Start(now, seed, terms)
	}
	m.gateway = decide.New(now, seed, terms)
}

// listen has a tap told of all from now on, or nobody (nil).
func (m *module) listen(now decide.Time, t Tap) {
	if m.tap = t; t != nil {
		t.State(now, m.gateway)
	}
}

func (m *module) listed(now decide.Time, l listing.List) {
	switch {
	case m.tap == nil:
	case l.Part:
		m.tap.ListedPart(now, l, false)
	default:
		m.tap.Listed(now, l)
	}
	Tell(m.gateway, now, l, !l.Part)
}

func (m *module) listFailed(now decide.Time, silent bool) {
	if m.tap != nil {
		m.tap.ListFailed(now, silent)
	}
	m.gateway.ListFailed(now, silent)
}

func (m *module) agree(now decide.Time, terms decide.Terms) {
	if m.tap != nil {
		m.tap.Agreed(now, terms)
	}
	m.gateway.Agree(now, terms)
}

func (m *module) lend(now decide.Time, addr string, born decide.Time, units float64, till decide.Time) float64 {
	if m.tap != nil {
		m.tap.Lent(now, addr, born, units, till)
	}
	return m.gateway.Lend(now, addr, born, units, till)
}

// Tell tells a module of a list. One that is not whole leaves out what has not changed.
func Tell(g *decide.Gateway, now decide.Time, l listing.List, whole bool) {
	g.Listing(now, whole, l.Stale)
	for _, n := range l.Nodes {
		g.Listed(n.Addr, n.Zone, n.Shard, n.Born, standings[n.Standing])
	}
	g.ListDone()
}

func (m *module) take(now decide.Time, j *decide.Job, w *Work) {
	if m.tap != nil {
		m.tap.Take(now, j, w.Volume.ID, w.Volume.Plan, w.Product, w.Volume.Hosts, w.Keyed)
	}
	m.gateway.Take(now, j, w.Volume.ID, w.Volume.Plan, w.Product, w.Volume.Hosts, w.Keyed)
}

func (m *module) ended(now decide.Time, e *decide.Execution, o decide.Outcome, final bool, a node.Answer) {
	took := now - e.Sent
	if m.tap != nil {
		m.tap.Ended(now, e.Job.ID, e.Number, o, took, final, a.Others, a.Inflight, int64(a.Latency))
	}
	m.gateway.Ended(now, e.Job.ID, e.Number, o, took, final, a.Others)
}

func (m *module) left(now decide.Time, j *decide.Job) {
	if m.tap != nil {
		m.tap.Left(now, j.ID)
	}
	m.gateway.Left(now, j.ID)
}

func (m *module) decide(now decide.Time) *decide.Decision {
	d := m.gateway.Decide(now)
	if m.tap != nil {
		m.tap.Decided(now, d)
		if m.tap.Blind() {
			m.tap.State(now, m.gateway)
		}
	}
	return d
}

var standings = map[listing.Standing]decide.Standing{listing.Ready: decide.Ready, listing.Draining: decide.Draining,
	listing.Gone: decide.Gone, listing.Unwell: decide.Gone}

// outcomes by the connections' words. What a node carried out is served, whatever the operation's result.
var outcomes = [...]decide.Outcome{node.Erred: decide.Erred, node.Served: decide.Served, node.Full: decide.Full,
	node.Moot: decide.Moot, node.Unconnected: decide.Unconnected, node.Reset: decide.Reset}
