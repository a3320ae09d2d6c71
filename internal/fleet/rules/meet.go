package rules

import (
	"math"

	"irispost/internal/listing"
)

// limit is a plan's limit, where none is more than any.
func (p Plan) limit() float64 {
	if p.Limit == 0 {
		return math.Inf(1)
	}
	return p.Limit
}

// meetKind is the most that both kinds allow.
func meetKind(a, b Kind) Kind {
	switch {
	case a == b || ranks[a] > ranks[b]:
		return a
	case ranks[a] < ranks[b]:
		return b
	}
	return Once // a zone and a shard: no node is sure to know of a repeat under both
}

// Meet is the loosest that is looser than neither: what both allow. A shard whose owner differs is served by none, a plan or
// product that only one knows by none either, a node that one of them leaves out or drains is left alone.
func Meet(a, b *Rules) *Rules {
	m := &Rules{Needs: max(a.Needs, b.Needs), Shards: min(a.Shards, b.Shards), Mean: min(a.Mean, b.Mean),
		Plans: map[string]Plan{}, Products: map[string]Product{}, Nodes: map[string]Node{},
		Cold: Cold{From: min(a.Cold.From, b.Cold.From), Time: max(a.Cold.Time, b.Cold.Time),
			Multiple: min(a.Cold.Multiple, b.Cold.Multiple), Window: max(a.Cold.Window, b.Cold.Window), Units: min(a.Cold.Units, b.Cold.Units)},
		Further: Further{Window: max(a.Further.Window, b.Further.Window), Free: min(a.Further.Free, b.Further.Free),
			Share: min(a.Further.Share, b.Further.Share)},
		Sending: Sending{Most: min(a.Sending.Most, b.Sending.Most), SecondCopies: a.Sending.SecondCopies && b.Sending.SecondCopies,
			CallingOff: a.Sending.CallingOff && b.Sending.CallingOff, Advice: a.Sending.Advice && b.Sending.Advice,
			AdviceMost: min(a.Sending.AdviceMost, b.Sending.AdviceMost), KeyRest: max(a.Sending.KeyRest, b.Sending.KeyRest)},
		Floor: Floor{For: min(a.Floor.For, b.Floor.For), Limits: min(a.Floor.Limits, b.Floor.Limits), Writes: a.Floor.Writes && b.Floor.Writes}}
	if a.Cold.Window != b.Cold.Window { // what two windows allow together is under either with nothing beyond the first units
		m.Cold.Multiple, m.Cold.Units = 0, 0
	}
	if a.Further.Window != b.Further.Window {
		m.Further.Free, m.Further.Share = 0, 0
	}
	for name, p := range a.Plans {
		q, both := b.Plans[name]
		if !both {
			continue
		}
		least := min(p.limit(), q.limit())
		if math.IsInf(least, 1) {
			least = 0
		}
		m.Plans[name] = Plan{Weight: min(p.Weight, q.Weight), Rate: min(p.Rate, q.Rate), Reserve: min(p.Reserve, q.Reserve), Limit: least,
			Burst: min(p.Burst, q.Burst), Slack: min(p.Slack, q.Slack)}
	}
	for name, p := range a.Products {
		if q, both := b.Products[name]; both {
			m.Products[name] = Product{Kind: meetKind(p.Kind, q.Kind), Goal: min(p.Goal, q.Goal), Patience: min(p.Patience, q.Patience),
				Window: min(p.Window, q.Window), InTurn: p.InTurn || q.InTurn}
		}
	}
	for addr, n := range a.Nodes {
		if o, both := b.Nodes[addr]; both && a.Shards == b.Shards { // where data lies goes by the number of shards
			m.Nodes[addr] = meetNodes(n, o)
		}
	}
	return m
}

// meetNodes is a node as both have it.
func meetNodes(a, b Node) Node {
	m := Node{Name: min(a.Name, b.Name), Zone: min(a.Zone, b.Zone), Shard: min(a.Shard, b.Shard), Born: max(a.Born, b.Born),
		Standing: max(order(a.Standing), order(b.Standing)), Weight: min(a.Weight, b.Weight)}
	if a.Shard != b.Shard {
		m.Standing = listing.Gone // it holds the data of one shard only, and which is what they differ on
	}
	return m
}

// order has unwell and gone be the same, as both are left alone at once.
func order(s listing.Standing) listing.Standing {
	if s == listing.Unwell {
		return listing.Gone
	}
	return s
}
