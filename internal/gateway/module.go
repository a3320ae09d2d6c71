package gateway

import (
	"irispost/decide"
	"irispost/internal/listing"
	"irispost/internal/node"
)

// module is the one narrow place through which the decision module is told things and asked. Nothing else calls it,
// and it is handed nothing that does not pass here: no clock, no chance, no order but that of these calls.
type module struct {
	gateway *decide.Gateway
}

func (m *module) start(now decide.Time, seed uint64, terms decide.Terms) {
	m.gateway = decide.New(now, seed, terms)
}

func (m *module) listed(now decide.Time, l listing.List) {
	m.gateway.Listing(now, true, l.Stale)
	for _, n := range l.Nodes {
		m.gateway.Listed(n.Addr, n.Zone, n.Shard, n.Born, standings[n.Standing])
	}
	m.gateway.ListDone()
}

func (m *module) take(now decide.Time, j *decide.Job, w *Work) {
	m.gateway.Take(now, j, w.Volume.ID, w.Volume.Plan, w.Product, w.Volume.Hosts, w.Keyed)
}

func (m *module) ended(now decide.Time, e *decide.Execution, o decide.Outcome, final bool, others float64) {
	m.gateway.Ended(now, e.Job.ID, e.Number, o, now-e.Sent, final, others)
}

func (m *module) left(now decide.Time, j *decide.Job) { m.gateway.Left(now, j.ID) }

func (m *module) decide(now decide.Time) *decide.Decision { return m.gateway.Decide(now) }

var standings = map[listing.Standing]decide.Standing{listing.Ready: decide.Ready, listing.Draining: decide.Draining,
	listing.Gone: decide.Gone}

// outcomes by the connections' words. What a node carried out is served, whatever the operation's result.
var outcomes = [...]decide.Outcome{node.Erred: decide.Erred, node.Served: decide.Served, node.Full: decide.Full,
	node.Moot: decide.Moot, node.Unconnected: decide.Unconnected, node.Reset: decide.Reset}
