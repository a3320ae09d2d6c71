package scale

import (
	"cmp"
	"fmt"

	"irispost/internal/fleet/lease"
)

// Apart is two regions that do not reach each other for a while, worked out in virtual time with accord's own parts: a gateway in the region
// that has a majority of the keepers, one in the region without.
type Apart struct {
	Lease, Floor, For int64 // nanoseconds: a lease, the version's floor, how long they are apart
	Placement         []int // the region of each keeper; a region without a majority hears of no leader
	Drain             bool  // the change, proposed a second after the cut, drains a node; else it raises a limit
}

// Served is what came of it, in nanoseconds from the cut.
type Served struct {
	Majority int   // the region in which changes go on; -1: in none
	Leased   int64 // until then the gateway without a majority acted as before: its lease
	Floored  int64 // and until then on the floor of its version; then it served nothing
	InForce  int64 // from the change's proposal to its being in force where the majority is, -1: not while they were apart
}

// virtual is one step of the virtual clock.
const virtual = int64(50e6)

// Play plays it.
func (a Apart) Play() (Served, error) {
	count := map[int]int{}
	for _, region := range a.Placement {
		count[region]++
	}
	s := Served{Majority: -1, InForce: -1}
	for region, n := range count {
		if 2*n > len(a.Placement) {
			s.Majority = region
		}
	}
	size := Short()
	size.Nodes = 3
	size.FallbackDuration = 0
	r := first(&size)
	r.FallbackPolicy.Duration = a.Floor
	l := lease.NewStateMachine()
	commands := []*lease.Command{{Bootstrap: &lease.Settings{LeaseDuration: a.Lease, MaxClockDrift: 0.01}}, {Propose: &lease.Proposal{ID: "first", Content: r.Canonical()}},
		{Activate: 1}, {Join: []string{"here", "there"}}}
	for _, c := range commands {
		if _, err := l.Apply(c); err != nil {
			return s, err
		}
	}
	now := int64(1e9)
	w := lease.NewManager(now, 1, l, 0)
	here, there := lease.NewClient("here", a.Lease/5, 0), lease.NewClient("there", a.Lease/5, 0)
	here.RequestFullVersions() // how contents travel takes no virtual time
	there.RequestFullVersions()
	ask := func(f *lease.Client) {
		for range 3 { // an ask that is followed by another at once is
			if f.NextRequestAt(now) <= now {
				f.HandleResponse(now, w.Renew(now, f.NextRequest(now)))
			}
		}
	}
	decide := func() error {
		for c := w.NextCommand(now); c != nil; c = w.NextCommand(now) {
			if _, err := l.Apply(c); err != nil {
				return err
			}
			w.Applied(c)
		}
		return nil
	}
	for range 2 * a.Lease / virtual {
		now += virtual
		ask(here)
		ask(there)
		if err := decide(); err != nil {
			return s, err
		}
	}
	if here.State() != lease.StateActing || there.State() != lease.StateActing {
		return s, fmt.Errorf("before the cut they are %v and %v", here.State(), there.State())
	}
	cut, proposed := now, int64(0)
	for now < cut+a.For {
		now += virtual
		if s.Majority >= 0 {
			ask(here)
			if err := decide(); err != nil {
				return s, err
			}
		}
		if there.Effective(now); there.State() != lease.StateActing {
			s.Leased = cmp.Or(s.Leased, now-cut)
		}
		if there.State() == lease.StateEnded {
			s.Floored = cmp.Or(s.Floored, now-cut)
		}
		if s.Majority >= 0 && proposed == 0 && now >= cut+1e9 {
			next := copied(r)
			if a.Drain {
				_, _, change := replace(&size, 1, 1)
				change(next)
			} else {
				tune(next)
			}
			proposed = now
			if _, err := l.Apply(&lease.Command{Propose: &lease.Proposal{ID: "second", Parent: 1, Content: next.Canonical()}}); err != nil {
				return s, err
			}
		}
		if proposed > 0 && s.InForce < 0 && l.InForce == 2 {
			s.InForce = now - proposed
		}
	}
	return s, nil
}
