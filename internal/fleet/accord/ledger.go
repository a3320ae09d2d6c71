// Package accord decides how gateways come to act on versions of rules together: what the keepers' log comes to (Ledger),
// when the leading keeper may bring a version into force (Warden), and what a gateway acts on meanwhile (Follower). It is
// pure: no I/O, no clock, no chance. Each clock that it is told of is one process's own and never goes back; no two are
// compared, and none tells the time of day. docs/fleet.md has the argument and the times that follow from it.
package accord

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"irispost/internal/fleet/rules"
)

// Time is nanoseconds on one process's clock.
type Time = int64

// Terms are fixed when a fleet is founded: leases that are out were given by them.
type Terms struct {
	Lease Time    `json:"lease"` // for so long a gateway acts on what the keepers told it, counted from when it asked
	Drift float64 `json:"drift"` // clocks run this part faster or slower than true time at most
}

// longer is a span as the keepers count it: past the end of the holder's, however the two clocks drift.
func (t Terms) longer(span Time) Time {
	return Time(float64(span)*(1+t.Drift)/(1-t.Drift)) + 1
}

// Proposal is a change that somebody wants. ID is its own, so that one asked for again is not made twice.
type Proposal struct {
	ID     string `json:"id"`
	Parent uint64 `json:"parent"` // the newest version as the author knows it
	Over   bool   `json:"over"`   // in place of one that is announced and not in force yet
	Author string `json:"author"`
	Why    string `json:"why"`
	Time   string `json:"time"` // for people
	Rules  []byte `json:"rules"`
}

// Command is one entry of the keepers' log. One of its parts is set.
type Command struct {
	Found   *Terms    `json:"found,omitempty"`
	Propose *Proposal `json:"propose,omitempty"`
	Force   uint64    `json:"force,omitempty"`
	Join    []string  `json:"join,omitempty"`
	Part    []string  `json:"part,omitempty"`
	Away    []string  `json:"away,omitempty"` // their leases have run out; they may act on a floor
}

// Ledger is what the log has come to. The same commands in the same order give the same ledger at each keeper.
type Ledger struct {
	Terms     Terms             `json:"terms"`
	Versions  []*rules.Version  `json:"versions"` // by number, from 1
	IDs       map[string]uint64 `json:"ids"`      // of proposals
	InForce   uint64            `json:"in_force"` // 0: none
	Announced uint64            `json:"announced"`
	Holders   map[string]bool   `json:"holders"` // that may hold a lease or a floor
	Present   map[string]bool   `json:"present"` // those of them that may hold a lease
	Sets      uint64            `json:"sets"`    // changes of who is present
	Parts     uint64            `json:"parts"`   // gateways that were present and ceased to be, so far
}

// Why a proposal is refused. The text says what to do.
var (
	ErrParent  = errors.New("it was made of a version that is not the newest")
	ErrPending = errors.New("another version is announced and not in force yet")
)

// NewLedger is the ledger of an empty log.
func NewLedger() *Ledger {
	return &Ledger{IDs: map[string]uint64{}, Holders: map[string]bool{}, Present: map[string]bool{}}
}

// Version is a version by its number; nil: there is none.
func (l *Ledger) Version(n uint64) *rules.Version {
	if n == 0 || n > uint64(len(l.Versions)) {
		return nil
	}
	return l.Versions[n-1]
}

// Apply takes the next command of the log.
func (l *Ledger) Apply(c *Command) (*rules.Version, error) {
	switch {
	case c.Found != nil:
		if l.Terms.Lease > 0 {
			return nil, errors.New("the fleet is founded already")
		}
		l.Terms = *c.Found
	case c.Propose != nil:
		return l.propose(c.Propose)
	case c.Force > 0:
		if c.Force == l.Announced { // one that another has taken the place of never comes into force
			l.InForce = c.Force
		}
	default:
		before := l.Sets
		for _, name := range c.Join {
			l.Holders[name] = true
			if !l.Present[name] {
				l.Present[name], l.Sets = true, before+1
			}
		}
		for _, name := range slices.Concat(c.Part, c.Away) {
			if l.Present[name] {
				delete(l.Present, name)
				l.Parts, l.Sets = l.Parts+1, before+1
			}
		}
		for _, name := range c.Part {
			delete(l.Holders, name)
		}
	}
	return nil, nil
}

func (l *Ledger) propose(p *Proposal) (*rules.Version, error) {
	if n := l.IDs[p.ID]; n > 0 {
		return l.Version(n), nil
	}
	if p.Parent != l.Announced {
		if newest := l.Version(l.Announced); newest != nil {
			return nil, fmt.Errorf("%w: it was made of %d, the newest is %s by %s: %s", ErrParent, p.Parent, newest.Name(), newest.Author, newest.Why)
		}
		return nil, fmt.Errorf("%w: it was made of %d, there is none yet", ErrParent, p.Parent)
	}
	if l.Announced != l.InForce && !p.Over {
		return nil, fmt.Errorf("%w: %s", ErrPending, l.Version(l.Announced).Name())
	}
	r, err := rules.Read(p.Rules)
	var newer *rules.NewerError
	if err != nil && !errors.As(err, &newer) { // a keeper may be older than what the gateways are asked to act on
		return nil, err
	}
	v := &rules.Version{Number: l.Announced + 1, Parent: p.Parent, Author: p.Author, Why: p.Why, Time: p.Time, Rules: p.Rules}
	if newer != nil {
		v.Digest = rules.Sum(p.Rules)
	} else {
		v.Digest, v.Rules = r.Digest(), r.Canonical()
	}
	l.Versions = append(l.Versions, v)
	l.Announced = v.Number
	l.IDs[p.ID] = v.Number
	return v, nil
}

// longest is the longest floor of any version so far.
func (l *Ledger) longest() (most Time) {
	for _, v := range l.Versions {
		if r, err := v.Open(); err == nil {
			most = max(most, r.Floor.For)
		}
	}
	return most
}

// Save writes the ledger down.
func (l *Ledger) Save() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic("a ledger cannot be written: " + err.Error()) // it holds texts and whole numbers only
	}
	return b
}

// Restore reads what Save wrote.
func Restore(b []byte) (*Ledger, error) {
	l := NewLedger()
	if err := json.Unmarshal(b, l); err != nil {
		return nil, fmt.Errorf("a ledger cannot be read: %w", err)
	}
	if l.Announced != uint64(len(l.Versions)) || l.InForce > l.Announced {
		return nil, fmt.Errorf("a ledger of %d versions has %d announced and %d in force", len(l.Versions), l.Announced, l.InForce)
	}
	return l, nil
}

// names are a set's members, in order.
func names(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }

// Content is the newest version with a digest; nil: there is none.
func (l *Ledger) Content(digest string) *rules.Version {
	for _, v := range slices.Backward(l.Versions) {
		if v.Digest == digest {
			return v
		}
	}
	return nil
}
