package lease

import (
	"fmt"
	"slices"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/slowstart/epoch"
)

// RenewRequest is what a gateway asks a keeper for: to go on acting.
type RenewRequest struct {
	Holder          string   `json:"who"` // its name and its start: one that starts anew is another
	Seq             uint64   `json:"seq"`
	Term            uint64   `json:"term,omitempty"`  // of the grant that it took last
	AcceptedSeq     uint64   `json:"taken,omitempty"` // the ask that this grant answered
	HeldVersions    []uint64 `json:"holds,omitempty"` // the versions that it acts on: on the meet, where there are two
	Fault           string   `json:"trouble,omitempty"`
	State           string   `json:"state"`
	MembershipEpoch uint64   `json:"set,omitempty"`  // the members that it knows
	PeerAddr        string   `json:"peer,omitempty"` // where other gateways reach it
	Format          int      `json:"form,omitempty"` // Apart: it fetches contents by their digest; 0: it takes versions whole
}

// ByDigest is the form of asks of a gateway that takes versions without their contents, which it fetches.
const ByDigest = 1

// RenewResponse is the leading keeper's answer.
type RenewResponse struct {
	Seq           uint64                   `json:"seq"`
	Term          uint64                   `json:"term"`
	InForce       uint64                   `json:"in_force"`
	Announced     uint64                   `json:"announced"`
	LeaseDuration Time                     `json:"lease"`              // from when it was asked for; 0: none yet, ask again
	Versions      []*configversion.Version `json:"versions,omitempty"` // that the ask does not hold; without contents to who asks in the form Apart
	Membership    *epoch.Membership        `json:"set,omitempty"`      // who is present; its members only where the gateway knows others
	PeerAddrs     map[string]string        `json:"peers,omitempty"`    // with them, where they are reached, as far as is known
}

// holder is a gateway that may act on something, as the leading keeper knows it.
type holder struct {
	name    string
	seq     uint64
	holds   []uint64 // as it said last
	granted []granted
	lease   Time   // it acts on no version after this
	floor   Time   // nor on the floor of one after this
	unknown Time   // until then it may act on the floor of any version: nothing was heard from it in this term
	offered uint64 // the announced version that it was first granted
	since   Time   // then
	heard   Time
	state   string
	trouble string
	peer    string
}

// granted is a grant that a holder may have taken after it last said what it holds; until then it may act on it, or on the floor of it.
type granted struct {
	seq, inForce, announced uint64
	until                   Time
}

// Manager is the leading keeper's knowledge of the gateways. It is made anew with each term.
type Manager struct {
	ledger  *StateMachine
	term    uint64
	holders map[string]*holder
	joining map[string]bool
	forcing uint64 // asked for in this term
	forced  Time   // and when
	parting map[string]Time
	leaving map[string]Time // whose absence was put into the log, and when
	set     uint64          // who is present, and since when nobody else is, as far as is known in this term
	setAt   Time
	peered  bool // some gateway is reached by others, so that it counts who is present
	retain  retention
	flaws   InjectedFaults
}

// NewManager makes a warden for a term. Whoever the log knows may have got a lease a moment ago.
func NewManager(now Time, term uint64, l *StateMachine, flaws InjectedFaults) *Manager {
	w := &Manager{ledger: l, term: term, holders: map[string]*holder{}, joining: map[string]bool{}, parting: map[string]Time{}, leaving: map[string]Time{}, flaws: flaws,
		set: l.MembershipEpoch, setAt: now, retain: retention{bases: RetainedBaseVersions, batch: batch}}
	for _, name := range names(l.Holders) {
		h := &holder{name: name, lease: now + l.Settings.longer(l.Settings.LeaseDuration), unknown: now + l.Settings.longer(l.longest()), heard: now,
			state: "unheard"}
		if flaws.Has(FaultNewLeaderAssumesNoLeases) {
			h.lease, h.unknown = now, now
		}
		w.holders[name] = h
	}
	return w
}

