package decide

import (
	"cmp"
	"slices"
)

// Agree has the gateway act on other terms from now on. What is out goes on, and each job keeps the strictest
// kind that has counted since it was taken. Of a plan or product that is left out, what waits is given up at
// once, nothing is sent again, and what comes is dismissed, until it is named again.
func (g *Gateway) Agree(now Time, terms Terms) {
	g.now, g.agreed = now, true
	if terms.span("further.window") > g.terms.span("further.window") { // what was sent before is not all known
		most := terms.number("further.free") + terms.number("further.share")*float64(len(g.takes))
		g.further = slices.Repeat([]Time{now}, 1+int(most))
	}
	g.terms = terms
	g.settle()
	for _, v := range g.volumes {
		if v.Limit.Rate <= 0 { // where there was none, nothing tells what was sent: it begins empty
			v.Limit = Store{At: now}
		}
		v.Limit.resize(now, v.Plan.Limit/v.Hosts, v.Plan.Burst/v.Hosts)
		g.served(v, 0, 0)
	}
	for _, j := range g.jobs { // no order reaches an action here
		if p := g.products[j.Product.Name]; p != j.Product && !j.State.Over() {
			if p.InTurn && !j.Product.InTurn { // those that come later wait until it is surely over
				l := cmp.Or(g.lines[j.Key], &Line{})
				l.RestUntil, g.lines[j.Key] = max(l.RestUntil, j.StopBy), l
			}
			j.Product = stricter(j.Product, p)
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
func (g *Gateway) settle() {
	for _, p := range g.plans {
		p.Out = true
	}
	for _, p := range g.products {
		p.Out = true
	}
	reserves, rates, weights := false, 0.0, 0.0
	for i := range g.terms.count("plans") {
		p := g.terms.plan(i)
		p.Weight = cmp.Or(max(p.Weight, 0), 1)
		reserves = reserves || p.Reserve > 0
		rates, weights = rates+p.Rate, weights+p.Weight
		o := cmp.Or(g.plans[p.Name], &Plan{})
		p.Leaving, p.Leaves, p.Hurried = o.Leaving, o.Leaves, o.Hurried
		*o, g.plans[p.Name] = *p, o
	}
	g.fairRate = rates / max(weights, 1e-3)
	for _, p := range g.plans { // where no plan reserves, a multiple of what it is sized for stands in
		if !reserves {
			p.Reserve = standIn * p.Rate
		}
	}
	g.aim = 0
	for i := range g.terms.count("products") {
		p := g.terms.product(i)
		if p.Goal > 0 && (g.aim == 0 || p.Goal < g.aim) {
			g.aim = p.Goal
		}
		p.Share = cmp.Or(g.products[p.Name], p).Share
		g.products[p.Name] = p
	}
	g.aim, g.mean = max(g.aim, Millisecond), max(g.terms.number("units.mean"), 1e-3)
}

// stricter is a product under which a repeat is allowed only where it is under both.
func stricter(a, b *Product) *Product {
	p := *b
	switch p.Window = min(a.Window, b.Window); {
	case a.Kind == Replayable:
		return b
	case b.Kind == Replayable:
		p.Kind, p.Group, p.Window = a.Kind, a.Group, a.Window
	case a.Kind == SingleUse || a.Group != b.Group: // no node is sure to know of a repeat under both
		p.Kind = SingleUse
	}
	return &p
}
