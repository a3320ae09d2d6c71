package scheduler

import (
	"cmp"
	"slices"
)

// ApplySettings has the gateway act on other terms from now on. What is out goes on, and each job keeps the strictest
// kind that has counted since it was taken. Of a plan or product that is left out, what waits is given up at
// once, nothing is sent again, and what comes is dismissed, until it is named again.
func (g *Scheduler) ApplySettings(now Time, terms Settings) {
	g.now, g.agreed = now, true
	if terms.span("further.window") > g.terms.span("further.window") { // what was sent before is not all known
		most := terms.number("further.free") + terms.number("further.share")*float64(len(g.takes))
		g.further = slices.Repeat([]Time{now}, 1+int(most))
	}
	g.terms = terms
	g.settle()
	for _, v := range g.volumes {
		if v.RateLimit.Rate <= 0 { // where there was none, nothing tells what was sent: it begins empty
			v.RateLimit = TokenBucket{UpdatedAt: now}
		}
		v.RateLimit.resize(now, v.ServiceLevel.RateLimit/v.GatewayCount, v.ServiceLevel.Burst/v.GatewayCount)
		g.served(v, 0, 0)
	}
	for _, j := range g.jobs { // no order reaches an action here
		if p := g.products[j.Class.Name]; p != j.Class && !j.State.Terminal() {
			if p.Ordered && !j.Class.Ordered { // those that come later wait until it is surely over
				l := cmp.Or(g.lines[j.Key], &KeyQueue{})
				l.BlockedUntil, g.lines[j.Key] = max(l.BlockedUntil, j.Deadline), l
			}
			j.Class = stricter(j.Class, p)
		}
	}
	for _, n := range g.nodes {
		for _, f := range n.Flows {
			for _, j := range slices.Clone(f.Queue) {
				if j.barred() {
					g.giveUp(j)
				}
			}
		}
	}
	g.log("other terms: %d plans and %d products are known, %d jobs", len(g.plans), len(g.products), len(g.jobs))
}

// settle takes plans and products from the terms. A plan stays the same object, so that its volumes stay its.
func (g *Scheduler) settle() {
	for _, p := range g.plans {
		p.Removed = true
	}
	for _, p := range g.products {
		p.Removed = true
	}
	reserves, rates, weights := false, 0.0, 0.0
	for i := range g.terms.count("plans") {
		p := g.terms.plan(i)
		p.Weight = cmp.Or(max(p.Weight, 0), 1)
		reserves = reserves || p.Reserve > 0
		rates, weights = rates+p.NominalRate, weights+p.Weight
		o := cmp.Or(g.plans[p.Name], &ServiceLevel{})
		p.EarlyLeaveShare, p.EarlyLeaveAfter, p.ClientsLeaveEarly = o.EarlyLeaveShare, o.EarlyLeaveAfter, o.ClientsLeaveEarly
		*o, g.plans[p.Name] = *p, o
	}
	g.fairRate = rates / max(weights, 1e-3)
	for _, p := range g.plans { // where no plan reserves, a multiple of what it is sized for stands in
		if !reserves {
			p.Reserve = standIn * p.NominalRate
		}
	}
	g.aim = 0
	for i := range g.terms.count("products") {
		p := g.terms.product(i)
		if p.LatencyObjective > 0 && (g.aim == 0 || p.LatencyObjective < g.aim) {
			g.aim = p.LatencyObjective
		}
		p.LongestTimeLeft = cmp.Or(g.products[p.Name], p).LongestTimeLeft
		g.products[p.Name] = p
	}
	g.aim, g.mean = max(g.aim, Millisecond), max(g.terms.number("units.mean"), 1e-3)
}

// stricter is a product under which a repeat is allowed only where it is under both.
func stricter(a, b *RequestClass) *RequestClass {
	p := *b
	switch p.DedupWindow = min(a.DedupWindow, b.DedupWindow); {
	case a.Idempotency == Idempotent:
		return b
	case b.Idempotency == Idempotent:
		p.Idempotency, p.DedupScope, p.DedupWindow = a.Idempotency, a.DedupScope, a.DedupWindow
	case a.Idempotency == NonIdempotent || a.DedupScope != b.DedupScope: // no node is sure to know of a repeat under both
		p.Idempotency = NonIdempotent
	}
	return &p
}