// Renew answers a gateway. It is called once it is confirmed that this keeper still led after the ask had come in, with a
// ledger that is as new as the log was then.
func (w *Manager) Renew(now Time, a *RenewRequest) *RenewResponse {
	g := &RenewResponse{Seq: a.Seq, Term: w.term, InForce: w.ledger.InForce, Announced: w.ledger.Announced}
	h := w.holders[a.Holder]
	_, parting := w.parting[a.Holder]
	if (!w.ledger.Holders[a.Holder] || parting) && !w.flaws.Has(FaultLeaseWithoutJoin) {
		w.joining[a.Holder] = true // a lease that the log does not know would be forgotten with this term
		return g
	}
	if n := w.ledger.Announced; n != w.ledger.InForce && w.forcing == n && !slices.Contains(a.HeldVersions, n) {
		return g // it is decided, with what was known then: nobody may begin to act on the one before
	}
	if h == nil {
		h = &holder{name: a.Holder}
		w.holders[a.Holder] = h
	}
	if a.PeerAddr != "" && !w.ledger.Members[a.Holder] { // it is here again, and the others have to know before it counts as one of them
		w.joining[a.Holder] = true
	}
	if a.Term == w.term && a.Seq > h.seq || w.flaws.Has(FaultTrustEarlierTerms) { // it was sent in this term, and after all that was heard before
		h.seq, h.holds, h.unknown = a.Seq, slices.Clone(a.HeldVersions), 0
		h.granted = slices.DeleteFunc(h.granted, func(g granted) bool { return g.seq <= a.AcceptedSeq })
	}
	t := w.ledger.Settings
	if n := w.ledger.Announced; h.offered != n {
		h.offered, h.since = n, now
	} else if n != w.ledger.InForce && !slices.Contains(a.HeldVersions, n) && a.Fault == "" && now > h.since+t.longer(t.LeaseDuration) {
		return g // it is heard and does not hear: what it holds has to run out
	}
	span := t.longer(w.floorOf([]uint64{g.InForce, g.Announced}))
	last := a.Seq // asks may come out of order, and each that was granted the same may be the one that is taken
	h.granted = slices.DeleteFunc(h.granted, func(o granted) bool {
		same := o.inForce == g.InForce && o.announced == g.Announced
		if same {
			last = max(last, o.seq)
		}
		return same || now > o.until
	})
	h.granted = append(h.granted, granted{last, g.InForce, g.Announced, now + max(t.longer(t.LeaseDuration), span)})
	h.heard, h.state, h.trouble, h.peer = now, a.State, a.Fault, a.PeerAddr
	h.lease = max(h.lease, now+t.longer(t.LeaseDuration))
	if w.flaws.Has(FaultIgnoreClockDrift) {
		h.lease = now + t.LeaseDuration
	}
	h.floor = max(h.floor, now+t.longer(w.floorOf(h.holds)), now+span)
	g.LeaseDuration = t.LeaseDuration
	w.present(now, a, g)
	for i, n := range []uint64{g.InForce, g.Announced} {
		v := w.ledger.Version(n)
		if v == nil || slices.Contains(a.HeldVersions, n) || i == 1 && n == g.InForce {
			continue
		}
		if a.Format >= ByDigest {
			v = v.Header()
		}
		g.Versions = append(g.Versions, v)
	}
	return g
}

// present tells a gateway that is reached by others who is present.
func (w *Manager) present(now Time, a *RenewRequest, g *RenewResponse) {
	if a.PeerAddr == "" {
		return
	}
	w.peered = true
	if w.set != w.ledger.MembershipEpoch {
		w.set, w.setAt = w.ledger.MembershipEpoch, now // seen late, it counts as later than it is
	}
	g.Membership = &epoch.Membership{Epoch: w.set, Departures: w.ledger.Departures, Age: now - w.setAt, LeaseDuration: w.ledger.Settings.LeaseDuration, MaxClockDrift: w.ledger.Settings.MaxClockDrift}
	if a.MembershipEpoch == w.set {
		return
	}
	g.Membership.Members, g.PeerAddrs = names(w.ledger.Members), map[string]string{}
	for _, name := range g.Membership.Members {
		if h := w.holders[name]; h != nil && h.peer != "" {
			g.PeerAddrs[name] = h.peer
		}
	}
}

// floorOf is the longest floor of versions.
func (w *Manager) floorOf(numbers []uint64) (most Time) {
	for _, n := range numbers {
		most = max(most, w.ledger.span(n))
	}
	return most
}

