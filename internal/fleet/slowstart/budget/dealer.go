package budget

import (
	"cmp"
	"math"
	"slices"
)

// Request is what a gateway asks a node's dealer for.
type Request struct {
	Holder          string  `json:"who"`   // its name and its start: one that starts anew is another
	Seq             uint64  `json:"seq"`   // counts its asks of this node
	Demand          float64 `json:"want"`  // units of work that wait
	SmallestRequest float64 `json:"least"` // of the smallest job: less is of no use
	PriorityWeight  float64 `json:"worth"` // of the dearest work, for each unit
	Returned        float64 `json:"back"`  // units of the last loan that were not used and never will be
}

// Allocation is what a gateway may send to the node, within the terms' time from when it asked.
type Allocation struct {
	Holder string  `json:"who"`
	Seq    uint64  `json:"seq"` // of the ask
	Units  float64 `json:"units"`
}

// holder is a gateway as its dealer knows it.
type holder struct {
	seq   uint64
	units float64  // lent and not told of since
	until Time     // on the dealer's clock: the holder's time has passed by then for certain
	fed   Time     // when it got a loan last
	ask   *Request // that waits; nil: none does
}

// Allocator has one node's budget.
type Allocator struct {
	terms   Settings
	flaws   InjectedFaults
	born    Time // when the node started, on this clock; it may lie before 0
	ready   float64
	out     float64
	at      Time
	rate    float64
	holders map[string]*holder
}

// NewAllocator makes a dealer for a node that started so long ago. Nothing is ready: another may have lent all a moment before.
func NewAllocator(now Time, t Settings, age Time, rate float64, f InjectedFaults) *Allocator {
	d := &Allocator{terms: t, flaws: f, born: now - age, at: now, rate: rate, holders: map[string]*holder{}}
	if f.Has(FaultFullStart) {
		d.ready, _ = t.dealt(age, rate)
	}
	return d
}

// SetRate tells what a warm node answers, in units a second, as far as is known now.
func (d *Allocator) SetRate(now Time, rate float64) {
	d.fill(now)
	d.rate = rate
}

// NodeRestarted tells that the node started anew so long ago. What is out is not counted as gone: its holders may not know yet.
func (d *Allocator) NodeRestarted(now Time, age Time) {
	d.fill(now)
	d.ready, d.born = 0, now-age
}

// WarmedUp tells that the node needs no dealer any more.
func (d *Allocator) WarmedUp(now Time) bool { return now-d.born >= d.terms.WarmupTime }

// fill brings the dealer up to now: what has run out is gone, and what flows in is ready as far as there is room.
func (d *Allocator) fill(now Time) {
	for _, h := range d.holders {
		if h.units > 0 && now > h.until {
			d.out -= h.units
			h.units = 0
		}
	}
	most, flow := d.terms.dealt(now-d.born, d.rate)
	if span := now - d.at; span > 0 {
		d.ready += flow * float64(span) / float64(second)
		d.at = now
	}
	room := most - d.out
	if d.flaws.Has(FaultIgnoreOutstanding) {
		room = most
	}
	d.ready = max(min(d.ready, room), 0)
}

// HandleRequest takes an ask in. One that is older than what was heard from its gateway already is left: false.
func (d *Allocator) HandleRequest(now Time, a *Request) bool {
	d.fill(now)
	h := d.holders[a.Holder]
	if h == nil {
		h = &holder{}
		d.holders[a.Holder] = h
	}
	if a.Seq <= h.seq && !d.flaws.Has(FaultAcceptDuplicates) || bad(a.Demand) || bad(a.SmallestRequest) || bad(a.Returned) || math.IsNaN(a.PriorityWeight) {
		return false
	}
	h.seq, h.ask = a.Seq, a
	back := min(a.Returned, h.units) // what ran out in between has been given up for lost
	if d.flaws.Has(FaultTrustReturned) {
		back = a.Returned
	}
	if h.units > 0 { // what it has not given back, it has used
		d.out -= h.units
		h.units = 0
	}
	d.ready += back
	d.fill(now)
	return true
}

func bad(units float64) bool { return math.IsNaN(units) || units < 0 || units > 1e12 }

// Allocate lends to those that wait, the dearest work first and among equals who was fed longest ago. Who gets nothing waits on.
func (d *Allocator) Allocate(now Time) (list []Allocation) {
	d.fill(now)
	var wait []*holder
	for _, h := range d.holders {
		if h.ask != nil {
			wait = append(wait, h)
		}
	}
	slices.SortFunc(wait, func(a, b *holder) int {
		return cmp.Or(-cmp.Compare(a.ask.PriorityWeight, b.ask.PriorityWeight), cmp.Compare(a.fed, b.fed), cmp.Compare(a.ask.Holder, b.ask.Holder))
	})
	for _, h := range wait {
		a := h.ask
		if a.Demand <= 0 { // it only gives back, or asks whether there is a dealer
			h.ask = nil
			list = append(list, Allocation{Holder: a.Holder, Seq: a.Seq})
			continue
		}
		units := min(a.Demand, d.ready)
		if units < a.SmallestRequest || units <= 0 {
			continue // a smaller job of another's may still fit
		}
		d.ready -= units
		d.out += units
		h.units, h.until, h.fed, h.ask = units, now+d.terms.longer(), now, nil
		if d.flaws.Has(FaultEarlyExpiry) {
			h.until = now + d.terms.AllocationTime/2
		}
		list = append(list, Allocation{Holder: a.Holder, Seq: a.Seq, Units: units})
	}
	return list
}

// Usage is what is ready and what is out, in units.
func (d *Allocator) Usage(now Time) (ready, out float64) {
	d.fill(now)
	return d.ready, d.out
}

// CancelRequest tells that who asked does not wait for an answer any more. What was lent stays out for its time.
func (d *Allocator) CancelRequest(who string) {
	if h := d.holders[who]; h != nil {
		h.ask = nil
	}
}

// Next is when to deal again, at the latest: when the first of those that wait may have enough; 0: nobody waits.
func (d *Allocator) Next(now Time) Time {
	_, flow := d.terms.dealt(now-d.born, d.rate)
	least := math.Inf(1)
	for _, h := range d.holders {
		if h.ask != nil && h.ask.Demand > 0 {
			least = min(least, h.ask.SmallestRequest)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	wait := max(least-d.ready, 0) / max(flow, 1e-9) * float64(second)
	return now + max(Time(min(wait, float64(d.terms.Window))), 1e6)
}

// RemoveIdle drops holders that owe nothing and were not heard of for so long.
func (d *Allocator) RemoveIdle(now, after Time) {
	for who, h := range d.holders {
		if h.ask == nil && h.units == 0 && now-h.fed > after {
			delete(d.holders, who)
		}
	}
}
