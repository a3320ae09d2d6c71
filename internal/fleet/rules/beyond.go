package rules

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"irispost/internal/listing"
)

// Beyond tells what a allows that b does not, in words; nothing: a is within b, so whoever acts on a does not contradict b.
// What may differ without harm (weights, rates, reserves, goals, patience, names) is left out.
func Beyond(a, b *Rules) (list []string) {
	note := func(is bool, format string, args ...any) {
		if is {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	note(a.Needs < b.Needs, "form: %d knows less than %d", a.Needs, b.Needs)
	for _, name := range sorted(a.Plans) {
		p := a.Plans[name]
		q, there := b.Plans[name]
		note(!there, "plan %s: not in the other", name)
		if there {
			note(p.limit() > q.limit(), "plan %s: limit %s over %s", name, amount(p.limit()), amount(q.limit()))
			note(p.Burst > q.Burst, "plan %s: burst %v over %v", name, p.Burst, q.Burst)
			note(p.Slack > q.Slack, "plan %s: slack %v over %v", name, p.Slack, q.Slack)
		}
	}
	for _, name := range sorted(a.Products) {
		p := a.Products[name]
		q, there := b.Products[name]
		note(!there, "product %s: not in the other", name)
		if there {
			note(meetKind(p.Kind, q.Kind) != p.Kind, "product %s: %s, where it is %s", name, p.Kind, q.Kind)
			note(p.Window > q.Window, "product %s: repeats for %d, known for %d", name, p.Window, q.Window)
			note(q.InTurn && !p.InTurn, "product %s: out of turn", name)
		}
	}
	c, d := a.Cold, b.Cold
	note(c.From > d.From || c.Time < d.Time || c.Multiple > d.Multiple || c.Units > d.Units || c.Window != d.Window && (c.Multiple > 0 || c.Units > 0),
		"cold nodes: %s over %s", c.text(), d.text())
	f, g := a.Further, b.Further
	note(f.Free > g.Free || f.Share > g.Share || f.Window != g.Window && (f.Free > 0 || f.Share > 0), "further executions: %s over %s", f.text(), g.text())
	s, t := a.Sending, b.Sending
	note(s.Most > t.Most, "executions of a job: %d over %d", s.Most, t.Most)
	note(s.SecondCopies && !t.SecondCopies, "second copies")
	note(s.CallingOff && !t.CallingOff, "calling off")
	note(s.Advice && !t.Advice || s.AdviceMost > t.AdviceMost, "advice in dismissals")
	note(s.KeyRest < t.KeyRest, "rest of a key: %d under %d", s.KeyRest, t.KeyRest)
	for _, addr := range sorted(a.Nodes) {
		n := a.Nodes[addr]
		if n.Standing != listing.Ready {
			continue
		}
		note(a.Shards != b.Shards, "node %s: one of %d shards, where there are %d", addr, a.Shards, b.Shards)
		o, there := b.Nodes[addr]
		switch {
		case !there:
			note(true, "node %s: not in the other", addr)
		case n.Shard != o.Shard:
			note(true, "node %s: shard %d, where it is %d", addr, n.Shard, o.Shard)
		case o.Standing != listing.Ready:
			note(true, "node %s: served, where it drains or is gone", addr)
		default:
			note(n.Born < o.Born, "node %s: started anew since", addr)
		}
	}
	return list
}

func (c Cold) text() string {
	return fmt.Sprintf("{From:%v Time:%d Multiple:%v Window:%d Units:%v}", c.From, c.Time, c.Multiple, c.Window, c.Units)
}

func (f Further) text() string {
	return fmt.Sprintf("{Window:%d Free:%v Share:%v}", f.Window, f.Free, f.Share)
}

func amount(n float64) string {
	if math.IsInf(n, 1) {
		return "none"
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// Contradict tells what two gateways that act on the one and on the other may do against each other: what either has beyond
// the other.
func Contradict(a, b *Rules) []string {
	list := append(Beyond(a, b), Beyond(b, a)...)
	slices.Sort(list)
	return slices.Compact(list)
}
