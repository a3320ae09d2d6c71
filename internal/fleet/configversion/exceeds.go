package configversion

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"irispost/internal/endpoint"
)

// Exceeds describes, one line each, what a allows and b does not. If the list is empty, a gateway that acts on a does
// nothing that b forbids. Weights, nominal rates, reserves, latency objectives, timeouts and names are not compared,
// as gateways may differ in them without conflict.
func Exceeds(a, b *Config) []string {
	var found findings
	found.addIf(a.RequiredFormat < b.RequiredFormat, "required format: %d under %d", a.RequiredFormat, b.RequiredFormat)
	for _, name := range sortedNames(a.ServiceLevels) {
		found.addServiceLevel(name, a, b)
	}
	for _, name := range sortedNames(a.RequestClasses) {
		found.addRequestClass(name, a, b)
	}
	found.addSlowStart(a.SlowStart, b.SlowStart)
	found.addRetryBudget(a.RetryBudget, b.RetryBudget)
	found.addDispatch(a.Dispatch, b.Dispatch)
	for _, addr := range sortedNames(a.Nodes) {
		found.addNode(addr, a, b)
	}
	return found
}

// Conflicts lists what a gateway that acts on a may do and b forbids, and the reverse. Lines are sorted and unique.
func Conflicts(a, b *Config) []string {
	list := append(Exceeds(a, b), Exceeds(b, a)...)
	slices.Sort(list)
	return slices.Compact(list)
}

// findings lists what one configuration allows and another does not, one line each.
type findings []string

func (f *findings) addIf(found bool, format string, args ...any) {
	if found {
		*f = append(*f, fmt.Sprintf(format, args...))
	}
}

func (f *findings) addServiceLevel(name string, a, b *Config) {
	inA := a.ServiceLevels[name]
	inB, ok := b.ServiceLevels[name]
	if !ok {
		f.addIf(true, "plan %s: missing from the other", name)
		return
	}
	limitA, limitB := inA.effectiveLimit(), inB.effectiveLimit()
	f.addIf(limitA > limitB, "plan %s: limit %s over %s", name, formatLimit(limitA), formatLimit(limitB))
	f.addIf(inA.Burst > inB.Burst, "plan %s: burst %v over %v", name, inA.Burst, inB.Burst)
	f.addIf(inA.Slack > inB.Slack, "plan %s: slack %v over %v", name, inA.Slack, inB.Slack)
}

func (f *findings) addRequestClass(name string, a, b *Config) {
	inA := a.RequestClasses[name]
	inB, ok := b.RequestClasses[name]
	if !ok {
		f.addIf(true, "product %s: missing from the other", name)
		return
	}
	looser := stricter(inA.Idempotency, inB.Idempotency) != inA.Idempotency
	f.addIf(looser, "product %s: kind %q allows retries that %q forbids", name, inA.Idempotency, inB.Idempotency)
	longer := inA.DedupWindow > inB.DedupWindow
	f.addIf(longer, "product %s: window %d over %d", name, inA.DedupWindow, inB.DedupWindow)
	f.addIf(inB.Ordered && !inA.Ordered, "product %s: unordered, but ordered in the other", name)
}

func (f *findings) addSlowStart(a, b SlowStart) {
	looser := a.InitialShare > b.InitialShare ||
		a.Duration < b.Duration ||
		a.FairShareMultiple > b.FairShareMultiple ||
		a.MinimumUnits > b.MinimumUnits
	incomparable := a.Window != b.Window && (a.FairShareMultiple > 0 || a.MinimumUnits > 0)
	f.addIf(looser || incomparable, "cold nodes: %s over %s", a.text(), b.text())
}

func (s SlowStart) text() string {
	return fmt.Sprintf("{From:%v Time:%d Multiple:%v Window:%d Units:%v}",
		s.InitialShare, s.Duration, s.FairShareMultiple, s.Window, s.MinimumUnits)
}

func (f *findings) addRetryBudget(a, b RetryBudget) {
	looser := a.FreeRetries > b.FreeRetries || a.RequestShare > b.RequestShare
	incomparable := a.Window != b.Window && (a.FreeRetries > 0 || a.RequestShare > 0)
	f.addIf(looser || incomparable, "further executions: %s over %s", a.text(), b.text())
}

func (r RetryBudget) text() string {
	return fmt.Sprintf("{Window:%d Free:%v Share:%v}", r.Window, r.FreeRetries, r.RequestShare)
}

func (f *findings) addDispatch(a, b DispatchPolicy) {
	f.addIf(a.MaxAttempts > b.MaxAttempts, "executions of a request: %d over %d", a.MaxAttempts, b.MaxAttempts)
	f.addIf(a.Hedging && !b.Hedging, "second copies: allowed by one configuration only")
	f.addIf(a.Cancellation && !b.Cancellation, "calling off: allowed by one configuration only")
	f.addIf(a.RetryAfter && !b.RetryAfter || a.MaxRetryAfter > b.MaxRetryAfter,
		"retry advice: allowed by one configuration only, or with a longer maximum")
	f.addIf(a.KeyCooldown < b.KeyCooldown, "rest between requests of a key: %d under %d", a.KeyCooldown, b.KeyCooldown)
}

// addNode compares a node that is ready in a. A node that is not ready gets no requests, so it cannot exceed b.
func (f *findings) addNode(addr string, a, b *Config) {
	inA := a.Nodes[addr]
	if inA.Health != endpoint.Ready {
		return
	}
	f.addIf(a.Shards != b.Shards, "node %s: one of %d shards, but of %d in the other", addr, a.Shards, b.Shards)
	inB, ok := b.Nodes[addr]
	switch {
	case !ok:
		f.addIf(true, "node %s: missing from the other", addr)
	case inA.Shard != inB.Shard:
		f.addIf(true, "node %s: shard %d, but %d in the other", addr, inA.Shard, inB.Shard)
	case inB.Health != endpoint.Ready:
		f.addIf(true, "node %s: served, where it drains or is gone", addr)
	default:
		f.addIf(inA.StartedAt < inB.StartedAt, "node %s: restarted since, according to the other", addr)
	}
}

func formatLimit(limit float64) string {
	if math.IsInf(limit, 1) {
		return "none"
	}
	return strconv.FormatFloat(limit, 'g', -1, 64)
}
