package budget

import (
	"fmt"
	"os"
	"slices"
	"testing"
)

// A small model of one node's budget, gone through whole: a dealer whose place another may take once, two holders, each with at most so
// many asks, and every order of ticks, asks, deliveries, losses, repeats and uses. Clocks are one; drift is the simulation's.

const modelTick = Time(1e6)

var modelTerms = Settings{InitialFraction: 1, WarmupTime: 1e15, OverloadMultiple: 1, Window: 4 * modelTick, MinUnits: 16, AllocatedShare: 1, AllocationTime: 3 * modelTick}

type modelAsk struct {
	Request
	copied bool
}

type modelLoan struct {
	Allocation
	asked Time
}

type modelHolder struct {
	seq   uint64
	asked Time
	purse float64
	until Time
	waits bool
}

type modelState struct {
	now     Time
	dealer  *Allocator
	moved   Time // when another took the dealer's place; -1: none has
	holders [2]modelHolder
	asks    []modelAsk
	loans   []modelLoan
	sent    []struct {
		at    Time
		units float64
	}
	left int // asks that may still be made
	ends Time
	path string
}

func (s *modelState) clone(step string) *modelState {
	c := *s
	d := *s.dealer
	d.holders = map[string]*holder{}
	for who, h := range s.dealer.holders {
		o := *h
		d.holders[who] = &o
	}
	c.dealer = &d
	c.asks, c.loans, c.sent = slices.Clone(s.asks), slices.Clone(s.loans), slices.Clone(s.sent)
	c.path = s.path + " " + step
	return &c
}

func (s *modelState) key() string {
	k := fmt.Sprintf("%d %d %d %v %v %v|%.3f %.3f %d|", s.now, s.moved, s.left, s.holders, s.asks, s.loans, s.dealer.ready, s.dealer.out, s.dealer.at)
	for _, who := range []string{"0", "1"} {
		if h := s.dealer.holders[who]; h != nil {
			k += fmt.Sprintf("%d %.3f %d %t|", h.seq, h.units, h.until, h.ask != nil)
		}
	}
	return k + fmt.Sprint(s.sent)
}

// broken holds what can be sent at once, and what was sent in a window, against what is dealt out.
func (s *modelState) broken() string {
	ready, _ := s.dealer.Usage(s.now)
	could := ready
	for _, h := range s.holders {
		if s.now < h.until {
			could += h.purse
		}
	}
	for _, l := range s.loans {
		if h := s.holders[int(l.Holder[0]-'0')]; l.Seq == h.seq && h.waits && s.now < l.asked+modelTerms.AllocationTime {
			could += l.Units
		}
	}
	moved := Time(0)
	if s.moved >= 0 && s.now-s.moved <= modelTerms.longer() {
		moved = s.now - s.moved
	}
	if most := modelTerms.MaxOutstanding(s.now, 1, moved); could > most+1e-6 {
		return fmt.Sprintf("%.2f units can be sent at once, %.2f may be", could, most)
	}
	sum := 0.0
	for _, e := range s.sent {
		if e.at > s.now-modelTerms.Window {
			sum += e.units
		}
	}
	if most := modelTerms.AllocatedShare * modelTerms.Capacity(s.now, 1); sum > most+1e-6 {
		return fmt.Sprintf("%.2f units in a window, %.2f are dealt out", sum, most)
	}
	return ""
}

