package budget

import (
	"cmp"
	"math"
	"slices"
)

// Ask is what a gateway asks a node's dealer for.
type Ask struct {
	Who   string  `json:"who"`   // its name and its start: one that starts anew is another
	Seq   uint64  `json:"seq"`   // counts its asks of this node
	Want  float64 `json:"want"`  // units of work that wait
	Least float64 `json:"least"` // of the smallest job: less is of no use
	Worth float64 `json:"worth"` // of the dearest work, for each unit
	Back  float64 `json:"back"`  // units of the last loan that were not used and never will be
}

// Loan is what a gateway may send to the node, within the terms' time from when it asked.
type Loan struct {
	Who   string  `json:"who"`
	Seq   uint64  `json:"seq"` // of the ask
	Units float64 `json:"units"`
}

// holder is a gateway as its dealer knows it.
type holder struct {
	seq   uint64
	units float64 // lent and not told of since
	until Time    // on the dealer's clock: the holder's time has passed by then for certain
	fed   Time    // when it got a loan last
	ask   *Ask    // that waits; nil: none does
}

// Dealer has one node's budget.
type Dealer struct {
	terms   Terms
	flaws   Flaws
	born    Time // when the node started, on this clock; it may lie before 0
	ready   float64
	out     float64
	at      Time
	rate    float64
	holders map[string]*holder
}

// NewDealer makes a dealer for a node that started so long ago. Nothing is ready: another may have lent all a moment before.
func NewDealer(now Time, t Terms, age Time, rate float64, f Flaws) *Dealer {
	d := &Dealer{terms: t, flaws: f, born: now - age, at: now, rate: rate, holders: map[string]*holder{}}
	if f.Has(FullStart) {
		d.ready, _ = t.dealt(age, rate)
	}
	return d
}

// Rate tells what a warm node answers, in units a second, as far as is known now.
func (d *Dealer) Rate(now Time, rate float64) {
	d.fill(now)
	d.rate = rate
}

// Restarted tells that the node started anew so long ago. What is out is not counted as gone: its holders may not know yet.
func (d *Dealer) Restarted(now Time, age Time) {
	d.fill(now)
	d.ready, d.born = 0, now-age
}

// Warm tells that the node needs no dealer any more.
func (d *Dealer) Warm(now Time) bool { return now-d.born >= d.terms.Warm }

// fill brings the dealer up to now: what has run out is gone, and what flows in is ready as far as there is room.
func (d *Dealer) fill(now Time) {
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
	if d.flaws.Has(IgnoresOut) {
		room = most
	}
	d.ready = max(min(d.ready, room), 0)
}

// Asked takes an ask in. One that is older than what was heard from its gateway already is left: false.
func (d *Dealer) Asked(now Time, a *Ask) bool {
	d.fill(now)
	h := d.holders[a.Who]
	if h == nil {
		h = &holder{}
		d.holders[a.Who] = h
	}
	if a.Seq <= h.seq && !d.flaws.Has(TakesOld) || bad(a.Want) || bad(a.Least) || bad(a.Back) || math.IsNaN(a.Worth) {
		return false
	}
	h.seq, h.ask = a.Seq, a
	back := min(a.Back, h.units) // what ran out in between has been given up for lost
	if d.flaws.Has(BelievesBack) {
		back = a.Back
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

// Deal lends to those that wait, the dearest work first and among equals who was fed longest ago. Who gets nothing waits on.
func (d *Dealer) Deal(now Time) (list []Loan) {
	d.fill(now)
	var wait []*holder
	for _, h := range d.holders {
		if h.ask != nil {
			wait = append(wait, h)
		}
	}
	slices.SortFunc(wait, func(a, b *holder) int {
		return cmp.Or(-cmp.Compare(a.ask.Worth, b.ask.Worth), cmp.Compare(a.fed, b.fed), cmp.Compare(a.ask.Who, b.ask.Who))
	})
	for _, h := range wait {
		a := h.ask
		if a.Want <= 0 { // it only gives back, or asks whether there is a dealer
			h.ask = nil
			list = append(list, Loan{Who: a.Who, Seq: a.Seq})
			continue
		}
		units := min(a.Want, d.ready)
		if units < a.Least || units <= 0 {
			continue // a smaller job of another's may still fit
		}
		d.ready -= units
		d.out += units
		h.units, h.until, h.fed, h.ask = units, now+d.terms.longer(), now, nil
		if d.flaws.Has(NoDrift) {
			h.until = now + d.terms.For/2
		}
		list = append(list, Loan{Who: a.Who, Seq: a.Seq, Units: units})
	}
	return list
}

// Stock is what is ready and what is out, in units.
func (d *Dealer) Stock(now Time) (ready, out float64) {
	d.fill(now)
	return d.ready, d.out
}

// Gone tells that who asked does not wait for an answer any more. What was lent stays out for its time.
func (d *Dealer) Gone(who string) {
	if h := d.holders[who]; h != nil {
		h.ask = nil
	}
}

// Next is when to deal again, at the latest: when the first of those that wait may have enough; 0: nobody waits.
func (d *Dealer) Next(now Time) Time {
	_, flow := d.terms.dealt(now-d.born, d.rate)
	least := math.Inf(1)
	for _, h := range d.holders {
		if h.ask != nil && h.ask.Want > 0 {
			least = min(least, h.ask.Least)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	wait := max(least-d.ready, 0) / max(flow, 1e-9) * float64(second)
	return now + max(Time(min(wait, float64(d.terms.Window))), 1e6)
}

// Forget drops holders that owe nothing and were not heard of for so long.
func (d *Dealer) Forget(now, after Time) {
	for who, h := range d.holders {
		if h.ask == nil && h.units == 0 && now-h.fed > after {
			delete(d.holders, who)
		}
	}
}
