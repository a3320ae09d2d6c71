// Package lease decides how gateways come to act on versions of rules together: what the keepers' log comes to (Ledger),
// when the leading keeper may bring a version into force (Warden), and what a gateway acts on meanwhile (Follower). It is
// pure: no I/O, no clock, no chance. Each clock that it is told of is one process's own and never goes back; no two are
// compared, and none tells the time of day. docs/fleet.md has the argument and the times that follow from it.
package lease

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"irispost/internal/fleet/configversion"
)

// Time is nanoseconds on one process's clock.
type Time = int64

// Settings are fixed when a fleet is founded: leases that are out were given by them.
type Settings struct {
	LeaseDuration Time    `json:"lease"` // for so long a gateway acts on what the keepers told it, counted from when it asked
	MaxClockDrift float64 `json:"drift"` // clocks run this part faster or slower than true time at most
}

// longer is a span as the keepers count it: past the end of the holder's, however the two clocks drift.
func (t Settings) longer(span Time) Time {
	return Time(float64(span)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + 1
}

// Proposal is a change that somebody wants. ID is its own, so that one asked for again is not made twice.
type Proposal struct {
	ID             string `json:"id"`
	Parent         uint64 `json:"parent"` // the newest version as the author knows it
	ReplacePending bool   `json:"over"`   // in place of one that is announced and not in force yet
	Author         string `json:"author"`
	Reason         string `json:"why"`
	CreatedAt      string `json:"time"` // for people
	Content        []byte `json:"rules"`

	// In an entry of form 2 the content is coded; ReadEntry and Entry are the two sides of it.
	Digest    string `json:"digest,omitempty"` // of Rules
	DeltaBase uint64 `json:"base,omitempty"`   // the version whose content Coded is a delta from, which is Parent; 0: it is whole
	Delta     []byte `json:"-"`
}

// Command is one entry of the keepers' log. One of its parts is set.
type Command struct {
	Bootstrap    *Settings `json:"found,omitempty"`
	Propose      *Proposal `json:"propose,omitempty"`
	Activate     uint64    `json:"force,omitempty"`
	Join         []string  `json:"join,omitempty"`
	Remove       []string  `json:"part,omitempty"`
	LeaseExpired []string  `json:"away,omitempty"`   // their leases have run out; they may act on a floor
	Forget       []uint64  `json:"forget,omitempty"` // versions that nobody acts on any more; in entries of form 2 alone
}

// What a ledger of form 2 keeps.
const (
	RetainedBaseVersions = 8    // versions before the announced one, as bases of deltas
	RetainedProposalIDs  = 1024 // proposals, the newest, that are known again by their IDs
)

// StateMachine is what the log has come to. The same commands in the same order give the same ledger at each keeper.
type StateMachine struct {
	Format          int                      `json:"form,omitempty"` // of entries and snapshots; 0: the first, in which nothing is forgotten
	Settings        Settings                 `json:"terms"`
	Versions        []*configversion.Version `json:"versions"` // by number; those that were forgotten are not among them
	ProposalIDs     map[string]uint64        `json:"ids"`      // of proposals
	InForce         uint64                   `json:"in_force"` // 0: none
	Announced       uint64                   `json:"announced"`
	Holders         map[string]bool          `json:"holders"` // that may hold a lease or a floor
	Members         map[string]bool          `json:"present"` // those of them that may hold a lease
	MembershipEpoch uint64                   `json:"sets"`    // changes of who is present
	Departures      uint64                   `json:"parts"`   // gateways that were present and ceased to be, so far
	spans           map[uint64]Time          // how long the floors of versions count, as far as it was asked for
	codes           map[uint64]code          // contents as they were coded once, by version
}

// Why a proposal is refused. The text says what to do.
var (
	ErrStaleParent    = errors.New("it was made of a version that is not the newest")
	ErrVersionPending = errors.New("another version is announced and not in force yet")
)

// NewStateMachine is the ledger of an empty log.
func NewStateMachine() *StateMachine {
	return &StateMachine{ProposalIDs: map[string]uint64{}, Holders: map[string]bool{}, Members: map[string]bool{}, spans: map[uint64]Time{}, codes: map[uint64]code{}}
}

// find tells where a version is, or would be.
func (l *StateMachine) find(n uint64) (int, bool) {
	return slices.BinarySearchFunc(l.Versions, n, func(v *configversion.Version, n uint64) int { return cmp.Compare(v.Number, n) })
}

// Version is a version by its number; nil: there is none, or it was forgotten.
func (l *StateMachine) Version(n uint64) *configversion.Version {
	if i, is := l.find(n); is {
		return l.Versions[i]
	}
	return nil
}

// Apply takes the next command of the log. An error that is ErrEntry tells that this ledger cannot go on; any other, that the command
// changes nothing.
func (l *StateMachine) Apply(c *Command) (*configversion.Version, error) {
	switch {
	case c.Bootstrap != nil:
		if l.Settings.LeaseDuration > 0 {
			return nil, errors.New("the fleet is founded already")
		}
		l.Settings = *c.Bootstrap
	case c.Propose != nil:
		return l.propose(c.Propose)
	case c.Activate > 0:
		if c.Activate == l.Announced { // one that another has taken the place of never comes into force
			l.InForce = c.Activate
		}
	case len(c.Forget) > 0:
		return nil, l.forget(c.Forget)
	default:
		l.seat(c)
	}
	return nil, nil
}

// seat takes who comes and goes.
func (l *StateMachine) seat(c *Command) {
	before := l.MembershipEpoch
	for _, name := range c.Join {
		l.Holders[name] = true
		if !l.Members[name] {
			l.Members[name], l.MembershipEpoch = true, before+1
		}
	}
	for _, name := range slices.Concat(c.Remove, c.LeaseExpired) {
		if l.Members[name] {
			delete(l.Members, name)
			l.Departures, l.MembershipEpoch = l.Departures+1, before+1
		}
	}
	for _, name := range c.Remove {
		delete(l.Holders, name)
	}
}

func (l *StateMachine) propose(p *Proposal) (*configversion.Version, error) {
	if p.Delta != nil {
		l.Format = 2
	}
	if n := l.ProposalIDs[p.ID]; n > 0 {
		if v := l.Version(n); v != nil {
			return v, nil
		}
		return &configversion.Version{Number: n, Parent: n - 1}, nil // the rest of it is in the history
	}
	if p.Parent != l.Announced {
		late := ""
		if l.Format >= 2 && l.Announced-min(l.Announced, p.Parent) >= RetainedProposalIDs {
			late = fmt.Sprintf(" (whether it was taken before is not known: that is kept for %d versions)", RetainedProposalIDs)
		}
		if newest := l.Version(l.Announced); newest != nil {
			return nil, fmt.Errorf("%w: it was made of %d, the newest is %s by %s: %s%s", ErrStaleParent, p.Parent, newest.Name(), newest.Author, newest.Reason, late)
		}
		return nil, fmt.Errorf("%w: it was made of %d, there is none yet", ErrStaleParent, p.Parent)
	}
	if l.Announced != l.InForce && !p.ReplacePending {
		return nil, fmt.Errorf("%w: %s", ErrVersionPending, l.Version(l.Announced).Name())
	}
	content, err := p.content(l)
	if err != nil {
		return nil, err
	}
	r, err := configversion.Parse(content)
	var newer *configversion.UnsupportedFormatError
	if err != nil && !errors.As(err, &newer) { // a keeper may be older than what the gateways are asked to act on
		return nil, err
	}
	v := &configversion.Version{Number: l.Announced + 1, Parent: p.Parent, Author: p.Author, Reason: p.Reason, CreatedAt: p.CreatedAt, Content: content}
	if newer != nil {
		v.Digest = configversion.DigestOf(content)
	} else {
		v.Digest, v.Content = r.Digest(), r.Canonical()
		l.spans[v.Number] = r.FallbackPolicy.Duration
	}
	if p.Delta != nil && bytes.Equal(v.Content, content) {
		l.codes[v.Number] = code{p.DeltaBase, p.Delta}
	}
	l.Versions = append(l.Versions, v)
	l.Announced = v.Number
	l.ProposalIDs[p.ID] = v.Number
	if l.Format >= 2 {
		maps.DeleteFunc(l.ProposalIDs, func(_ string, n uint64) bool { return n+RetainedProposalIDs <= l.Announced })
	}
	return v, nil
}

// forget drops versions. One that may still be granted is refused, with all that were named with it.
func (l *StateMachine) forget(numbers []uint64) error {
	l.Format = 2
	for _, n := range numbers {
		if n == l.InForce || n == l.Announced {
			return fmt.Errorf("version %d cannot be forgotten: %d is in force and %d announced", n, l.InForce, l.Announced)
		}
	}
	gone := func(n uint64) bool { return slices.Contains(numbers, n) }
	l.Versions = slices.DeleteFunc(l.Versions, func(v *configversion.Version) bool { return gone(v.Number) })
	maps.DeleteFunc(l.spans, func(n uint64, _ Time) bool { return gone(n) })
	maps.DeleteFunc(l.codes, func(n uint64, _ code) bool { return gone(n) })
	return nil
}

// ReleaseParsed drops what was read of versions before the one in force. It is read again where a gateway may act on one.
func (l *StateMachine) ReleaseParsed() {
	for _, v := range l.Versions {
		if v.Number < l.InForce {
			v.ReleaseParsed()
		}
	}
}

// span is how long the floor of a version counts; 0 where there is no such version, or this program cannot read it.
func (l *StateMachine) span(n uint64) Time {
	if span, known := l.spans[n]; known {
		return span
	}
	v := l.Version(n)
	if v == nil {
		return 0
	}
	var span Time
	if r, err := configversion.Parse(v.Content); err == nil { // not by Open: what was read would stay with it
		span = r.FallbackPolicy.Duration
	}
	l.spans[n] = span
	return span
}

// longest is the longest floor that somebody may act on: of any version that is not forgotten.
func (l *StateMachine) longest() (most Time) {
	for _, v := range l.Versions {
		most = max(most, l.span(v.Number))
	}
	return most
}

// names are a set's members, in order.
func names(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// VersionByDigest is the newest version with a digest; nil: there is none.
func (l *StateMachine) VersionByDigest(digest string) *configversion.Version {
	for _, v := range slices.Backward(l.Versions) {
		if v.Digest == digest {
			return v
		}
	}
	return nil
}
