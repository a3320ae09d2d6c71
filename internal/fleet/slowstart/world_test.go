package slowstart

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"irispost/internal/fleet/slowstart/budget"
	"irispost/internal/fleet/slowstart/epoch"
)

// The world of these tests: one cold node, gateways of which each may come to have its budget, and keepers that grant leases and know the
// members. Messages are lost, late and out of order; gateways stand still, are cut off and start anew under other names; keepers change;
// clocks drift as far as is stated. All chance comes from the run's seed. After each step what was sent to the node within any window is
// held against what it bears.

const (
	ms     = int64(1e6)
	lease  = 1000 * ms
	node   = "10.0.0.9:7000"
	warmup = 12000 * ms
)

var terms = budget.Settings{InitialFraction: 0.2, WarmupTime: warmup, OverloadMultiple: 2, Window: 1500 * ms, MinUnits: 5, AllocatedShare: 0.5, AllocationTime: 1000 * ms, MaxClockDrift: 0.05}

type flaws struct {
	budget budget.InjectedFaults
	tenure epoch.InjectedFaults
}

// loan is one that may still come to be used.
type loan struct {
	budget.Allocation
	until int64 // on its holder's clock
}

type clock struct {
	rate float64
	off  int64
}

func (c clock) at(now int64) int64 { return c.off + int64(float64(now)*c.rate) }

type host struct {
	clock
	name    string
	tenure  *epoch.Ownership
	dealer  *budget.Allocator // nil: the budget is not its own
	seq     uint64
	purse   float64
	until   int64 // on its clock
	asked   int64 // likewise, the ask that is out
	stopped int64 // true time until when it stands still
	cut     int64
	renewed int64
	next    int64
	out     []*loan // on their way to it, and those that it took
	waits   bool    // for an answer
	thirst  float64 // units a second that it would send
	inbox   []func()
}

type world struct {
	rand    *rand.Rand
	flaws   flaws
	now     int64
	mail    []mail
	hosts   []*host
	count   int
	keeper  clock
	set     epoch.Membership
	setAt   int64 // on the keeper's clock
	heard   map[string]int64
	sends   []send
	lent    float64
	sent    float64
	moves   int
	moved   []int64
	owner   string
	loss    float64
	slowest int64
	hoards  bool    // holders send what they have when its time is nearly over
	rare    float64 // how often something happens to a gateway, a step
}

type mail struct {
	at   int64
	what func()
}

type send struct {
	at    int64
	units float64
}

func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

func (w *world) clock() clock {
	return clock{1 - terms.MaxClockDrift + 2*terms.MaxClockDrift*float64(w.rand.IntN(3))/2, int64(w.rand.IntN(1000)) * ms}
}

func (w *world) host() *host {
	w.count++
	h := &host{clock: w.clock(), name: "g" + strconv.Itoa(w.count), thirst: []float64{20, 200}[w.rand.IntN(2)]}
	h.tenure = epoch.NewOwnership(h.name, w.flaws.tenure)
	return h
}

func newWorld(seed uint64, f flaws) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), flaws: f, heard: map[string]int64{}}
	w.keeper = w.clock()
	w.loss, w.slowest = []float64{0, 0.05, 0.3}[w.rand.IntN(3)], []int64{2, 50, 500}[w.rand.IntN(3)]*ms
	w.hoards = w.chance(0.5)
	w.rare = []float64{0, 0.002, 0.01}[w.rand.IntN(3)]
	for range 2 + w.rand.IntN(4) {
		w.hosts = append(w.hosts, w.host())
	}
	return w
}

// post sends something to a host, or to the keepers (nil).
func (w *world) post(from, to *host, what func()) {
	if w.chance(w.loss) || from != nil && from.cut > w.now || to != nil && to.cut > w.now {
		return
	}
	for range 1 + w.rand.IntN(20)/19 { // some come twice
		w.mail = append(w.mail, mail{w.now + 1 + w.rand.Int64N(w.slowest), func() {
			if to != nil {
				to.inbox = append(to.inbox, what)
			} else {
				what()
			}
		}})
	}
}

// change has the set of members be another.
func (w *world) change(parted bool) {
	w.set.Epoch++
	if parted {
		w.set.Departures++
	}
	w.setAt = w.keeper.at(w.now)
}

