package lease

import (
	"fmt"
	"slices"
	"strings"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/slowstart/epoch"
)

// State is how a gateway stands with the keepers. Only Follower.move changes it.
type State uint8

const (
	StateFollowing State = iota // in touch, or about to be; holds nothing yet
	StateActing                 // on one version, under a lease
	StatePrepared               // on the meet of two, under a lease
	StateExpired                // on the floor of what it held: the lease has run out
	StateEnded                  // on nothing: the floor has run out as well
	StateReturning              // as Lapsed or Ended, and the keepers were heard again, without a lease on what they said
)

var states = [...]string{"following", "acting", "prepared", "lapsed", "ended", "returning"}

func (s State) String() string { return states[s] }

// StateNames are the names of all.
func StateNames() []string { return slices.Clone(states[:]) }

// Client is a gateway's side. All its times are the gateway's own clock.
type Client struct {
	who     string
	state   State
	held    []*configversion.Version // one, or two whose meet counts
	opened  []*configversion.Config  // the same
	effect  *configversion.Config    // what it acts on; nil: nothing
	name    string                   // of that, for people and records
	seq     uint64                   // of the last ask
	taken   uint64                   // of the grant that was taken last
	term    uint64                   // of it
	inForce uint64
	newest  uint64 // announced
	asked   []asked
	lease   Time
	floor   Time
	again   bool // ask at once
	watched bool // news is told of as it comes: a lease is all that is asked for
	form    int  // of its asks
	lacks   bool // the content of a version that the last grant names
	length  Time // of the lease that was granted last
	peer    string
	set     uint64 // the members that are known
	newSet  *MembershipUpdate
	next    Time // or then
	pause   Time
	trouble string
	log     []string
	flaws   InjectedFaults
}

// asked is an ask that is out.
type asked struct {
	seq uint64
	at  Time
}

// NewClient makes a follower that knows nothing.
func NewClient(who string, pause Time, flaws InjectedFaults) *Client {
	return &Client{who: who, pause: pause, flaws: flaws, name: "none", form: ByDigest}
}

// move is the one place where the state changes.
func (f *Client) move(to State, why string) {
	if f.state == to {
		return
	}
	f.log = append(f.log, fmt.Sprintf("rules: %s -> %s, %s: %s", f.state, to, f.name, why))
	f.state = to
}

// MembershipUpdate are those that a lease came with.
type MembershipUpdate struct {
	RequestedAt Time // when the lease was asked for
	Membership  epoch.Membership
	PeerAddrs   map[string]string
}

// SetPeerAddr tells where other gateways reach this one. Who is reached is told of the others.
func (f *Client) SetPeerAddr(addr string) { f.peer = addr }

// RequestFullVersions has it ask in the form of the build before, which takes versions with their contents.
func (f *Client) RequestFullVersions() { f.form = 0 }

// TakeMembership takes what the last lease came with of members; nil: nothing has come since.
func (f *Client) TakeMembership() *MembershipUpdate {
	m := f.newSet
	f.newSet = nil
	return m
}

// NextRequestAt tells when to ask next. Where news is told of as it comes and nothing lacks, that is when half of the lease has passed.
func (f *Client) NextRequestAt(now Time) Time {
	if f.again {
		return now
	}
	if f.watched && !f.lacks && (f.state == StateActing || f.state == StatePrepared) {
		return f.next + max(f.length/2-f.pause, 0)
	}
	return f.next
}

// KnownState is what of the log's state is known here, for who waits for news of it.
func (f *Client) KnownState() (term, inForce, announced uint64) { return f.term, f.inForce, f.newest }

// SetWatching tells that from now on news is told of as it comes, or that it is not. Nothing that is acted on hangs on it, only when it
// is asked again.
func (f *Client) SetWatching(is bool) { f.watched = is }

// RequestNow tells that there is something that is not known here: it is asked for at once.
func (f *Client) RequestNow() { f.again = true }

// NextRequest is what to ask now. A lease that comes of it counts from now.
func (f *Client) NextRequest(now Time) *RenewRequest {
	f.Effective(now)
	f.seq++
	f.again, f.next = false, now+f.pause
	f.asked = append(f.asked, asked{f.seq, now})
	if len(f.asked) > 16 {
		f.asked = f.asked[1:]
	}
	a := &RenewRequest{Holder: f.who, Seq: f.seq, Term: f.term, AcceptedSeq: f.taken, State: f.state.String(), Fault: f.trouble, MembershipEpoch: f.set, PeerAddr: f.peer, Format: f.form}
	for _, v := range f.held {
		a.HeldVersions = append(a.HeldVersions, v.Number)
	}
	return a
}

