package accord

import (
	"fmt"
	"slices"
	"strings"

	"irispost/internal/fleet/cold/tenure"
	"irispost/internal/fleet/rules"
)

// State is how a gateway stands with the keepers. Only Follower.move changes it.
type State uint8

const (
	Following State = iota // in touch, or about to be; holds nothing yet
	Acting                 // on one version, under a lease
	Prepared               // on the meet of two, under a lease
	Lapsed                 // on the floor of what it held: the lease has run out
	Ended                  // on nothing: the floor has run out as well
	Returning              // as Lapsed or Ended, and the keepers were heard again, without a lease on what they said
)

var states = [...]string{"following", "acting", "prepared", "lapsed", "ended", "returning"}

func (s State) String() string { return states[s] }

// States are the names of all.
func States() []string { return slices.Clone(states[:]) }

// Follower is a gateway's side. All its times are the gateway's own clock.
type Follower struct {
	who     string
	state   State
	held    []*rules.Version // one, or two whose meet counts
	opened  []*rules.Rules   // the same
	effect  *rules.Rules     // what it acts on; nil: nothing
	name    string           // of that, for people and records
	seq     uint64           // of the last ask
	taken   uint64           // of the grant that was taken last
	term    uint64           // of it
	inForce uint64
	newest  uint64 // announced
	asked   []asked
	lease   Time
	floor   Time
	again   bool // ask at once
	watched bool // news is told of as it comes: a lease is all that is asked for
	lacks   bool // the content of a version that the last grant names
	length  Time // of the lease that was granted last
	peer    string
	set     uint64 // the members that are known
	newSet  *Members
	next    Time // or then
	pause   Time
	trouble string
	log     []string
	flaws   Flaws
}

// asked is an ask that is out.
type asked struct {
	seq uint64
	at  Time
}

// Follow makes a follower that knows nothing.
func Follow(who string, pause Time, flaws Flaws) *Follower {
	return &Follower{who: who, pause: pause, flaws: flaws, name: "none"}
}

// move is the one place where the state changes.
func (f *Follower) move(to State, why string) {
	if f.state == to {
		return
	}
	f.log = append(f.log, fmt.Sprintf("rules: %s -> %s, %s: %s", f.state, to, f.name, why))
	f.state = to
}

// Members are those that a lease came with.
type Members struct {
	Asked Time // when the lease was asked for
	Set   tenure.Set
	Peers map[string]string
}

// Reached tells where other gateways reach this one. Who is reached is told of the others.
func (f *Follower) Reached(addr string) { f.peer = addr }

// Members takes what the last lease came with of members; nil: nothing has come since.
func (f *Follower) Members() *Members {
	m := f.newSet
	f.newSet = nil
	return m
}

// Due tells when to ask next. Where news is told of as it comes and nothing lacks, that is when half of the lease has passed.
func (f *Follower) Due(now Time) Time {
	if f.again {
		return now
	}
	if f.watched && !f.lacks && (f.state == Acting || f.state == Prepared) {
		return f.next + max(f.length/2-f.pause, 0)
	}
	return f.next
}

// Known is what of the log's state is known here, for who waits for news of it.
func (f *Follower) Known() (term, inForce, announced uint64) { return f.term, f.inForce, f.newest }

// Watched tells that from now on news is told of as it comes, or that it is not. Nothing that is acted on hangs on it, only when it
// is asked again.
func (f *Follower) Watched(is bool) { f.watched = is }

// News tells that there is something that is not known here: it is asked for at once.
func (f *Follower) News() { f.again = true }

// Ask is what to ask now. A lease that comes of it counts from now.
func (f *Follower) Ask(now Time) *Ask {
	f.At(now)
	f.seq++
	f.again, f.next = false, now+f.pause
	f.asked = append(f.asked, asked{f.seq, now})
	if len(f.asked) > 16 {
		f.asked = f.asked[1:]
	}
	a := &Ask{Who: f.who, Seq: f.seq, Term: f.term, Taken: f.taken, State: f.state.String(), Trouble: f.trouble, Set: f.set, Peer: f.peer, Form: Apart}
	for _, v := range f.held {
		a.Holds = append(a.Holds, v.Number)
	}
	return a
}

