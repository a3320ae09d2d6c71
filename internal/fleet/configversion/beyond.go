package configversion

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"irispost/internal/endpoint"
)

// Exceeds tells what a allows that b does not, in words; nothing: a is within b, so whoever acts on a does not contradict b.
// What may differ without harm (weights, rates, reserves, goals, patience, names) is left out.
func Exceeds(a, b *Config) (list []string) {
	note := func(is bool, format string, args ...any) {
		if is {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	note(a.RequiredFormat < b.RequiredFormat, "form: %d knows less than %d", a.RequiredFormat, b.RequiredFormat)
	for _, name := range sorted(a.ServiceLevels) {
		p := a.ServiceLevels[name]
		q, there := b.ServiceLevels[name]
		note(!there, "plan %s: not in the other", name)
		if there {
			note(p.limit() > q.limit(), "plan %s: limit %s over %s", name, amount(p.limit()), amount(q.limit()))
			note(p.Burst > q.Burst, "plan %s: burst %v over %v", name, p.Burst, q.Burst)
			note(p.Slack > q.Slack, "plan %s: slack %v over %v", name, p.Slack, q.Slack)
		}
	}
	for _, name := range sorted(a.RequestClasses) {
		p := a.RequestClasses[name]
		q, there := b.RequestClasses[name]
		note(!there, "product %s: not in the other", name)
		if there {
			note(meetKind(p.Idempotency, q.Idempotency) != p.Idempotency, "product %s: %s, where it is %s", name, p.Idempotency, q.Idempotency)
			note(p.DedupWindow > q.DedupWindow, "product %s: repeats for %d, known for %d", name, p.DedupWindow, q.DedupWindow)
			note(q.Ordered && !p.Ordered, "product %s: out of turn", name)
		}
	}
	c, d := a.SlowStart, b.SlowStart
	note(c.InitialShare > d.InitialShare || c.Duration < d.Duration || c.FairShareMultiple > d.FairShareMultiple || c.MinimumUnits > d.MinimumUnits || c.Window != d.Window && (c.FairShareMultiple > 0 || c.MinimumUnits > 0),
		"cold nodes: %s over %s", c.text(), d.text())
	f, g := a.RetryBudget, b.RetryBudget
	note(f.FreeRetries > g.FreeRetries || f.RequestShare > g.RequestShare || f.Window != g.Window && (f.FreeRetries > 0 || f.RequestShare > 0), "further executions: %s over %s", f.text(), g.text())
	s, t := a.Dispatch, b.Dispatch
	note(s.MaxAttempts > t.MaxAttempts, "executions of a job: %d over %d", s.MaxAttempts, t.MaxAttempts)
	note(s.Hedging && !t.Hedging, "second copies")
	note(s.Cancellation && !t.Cancellation, "calling off")
	note(s.RetryAfter && !t.RetryAfter || s.MaxRetryAfter > t.MaxRetryAfter, "advice in dismissals")
	note(s.KeyCooldown < t.KeyCooldown, "rest of a key: %d under %d", s.KeyCooldown, t.KeyCooldown)
	for _, addr := range sorted(a.Nodes) {
		n := a.Nodes[addr]
		if n.Health != endpoint.Ready {
			continue
		}
		note(a.Shards != b.Shards, "node %s: one of %d shards, where there are %d", addr, a.Shards, b.Shards)
		o, there := b.Nodes[addr]
		switch {
		case !there:
			note(true, "node %s: not in the other", addr)
		case n.Shard != o.Shard:
			note(true, "node %s: shard %d, where it is %d", addr, n.Shard, o.Shard)
		case o.Health != endpoint.Ready:
			note(true, "node %s: served, where it drains or is gone", addr)
		default:
			note(n.StartedAt < o.StartedAt, "node %s: started anew since", addr)
		}
	}
	return list
}

func (c SlowStart) text() string {
	return fmt.Sprintf("{From:%v Time:%d Multiple:%v Window:%d Units:%v}", c.InitialShare, c.Duration, c.FairShareMultiple, c.Window, c.MinimumUnits)
}

func (f RetryBudget) text() string {
	return fmt.Sprintf("{Window:%d Free:%v Share:%v}", f.Window, f.FreeRetries, f.RequestShare)
}

func amount(n float64) string {
	if math.IsInf(n, 1) {
		return "none"
	}
	return strconv.FormatFloat(n, 'g', -1, 64)
}

// Conflicts tells what two gateways that act on the one and on the other may do against each other: what either has beyond
// the other.
func Conflicts(a, b *Config) []string {
	list := append(Exceeds(a, b), Exceeds(b, a)...)
	slices.Sort(list)
	return slices.Compact(list)
}