// HandleResponse takes a grant, with the contents that could be had of the versions in it. One that is older than what was taken already is left.
func (f *Client) HandleResponse(now Time, g *RenewResponse) {
	f.Effective(now)
	at, known := Time(0), false
	for _, a := range f.asked {
		if a.seq == g.Seq {
			at, known = a.at, true
		}
	}
	old := g.Seq <= f.taken || g.Term < f.term || g.InForce < f.inForce || g.Announced < f.newest
	if !known || old && !f.flaws.Has(FaultAcceptReordered) {
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
	lease := at + g.LeaseDuration
	if f.flaws.Has(FaultLeaseFromReceipt) {
		lease = now + g.LeaseDuration
	}
	if f.flaws.Has(FaultNoLeaseExpiry) && g.LeaseDuration > 0 {
		lease = 1 << 62
	}
	if g.LeaseDuration == 0 || now >= lease || len(held) == 0 {
		f.term = g.Term
		if f.state == StateExpired || f.state == StateEnded {
			f.move(StateReturning, "the keepers are heard again")
		}
		return
	}
	f.taken, f.term, f.inForce, f.newest = g.Seq, g.Term, g.InForce, g.Announced
	f.lease, f.length = max(f.lease, lease), g.LeaseDuration
	if g.Membership != nil {
		f.set, f.newSet = g.Membership.Epoch, &MembershipUpdate{RequestedAt: at, Membership: *g.Membership, PeerAddrs: g.PeerAddrs}
	}
	if !slices.Equal(held, f.held) || f.state != StateActing && f.state != StatePrepared {
		f.held, f.opened = held, opened
		f.again = true // whoever waits for this hears of it at once
		f.settle()
	}
	f.floor = at + f.floorFor()
	switch {
	case !acts: // what was only announced is not acted on, but it is acknowledged
		f.effect, f.name = nil, "none"
		f.move(StateFollowing, "what is in force is not here")
	case len(held) == 2:
		f.move(StatePrepared, "a version is announced")
	default:
		f.move(StateActing, "under a lease")
	}
}

// gather finds the versions that a grant names: the one in force, and the announced one beside it where it can be read. acts
// tells whether the one in force is among them: if not, nothing is acted on. A version whose content has not come yet is not there; it is
// asked for again.
func (f *Client) gather(g *RenewResponse) (held []*configversion.Version, opened []*configversion.Config, acts bool, trouble string) {
	f.lacks = false
	for i, n := range []uint64{g.InForce, g.Announced} {
		if n == 0 || i == 1 && n == g.InForce {
			continue
		}
		for _, v := range slices.Concat(f.held, g.Versions) {
			if v.Number != n {
				continue
			}
			if len(v.Content) == 0 {
				f.lacks = true
				break
			}
			if r, err := v.Config(); err != nil {
				trouble = "version " + v.Name() + " is not acted on: " + err.Error()
			} else {
				held, opened, acts = append(held, v), append(opened, r), acts || i == 0
			}
			break
		}
	}
	return held, opened, acts, trouble
}

// VersionsOf are the versions that a grant names, the one in force first, as far as they are held or in the grant; their contents need not be
// there.
func (f *Client) VersionsOf(g *RenewResponse) (list []*configversion.Version) {
	for i, n := range []uint64{g.InForce, g.Announced} {
		of := slices.Concat(f.held, g.Versions)
		if at := slices.IndexFunc(of, func(v *configversion.Version) bool { return v.Number == n }); at >= 0 && (i == 0 || n != g.InForce) {
			list = append(list, of[at])
		}
	}
	return list
}

// settle works out what is acted on under a lease.
func (f *Client) settle() {
	var list []string
	for _, v := range f.held {
		list = append(list, v.Name())
	}
	f.name = strings.Join(list, "&")
	f.effect = f.opened[0]
	if len(f.opened) == 2 && !f.flaws.Has(FaultNoIntersection) {
		f.effect = configversion.Intersect(f.opened[0], f.opened[1])
	}
}

// floorFor is how long the floor of what is held counts.
func (f *Client) floorFor() Time {
	least := Time(0)
	for i, r := range f.opened {
		if i == 0 || r.FallbackPolicy.Duration < least {
			least = r.FallbackPolicy.Duration
		}
	}
	return least
}

// Effective is what the gateway acts on at a time; nil: on nothing. Whoever sends has read the clock once, and sends by this.
func (f *Client) Effective(now Time) *configversion.Config {
	if (f.state == StateActing || f.state == StatePrepared) && now >= f.lease {
		floor, _ := f.held[0].Fallback() // what is held could be read
		if len(f.held) == 2 {
			other, _ := f.held[1].Fallback()
			floor = configversion.Intersect(floor, other)
		}
		f.effect, f.name = floor, "floor of "+f.name
		f.move(StateExpired, "no word from the keepers for a lease")
	}
	if f.state == StateExpired || f.state == StateReturning {
		if now >= f.floor && f.effect != nil {
			f.effect, f.name = nil, "none"
			f.move(StateEnded, "no word from the keepers for the floor's time")
		}
	}
	return f.effect
}

// State is how the gateway stands.
func (f *Client) State() State { return f.state }

// EffectiveName names what is acted on: a version, two with & between, or a floor.
func (f *Client) EffectiveName() string { return f.name }

// HeldVersions are the numbers of the versions that count, with whether only their floor does.
func (f *Client) HeldVersions() (list []uint64, floor bool) {
	for _, v := range f.held {
		list = append(list, v.Number)
	}
	return list, f.state == StateExpired || f.state == StateReturning && f.effect != nil
}

// LatestVersion is the newest version that counts, as it was read; nil: none.
func (f *Client) LatestVersion() (*configversion.Version, *configversion.Config) {
	if len(f.held) == 0 {
		return nil, nil
	}
	return f.held[len(f.held)-1], f.opened[len(f.opened)-1]
}

// ValidUntil is when what is acted on changes at the latest if nothing is heard; 0: it does not.
func (f *Client) ValidUntil() Time {
	switch {
	case f.state == StateActing || f.state == StatePrepared:
		return f.lease
	case f.effect != nil:
		return f.floor
	}
	return 0
}

// TakeLogLines takes the lines to be logged.
func (f *Client) TakeLogLines() []string {
	l := f.log
	f.log = nil
	return l
}
