package audit

import (
	"cmp"
	"slices"
)

// SlowStartSummary is what cold nodes went through.
type SlowStartSummary struct {
	Nodes         int     `json:"nodes"`  // that started cold
	Overloaded    int     `json:"fallen"` // that were pushed over
	PeakRatio     float64 `json:"worst"`  // the most that one was sent in a window, as a part of what it bore
	UnitsSent     float64 `json:"units"`  // sent to cold nodes in all
	UnitsPossible float64 `json:"could"`  // units that they could do in that time
}

// SummarizeSlowStart tells it from a record.
func SummarizeSlowStart(events []Event, t Parameters) SlowStartSummary {
	d := &day{terms: t, events: slices.Clone(events)}
	slices.SortStableFunc(d.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	c := SlowStartSummary{}
	d.windows(func(_ Event, _ int64, units, sum, most float64) {
		c.PeakRatio, c.UnitsSent = max(c.PeakRatio, sum/most), c.UnitsSent+units
	}, func(b Event, until int64) {
		c.Nodes++
		for at := b.At; at < until; at += 1e7 {
			c.UnitsPossible += t.can(b, at) / 100
		}
	}, func(Event) { c.Overloaded++ })
	return c
}

// can is what a cold node can do at a time, in units a second.
func (t Parameters) can(b Event, at int64) float64 {
	return b.Rate * (t.SlowStartFrom + (1-t.SlowStartFrom)*float64(at-b.At)/float64(t.SlowStartTime))
}

// windows walks over what cold nodes get: got is told of each execution with its node's age, and of what has come within a window up to
// it beside what is borne; began of each start, and until when it is cold; fell of each that is pushed over.
func (d *day) windows(got func(e Event, age int64, units, sum, most float64), began func(b Event, until int64), fell func(Event)) {
	born := map[string]Event{}
	type sent struct {
		at    int64
		units float64
	}
	window := map[string][]sent{}
	end := int64(0)
	for _, e := range d.events {
		if e.Type == AttemptReceived {
			end = e.At
		}
	}
	for _, e := range d.events {
		switch e.Type {
		case NodeStarted:
			born[e.Node], window[e.Node] = e, nil
			if e.Rate > 0 && d.terms.SlowStartTime > 0 {
				began(e, min(e.At+d.terms.SlowStartTime, end))
			}
		case NodeOverloaded:
			fell(e)
		case AttemptReceived:
			b, known := born[e.Node]
			age := e.At - b.At
			if !known || b.Rate <= 0 || age > d.terms.SlowStartTime || d.terms.SlowStartTime == 0 {
				continue
			}
			w := append(window[e.Node], sent{e.At, e.Units})
			for w[0].at < e.At-d.terms.SlowStartWindow {
				w = w[1:]
			}
			window[e.Node] = w
			sum := 0.0
			for _, s := range w {
				sum += s.units
			}
			most := max(d.terms.SlowStartMultiple*d.terms.can(b, e.At)*float64(d.terms.SlowStartWindow)/1e9, d.terms.SlowStartFreeUnits)
			got(e, age, e.Units, sum, most)
		}
	}
}

// cold: what all gateways send to a node that has just started, in any window, stays under the multiple of what it can
// do then, or under what it always bears; and none was pushed over.
func (d *day) cold() RuleResult {
	r := RuleResult{Name: RuleSlowStart}
	d.windows(func(e Event, age int64, _, sum, most float64) {
		if r.Checked++; sum > most {
			r.breaks("%s gets %.1f units in a window at age %d ms, %.1f are borne", e.Node, sum, age/1e6, most)
		}
	}, func(Event, int64) { r.Checked++ }, func(e Event) { r.breaks("%s was pushed over", e.Node) })
	return r
}