// next are the states that can follow.
func (s *modelState) next(f InjectedFaults) (list []*modelState) {
	if s.now < s.ends {
		c := s.clone("tick")
		c.now += modelTick
		list = append(list, c)
	}
	for i := range s.holders {
		h := &s.holders[i]
		if s.left > 0 && len(s.asks)+len(s.loans) < 2 {
			c := s.clone(fmt.Sprint("ask", i))
			o := &c.holders[i]
			o.seq++
			a := Request{Holder: fmt.Sprint(i), Seq: o.seq, Demand: 8, SmallestRequest: 1, PriorityWeight: 1}
			if s.now < h.until {
				a.Returned = h.purse
			}
			if o.asked, o.waits = s.now, true; !f.Has(FaultUseReturned) {
				o.purse = 0
			}
			c.left--
			c.asks = append(c.asks, modelAsk{Request: a})
			list = append(list, c)
		}
		if h.purse > 0 && s.now < h.until {
			c := s.clone(fmt.Sprint("use", i))
			c.sent = append(c.sent, struct {
				at    Time
				units float64
			}{s.now, h.purse})
			c.holders[i].purse = 0
			list = append(list, c)
		}
	}
	for i, a := range s.asks {
		for _, again := range []bool{false, true} {
			if again && a.copied {
				continue
			}
			c := s.clone(fmt.Sprintf("asked%s(%t)", a.Holder, again))
			if again {
				c.asks[i].copied = true
			} else {
				c.asks = slices.Delete(c.asks, i, i+1)
			}
			ask := a.Request
			if c.dealer.HandleRequest(c.now, &ask) {
				for _, l := range c.dealer.Allocate(c.now) {
					c.loans = append(c.loans, modelLoan{l, s.holders[int(a.Holder[0]-'0')].asked})
				}
			}
			list = append(list, c)
		}
		c := s.clone("lost ask")
		c.asks = slices.Delete(c.asks, i, i+1)
		list = append(list, c)
	}
	for i, l := range s.loans {
		c := s.clone("loan" + l.Holder)
		c.loans = slices.Delete(c.loans, i, i+1)
		if h := &c.holders[int(l.Holder[0]-'0')]; l.Seq == h.seq && h.waits && c.now < h.asked+modelTerms.AllocationTime {
			h.purse, h.until, h.waits = l.Units, h.asked+modelTerms.AllocationTime, false
		}
		list = append(list, c)
	}
	if s.moved < 0 && s.now > 0 {
		c := s.clone("moved")
		c.moved = s.now
		c.dealer = NewAllocator(s.now, modelTerms, s.now, 1, f)
		list = append(list, c)
	}
	return list
}

// search goes through all states, and returns how one breaks.
func search(f InjectedFaults, ticks Time, most int) (states int, how string) {
	first := &modelState{moved: -1, left: 2, ends: ticks * modelTick, dealer: NewAllocator(0, modelTerms, 0, 1, f)}
	first.dealer.ready, _ = modelTerms.dealt(0, 1) // it has had the budget for long
	seen := map[string]bool{first.key(): true}
	for queue := []*modelState{first}; len(queue) > 0 && len(seen) < most; queue = queue[1:] {
		for _, s := range queue[0].next(f) {
			if why := s.broken(); why != "" {
				return len(seen), why + ":" + s.path
			}
			if k := s.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, s)
			}
		}
	}
	return len(seen), ""
}

func TestModel(t *testing.T) {
	ticks := Time(4)
	if os.Getenv("IRISPOST_MODEL") != "" {
		ticks = 6
	}
	states, how := search(0, ticks, 1<<20)
	if how != "" {
		t.Fatal(how)
	}
	if states >= 1<<20 {
		t.Error("the search was broken off")
	}
	t.Logf("%d states, none breaks", states)
}

func TestModelFindsDefects(t *testing.T) {
	for name, f := range map[string]InjectedFaults{"all ready at the start": FaultFullStart, "what is out takes no room": FaultIgnoreOutstanding, "an ask counts twice": FaultAcceptDuplicates | FaultTrustReturned,
		"a loan over too soon": FaultEarlyExpiry, "units used after they were given back": FaultUseReturned} {
		states, how := search(f, 6, 1<<20)
		if how == "" {
			t.Errorf("%s: not found in %d states", name, states)
		} else {
			t.Logf("%s, after %d states: %s", name, states, how)
		}
	}
}