// renew is a gateway's ask for a lease at the keepers.
func (w *world) renew(h *host) {
	asked := h.at(w.now)
	w.post(h, nil, func() {
		now := w.keeper.at(w.now)
		w.heard[h.name] = now
		if !slices.Contains(w.set.Members, h.name) {
			w.set.Members = append(slices.Clone(w.set.Members), h.name)
			w.change(false)
		}
		s := w.set
		s.Age, s.LeaseDuration, s.MaxClockDrift = now-w.setAt, lease, terms.MaxClockDrift
		w.post(nil, h, func() { h.tenure.HandleMembership(asked, h.at(w.now), s) })
	})
}

// serve has a gateway answer another's ask as the node's dealer, if it is.
func (w *world) serve(h *host, a *budget.Request, from *host) {
	now := h.at(w.now)
	if !h.tenure.Owns(now, node) {
		h.dealer = nil
		return
	}
	if h.dealer == nil {
		h.dealer = budget.NewAllocator(now, terms, w.now, 60, w.flaws.budget) // the node started at 0
		w.moved = append(w.moved, w.now)                                      // its own loans of before may still count
		if w.owner != h.name {
			w.owner = h.name
			w.moves++
		}
	}
	if !h.dealer.HandleRequest(now, a) {
		return
	}
	for _, l := range h.dealer.Allocate(now) {
		w.lent += l.Units
		for _, to := range w.hosts {
			if to.name == l.Holder {
				if l.Seq == to.seq {
					to.out = append(to.out, &loan{l, to.asked + terms.AllocationTime})
				}
				w.post(h, to, func() {
					if t := to.at(w.now); l.Seq == to.seq && t < to.asked+terms.AllocationTime {
						to.purse, to.until, to.waits = l.Units, to.asked+terms.AllocationTime, false
					}
				})
			}
		}
	}
}

func (w *world) ask(h *host) {
	h.seq++
	h.asked, h.waits = h.at(w.now), true
	if !w.flaws.budget.Has(budget.FaultUseReturned) {
		h.out = nil // what comes of earlier asks is not used
	}
	a := &budget.Request{Holder: h.name, Seq: h.seq, Demand: 4 + h.thirst/4, SmallestRequest: 1, PriorityWeight: h.thirst, Returned: h.purse}
	if h.asked >= h.until {
		a.Returned = 0 // gone
	}
	if !w.flaws.budget.Has(budget.FaultUseReturned) {
		h.purse = 0
	}
	for _, to := range w.hosts {
		if to.name == h.tenure.Owner(node) {
			w.post(h, to, func() { w.serve(to, a, h) })
		}
	}
}

// step lets a while pass.
func (w *world) step() string {
	w.now += 1 + w.rand.Int64N(25*ms)
	due := slices.Clone(w.mail)
	w.mail = slices.DeleteFunc(w.mail, func(m mail) bool { return m.at <= w.now })
	for _, m := range due {
		if m.at <= w.now {
			m.what()
		}
	}
	now := w.keeper.at(w.now)
	left := slices.DeleteFunc(slices.Clone(w.set.Members), func(name string) bool {
		return now > w.heard[name]+int64(float64(lease)*(1+terms.MaxClockDrift)/(1-terms.MaxClockDrift))+1
	})
	if len(left) < len(w.set.Members) {
		w.set.Members = left
		w.change(true)
	}
	if w.chance(w.rare) { // another keeper leads, and knows of nobody how long it has been a member
		w.setAt = now
	}
	for i, h := range w.hosts {
		switch {
		case w.chance(w.rare):
			h.stopped = w.now + w.rand.Int64N(4000*ms)
		case w.chance(w.rare):
			h.cut = w.now + w.rand.Int64N(4000*ms)
		case w.chance(w.rare / 2):
			w.hosts[i] = w.host()
			continue
		}
		if h.stopped > w.now {
			continue
		}
		inbox := h.inbox
		h.inbox = nil
		for _, what := range inbox {
			what()
		}
		t := h.at(w.now)
		if t-h.renewed > lease/3 {
			h.renewed = t
			w.renew(h)
		}
		if t >= h.next && (!h.waits || t >= h.asked+terms.AllocationTime) {
			h.next = t + 20*ms + w.rand.Int64N(200*ms)
			if w.hoards {
				h.next = t + terms.AllocationTime*9/10 + w.rand.Int64N(terms.AllocationTime/5)
			}
			w.ask(h)
		}
		if units := h.purse; units > 0 && t < h.until && (!w.hoards || h.until-t < 60*ms) && w.chance(0.8) {
			h.purse, h.out = 0, nil
			w.sent += units
			w.sends = append(w.sends, send{w.now, units})
		}
	}
	moved := int64(0) // since the first of the moves whose loans may still count
	for _, at := range w.moved {
		if w.now-at < 2*terms.AllocationTime {
			moved = max(moved, w.now-at)
		}
	}
	if could, most := w.could(), terms.MaxOutstanding(w.now, 60, moved); could > most+1e-6 {
		return fmt.Sprintf("%.1f units can be sent at once, %.1f may be", could, most)
	}
	sum := 0.0
	for len(w.sends) > 0 && w.sends[0].at <= w.now-terms.Window {
		w.sends = w.sends[1:]
	}
	for _, s := range w.sends {
		sum += s.units
	}
	if most := terms.AllocatedShare * terms.Capacity(w.now-terms.Window, 60); sum > most+1e-6 {
		return fmt.Sprintf("%.1f units in a window, %.1f are dealt out of %.1f", sum, most, most/terms.AllocatedShare)
	}
	return ""
}