// NextCommand tells which command is to be put into the log now; nil: none.
func (w *Manager) NextCommand(now Time) *Command {
	if len(w.joining) > 0 {
		c := &Command{Join: names(w.joining)}
		clear(w.joining)
		return c
	}
	again := w.ledger.Settings.LeaseDuration // a command that did not get into the log is asked for again after so long
	if n := w.ledger.Announced; n != w.ledger.InForce && (w.forcing != n || now > w.forced+again) && len(w.WaitingFor(now)) == 0 {
		w.forcing, w.forced = n, now
		return &Command{Activate: n}
	}
	var gone []string
	for _, name := range names(w.ledger.Holders) {
		h := w.holders[name]
		if h == nil { // it has joined, and was told nothing yet; one that never comes back parts like any other
			w.holders[name] = &holder{name: name, heard: now, state: "joined"}
			continue
		}
		if at, asked := w.parting[name]; now > max(h.lease, h.floor, h.unknown, h.heard+w.ledger.Settings.longer(again)) && (!asked || now > at+again) {
			gone = append(gone, name)
			w.parting[name] = now
		}
	}
	if len(gone) > 0 {
		return &Command{Remove: gone}
	}
	if list := w.forgettable(now); list != nil {
		return &Command{Forget: list}
	}
	if !w.peered {
		return nil
	}
	for _, name := range names(w.ledger.Members) {
		h := w.holders[name]
		if at, asked := w.leaving[name]; h != nil && now > h.lease && (!asked || now > at+again) {
			gone = append(gone, name)
			w.leaving[name] = now
		}
	}
	if len(gone) > 0 {
		return &Command{LeaseExpired: gone}
	}
	return nil
}

// Applied tells that commands of the log were applied: who has joined may be given a lease.
func (w *Manager) Applied(c *Command) {
	for _, name := range c.Remove {
		delete(w.holders, name)
		delete(w.parting, name)
	}
	for _, name := range slices.Concat(c.Remove, c.LeaseExpired) {
		delete(w.leaving, name)
	}
}

// WaitingFor names the gateways that an announced version waits for, each with what for.
func (w *Manager) WaitingFor(now Time) (list []string) {
	if w.flaws.Has(FaultNoWait) {
		return nil
	}
	n := w.ledger.Announced
	next, _ := w.open(n)
	for _, name := range names(w.ledger.Holders) {
		h := w.holders[name]
		if h == nil { // it has joined, and was told nothing yet
			continue
		}
		switch {
		case slices.Contains(h.holds, n):
		case now <= h.lease:
			list = append(list, fmt.Sprintf("%s: has not acknowledged it, and its lease runs on for %d ms; %s", name, (h.lease-now)/1e6+1, h.trouble))
		case w.flaws.Has(FaultIgnoreFallbacks):
		case now <= h.unknown:
			list = append(list, fmt.Sprintf("%s: was not heard in this term, and may act on a floor for %d ms", name, (h.unknown-now)/1e6+1))
		case now <= h.floor && !w.floorFits(h, next):
			list = append(list, fmt.Sprintf("%s: may act on a floor that contradicts it for %d ms", name, (h.floor-now)/1e6+1))
		}
	}
	return list
}

func (w *Manager) open(n uint64) (*configversion.Config, error) {
	if v := w.ledger.Version(n); v != nil {
		return v.Config()
	}
	return nil, nil
}

// floorFits tells whether the floor that a gateway may act on is within rules. It acts on the floors of all that it holds,
// so one of them within is enough; what it holds is what it said last, or what it took of the grants since.
func (w *Manager) floorFits(h *holder, next *configversion.Config) bool {
	if next == nil {
		return false
	}
	fits := func(n uint64) bool {
		if n == 0 {
			return true
		}
		v := w.ledger.Version(n)
		if v == nil { // it is forgotten, or never was: nothing is known of its floor
			return false
		}
		floor, err := v.Fallback()
		return err == nil && len(configversion.Exceeds(floor, next)) == 0
	}
	for _, g := range h.granted {
		if !fits(g.inForce) { // it may be without the announced one, where it cannot read that
			return false
		}
	}
	return len(h.holds) == 0 || slices.ContainsFunc(h.holds, fits)
}

// GatewayStatus is a gateway as the leading keeper knows it.
type GatewayStatus struct {
	Holder          string   `json:"who"`
	State           string   `json:"state"`
	HeldVersions    []uint64 `json:"holds"`
	LastHeardMillis Time     `json:"heard_ms_ago"`
	LeaseLeftMillis Time     `json:"lease_ms"` // left of it, as the keeper counts; below 0: run out
	Unresponsive    bool     `json:"hangs"`    // no word for three quarters of its lease
	Fault           string   `json:"trouble,omitempty"`
}

// Gateways lists the gateways, by name.
func (w *Manager) Gateways(now Time) (list []GatewayStatus) {
	for _, name := range names(w.ledger.Holders) {
		h := w.holders[name]
		if h == nil {
			continue
		}
		list = append(list, GatewayStatus{Holder: name, State: h.state, HeldVersions: h.holds, LastHeardMillis: (now - h.heard) / 1e6, LeaseLeftMillis: (h.lease - now) / 1e6,
			Unresponsive: now-h.heard > w.ledger.Settings.LeaseDuration*3/4, Fault: h.trouble})
	}
	return list
}
