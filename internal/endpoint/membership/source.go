package membership

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/endpoint"
)

// SourceState is how a source stands.
type SourceState uint8

const (
	Starting     SourceState = iota // it has never been reached
	Connected                       // it is reached, and what it says is in force
	Disconnected                    // its link is lost, its last list is in force
	Stale                           // cut for long: its last list is in force and counts as old
)

func (s SourceState) String() string {
	return [...]string{"starting", "current", "cut", "silent"}[s]
}

// Source is one that brings lists.
type Source struct {
	Name  string
	State SourceState
	Since Time // of the state
	fleet *Tracker
	rank  int
	// What it says.
	said    []endpoint.Node // nil: nothing yet
	version string
	sum     uint64
	heard   Time // its last list
	first   bool // that is the first one that it brought itself
	stale   bool // that list may be old
	// Lists that were in force before, so that one that comes back after a cut is known.
	left      []mark
	fresh     bool           // nothing was said since the link came up
	old       *endpoint.List // one that is held as old; nil: none
	oldAt     Time
	LinkError string // why its link is not there; empty: it is
	// The last update that was refused.
	RejectReason string
	RejectedAt   Time
	Rejections   int
}

// mark is what a list is known by.
type mark struct {
	version string
	sum     uint64
}

// marksKept is how many lists of a source are remembered: what comes back from before them counts as new.
const marksKept = 64

// Version is the version in force.
func (s *Source) Version() string { return s.version }

// UpdatedAt is when the list in force was said; 0: none is.
func (s *Source) UpdatedAt() Time { return s.heard }

// NodeCount is how many nodes the list in force has.
func (s *Source) NodeCount() int { return len(s.said) }

// HeldVersion is the version that is held as old; empty: none.
func (s *Source) HeldVersion() string {
	if s.old == nil {
		return ""
	}
	return s.old.Version
}

// move is the one place where a source's state changes.
func (s *Source) move(now Time, to SourceState, why string) {
	if s.State == to {
		return
	}
	from := s.State
	s.State, s.Since = to, now
	s.fleet.changed = true
	if s.heard > 0 {
		s.fleet.note("source %s: %s, was %s, its list is %d ms old: %s", s.Name, to, from, (now-s.heard)/1e6, why)
	} else {
		s.fleet.note("source %s: %s, was %s, it has no list yet: %s", s.Name, to, from, why)
	}
}

// LinkUp tells that the source is reached, anew.
func (s *Source) LinkUp(now Time) {
	s.fresh, s.LinkError = true, ""
	s.move(now, Connected, "it is reached")
}

// LinkDown tells that the source's link is lost.
func (s *Source) LinkDown(now Time, why string) {
	s.LinkError = why
	if s.State == Connected {
		s.move(now, Disconnected, why)
	}
	if s.old != nil {
		s.fleet.note("source %s: version %q is no longer held: the link is lost", s.Name, s.old.Version)
		s.old = nil
	}
}

// Reject tells of an update that cannot be used. What is in force stays so.
func (s *Source) Reject(now Time, why string) {
	s.RejectReason, s.RejectedAt = why, now
	s.Rejections++
	s.fleet.note("source %s: an update is refused, version %q stays in force: %s", s.Name, s.version, why)
}

// Receive tells of a whole list. One that is stale was kept from an earlier life and counts until the source itself speaks.
func (s *Source) Receive(now Time, l endpoint.List) {
	m := mark{l.Version, sum(l.Nodes)}
	again := s.said != nil && m.version == s.version && m.sum == s.sum
	back := s.fresh && !l.Stale && !again && s.leftAlready(m)
	if !l.Stale {
		s.fresh = false
	}
	if back {
		s.old, s.oldAt = &l, now
		s.fleet.note("source %s: version %q was left already, version %q stays in force: held", s.Name, l.Version, s.version)
		return
	}
	s.take(now, l, "")
}

func (s *Source) leftAlready(m mark) bool {
	for _, old := range s.left {
		if old == m {
			return true
		}
	}
	return false
}

// take puts a list in force.
func (s *Source) take(now Time, l endpoint.List, why string) {
	s.old = nil
	m := mark{l.Version, sum(l.Nodes)}
	if s.said != nil && (m.version != s.version || m.sum != s.sum) && !s.leftAlready(mark{s.version, s.sum}) {
		s.left = append(s.left, mark{s.version, s.sum})
		if len(s.left) > marksKept {
			s.left = s.left[1:]
		}
	}
	if why != "" {
		s.fleet.note("source %s: version %q is taken: %s", s.Name, l.Version, why)
	}
	s.first = s.said == nil || s.stale
	s.said, s.version, s.sum, s.heard, s.stale = l.Nodes, m.version, m.sum, now, l.Stale
	if s.said == nil {
		s.said = []endpoint.Node{}
	}
	f := s.fleet
	f.changed = true
	if f.hold != nil && f.hold.by[s] && now >= f.hold.since+f.terms.HoldDown && !l.Stale {
		f.hold.next = true
	}
}

// pass lets time pass: a link that was cut for long, an old list that has stood for long.
func (s *Source) pass(now Time) {
	t := &s.fleet.terms
	if s.State == Disconnected && now >= s.Since+t.StaleAfter {
		s.move(now, Stale, "its link has not come back")
	}
	if s.old != nil && now >= s.oldAt+t.HoldDown {
		s.take(now, *s.old, "it has stood long enough")
	}
}

// wake is when pass has something to do; 0: never.
func (s *Source) wake() (at Time) {
	if s.State == Disconnected {
		at = s.Since + s.fleet.terms.StaleAfter
	}
	if s.old != nil {
		at = sooner(at, s.oldAt+s.fleet.terms.HoldDown)
	}
	return at
}

// sum tells lists apart by what they hold, in any order.
func sum(nodes []endpoint.Node) (all uint64) {
	var b []byte
	for _, n := range nodes {
		b = append(append(append(append(b[:0], n.Addr...), 0), n.Zone...), 0)
		b = binary.BigEndian.AppendUint64(b, uint64(n.Shard))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(n.Weight))
		b = binary.BigEndian.AppendUint64(b, uint64(n.StartedAt))
		b = binary.BigEndian.AppendUint64(b, uint64(n.Priority))
		b = append(append(b, byte(n.Health)), n.Name...)
		all += xxhash.Sum64(b)
	}
	return all
}