// could is what can reach the node at once: what is lent and counts for its holders, had or on its way, and what is ready at all who
// believe the budget theirs.
func (w *world) could() (units float64) {
	for _, h := range w.hosts {
		t := h.at(w.now)
		for _, l := range h.out {
			if t < l.until {
				units += l.Units
			}
		}
		if h.dealer != nil && h.tenure.Owns(t, node) {
			ready, _ := h.dealer.Usage(t)
			units += ready
		}
	}
	return units
}

// play plays a run until the node is warm, and tells how it broke.
func play(seed uint64, f flaws) (*world, string) {
	w := newWorld(seed, f)
	for w.now < warmup {
		if broken := w.step(); broken != "" {
			return w, fmt.Sprintf("seed %d, after %d ms: %s", seed, w.now/ms, broken)
		}
	}
	return w, ""
}

// TestBudgetHolds: never more reaches the node than is dealt out of what it bears; and of that, enough.
func TestBudgetHolds(t *testing.T) {
	runs := 400
	if n, err := strconv.Atoi(os.Getenv("IRISPOST_RUNS")); err == nil {
		runs = n
	}
	sent, moves := 0.0, 0
	for seed := range uint64(runs) {
		w, broken := play(seed, flaws{})
		if broken != "" {
			t.Fatal(broken)
		}
		sent, moves = sent+w.sent, moves+w.moves
	}
	t.Logf("%d runs: %.0f units a run, the budget moved %.1f times", runs, sent/float64(runs), float64(moves)/float64(runs))
	if moves < runs/2 || sent < 10*float64(runs) {
		t.Errorf("%d moves and %.0f units in %d runs: they show little", moves, sent, runs)
	}
}

// TestDefectsAreFound: each defect breaks the rule in some run.
func TestDefectsAreFound(t *testing.T) {
	for name, f := range map[string]flaws{
		"a dealer begins with all ready":           {budget: budget.FaultFullStart},
		"what is out takes no room":                {budget: budget.FaultIgnoreOutstanding},
		"an ask counts twice":                      {budget: budget.FaultAcceptDuplicates | budget.FaultTrustReturned},
		"more is taken back than was lent":         {budget: budget.FaultTrustReturned},
		"a loan is over for its dealer too soon":   {budget: budget.FaultEarlyExpiry},
		"a holder uses what it gives back":         {budget: budget.FaultUseReturned},
		"who comes to have a budget deals at once": {tenure: epoch.FaultNoWait},
		"who is cut off deals on":                  {tenure: epoch.FaultIgnoreLease},
		"parted members are forgotten":             {tenure: epoch.FaultIgnoreDepartures},
	} {
		found := ""
		seed := uint64(0)
		for ; found == "" && seed < 1000; seed++ {
			_, found = play(seed, f)
		}
		if found == "" {
			t.Errorf("%s: not found in %d runs", name, seed)
		} else {
			t.Logf("%s: %s", name, found)
		}
	}
}