// Heard takes a grant, with the contents that could be had of the versions in it. One that is older than what was taken already is left.
func (f *Follower) Heard(now Time, g *Grant) {
	f.At(now)
	at, known := Time(0), false
	for _, a := range f.asked {
		if a.seq == g.Seq {
			at, known = a.at, true
		}
	}
	old := g.Seq <= f.taken || g.Term < f.term || g.InForce < f.inForce || g.Announced < f.newest
	if !known || old && !f.flaws.Has(TakesOld) {
		return
	}
	f.again = f.again || f.term != g.Term // so that the keeper that leads now hears what is held here
	held, opened, acts, trouble := f.gather(g)
	if trouble != f.trouble {
		f.trouble, f.again = trouble, true
		if trouble != "" {
			f.log = append(f.log, "rules: "+trouble)
		}
	}
	lease := at + g.Lease
	if f.flaws.Has(FromReceipt) {
		lease = now + g.Lease
	}
	if f.flaws.Has(NoLease) && g.Lease > 0 {
		lease = 1 << 62
	}
	if g.Lease == 0 || now >= lease || len(held) == 0 {
		f.term = g.Term
		if f.state == Lapsed || f.state == Ended {
			f.move(Returning, "the keepers are heard again")
		}
		return
	}
	f.taken, f.term, f.inForce, f.newest = g.Seq, g.Term, g.InForce, g.Announced
	f.lease, f.length = max(f.lease, lease), g.Lease
	if g.Set != nil {
		f.set, f.newSet = g.Set.Number, &Members{Asked: at, Set: *g.Set, Peers: g.Peers}
	}
	if !slices.Equal(held, f.held) || f.state != Acting && f.state != Prepared {
		f.held, f.opened = held, opened
		f.again = true // whoever waits for this hears of it at once
		f.settle()
	}
	f.floor = at + f.floorFor()
	switch {
	case !acts: // what was only announced is not acted on, but it is acknowledged
		f.effect, f.name = nil, "none"
		f.move(Following, "what is in force is not here")
	case len(held) == 2:
		f.move(Prepared, "a version is announced")
	default:
		f.move(Acting, "under a lease")
	}
}

// gather finds the versions that a grant names: the one in force, and the announced one beside it where it can be read. acts
// tells whether the one in force is among them: if not, nothing is acted on. A version whose content has not come yet is not there; it is
// asked for again.
func (f *Follower) gather(g *Grant) (held []*rules.Version, opened []*rules.Rules, acts bool, trouble string) {
	f.lacks = false
	for i, n := range []uint64{g.InForce, g.Announced} {
		if n == 0 || i == 1 && n == g.InForce {
			continue
		}
		for _, v := range slices.Concat(f.held, g.Versions) {
			if v.Number != n {
				continue
			}
			if len(v.Rules) == 0 {
				f.lacks = true
				break
			}
			if r, err := v.Open(); err != nil {
				trouble = "version " + v.Name() + " is not acted on: " + err.Error()
			} else {
				held, opened, acts = append(held, v), append(opened, r), acts || i == 0
			}
			break
		}
	}
	return held, opened, acts, trouble
}

// Named are the versions that a grant names, the one in force first, as far as they are held or in the grant; their contents need not be
// there.
func (f *Follower) Named(g *Grant) (list []*rules.Version) {
	for i, n := range []uint64{g.InForce, g.Announced} {
		of := slices.Concat(f.held, g.Versions)
		if at := slices.IndexFunc(of, func(v *rules.Version) bool { return v.Number == n }); at >= 0 && (i == 0 || n != g.InForce) {
			list = append(list, of[at])
		}
	}
	return list
}

// settle works out what is acted on under a lease.
func (f *Follower) settle() {
	var list []string
	for _, v := range f.held {
		list = append(list, v.Name())
	}
	f.name = strings.Join(list, "&")
	f.effect = f.opened[0]
	if len(f.opened) == 2 && !f.flaws.Has(NoMeet) {
		f.effect = rules.Meet(f.opened[0], f.opened[1])
	}
}

// floorFor is how long the floor of what is held counts.
func (f *Follower) floorFor() Time {
	least := Time(0)
	for i, r := range f.opened {
		if i == 0 || r.Floor.For < least {
			least = r.Floor.For
		}
	}
	return least
}

// At is what the gateway acts on at a time; nil: on nothing. Whoever sends has read the clock once, and sends by this.
func (f *Follower) At(now Time) *rules.Rules {
	if (f.state == Acting || f.state == Prepared) && now >= f.lease {
		floor, _ := f.held[0].Floor() // what is held could be read
		if len(f.held) == 2 {
			other, _ := f.held[1].Floor()
			floor = rules.Meet(floor, other)
		}
		f.effect, f.name = floor, "floor of "+f.name
		f.move(Lapsed, "no word from the keepers for a lease")
	}
	if f.state == Lapsed || f.state == Returning {
		if now >= f.floor && f.effect != nil {
			f.effect, f.name = nil, "none"
			f.move(Ended, "no word from the keepers for the floor's time")
		}
	}
	return f.effect
}

// State is how the gateway stands.
func (f *Follower) State() State { return f.state }

// Name names what is acted on: a version, two with & between, or a floor.
func (f *Follower) Name() string { return f.name }

// Holds are the numbers of the versions that count, with whether only their floor does.
func (f *Follower) Holds() (list []uint64, floor bool) {
	for _, v := range f.held {
		list = append(list, v.Number)
	}
	return list, f.state == Lapsed || f.state == Returning && f.effect != nil
}

// Newest is the newest version that counts, as it was read; nil: none.
func (f *Follower) Newest() (*rules.Version, *rules.Rules) {
	if len(f.held) == 0 {
		return nil, nil
	}
	return f.held[len(f.held)-1], f.opened[len(f.opened)-1]
}

// Until is when what is acted on changes at the latest if nothing is heard; 0: it does not.
func (f *Follower) Until() Time {
	switch {
	case f.state == Acting || f.state == Prepared:
		return f.lease
	case f.effect != nil:
		return f.floor
	}
	return 0
}

// Log takes the lines to be logged.
func (f *Follower) Log() []string {
	l := f.log
	f.log = nil
	return l
}
