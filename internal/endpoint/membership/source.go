package membership

import (
	"slices"

	"irispost/internal/endpoint"
)

// maxSuperseded is how many lists of a source are remembered as superseded: one from before them counts as new.
const maxSuperseded = 64

// Source is a source of endpoint lists as the Tracker knows it: its connection, and the list in force.
type Source struct {
	Name  string
	State SourceState
	Since Time // when it entered State

	LinkError string // why it is not connected; empty: it is

	// The last update that was rejected.
	RejectReason string
	RejectedAt   Time
	Rejections   int // updates rejected so far

	tracker    *Tracker
	precedence int // 0 before 1

	// The list in force.
	nodes       []endpoint.Node // nil: there is no list yet
	version     string
	fingerprint uint64
	updatedAt   Time
	initial     bool // it is the first that the source itself sent
	stale       bool // it may be out of date

	// Detection of a source that comes back with a list from before a disconnection, such as a lagging replica.
	superseded  []listIdentity // lists that were in force before, the oldest first
	reconnected bool           // nothing was received since the connection came up
	held        *endpoint.List // a superseded list that is held down; nil: none
	heldSince   Time
}

// listIdentity is what a list is recognised by: servers that restart may use a version again for other nodes.
type listIdentity struct {
	version     string
	fingerprint uint64
}

// Version returns the version in force.
func (s *Source) Version() string { return s.version }

// UpdatedAt returns when the list in force was received; 0: there is none.
func (s *Source) UpdatedAt() Time { return s.updatedAt }

// NodeCount returns how many nodes the list in force has.
func (s *Source) NodeCount() int { return len(s.nodes) }

// HeldVersion returns the version of the superseded list that is held down; empty: none is.
func (s *Source) HeldVersion() string {
	if s.held == nil {
		return ""
	}
	return s.held.Version
}

// hasList tells whether the source has sent a list.
func (s *Source) hasList() bool { return s.nodes != nil }

// current returns the identity of the list in force.
func (s *Source) current() listIdentity { return listIdentity{s.version, s.fingerprint} }

// setState is the one place where a source's state changes.
func (s *Source) setState(now Time, to SourceState, reason string) {
	if s.State == to {
		return
	}
	from := s.State
	s.State, s.Since = to, now
	s.tracker.dirty = true
	attrs := []any{"source", s.Name, "from", from, "to", to, "reason", reason}
	if s.updatedAt > 0 {
		attrs = append(attrs, "list_age_ms", (now-s.updatedAt)/1e6)
	}
	s.tracker.logEvent("endpoint source state changed", attrs...)
}

// LinkUp reports that the source is connected, for the first time or again.
func (s *Source) LinkUp(now Time) {
	s.reconnected, s.LinkError = true, ""
	s.setState(now, Connected, "connected")
}

// LinkDown reports that the connection to the source is lost. Its last list stays in force.
func (s *Source) LinkDown(now Time, reason string) {
	s.LinkError = reason
	if s.State == Connected {
		s.setState(now, Disconnected, reason)
	}
	if s.held != nil {
		s.tracker.logEvent("superseded endpoint list discarded", "source", s.Name, "version", s.held.Version,
			"reason", "connection lost")
		s.held = nil
	}
}

// Reject reports an update that can't be used. The list in force stays.
func (s *Source) Reject(now Time, reason string) {
	s.RejectReason, s.RejectedAt = reason, now
	s.Rejections++
	s.tracker.logEvent("endpoint list update rejected", "source", s.Name, "version", s.version, "err", reason)
}

// Receive reports a complete list. A stale one was cached by an earlier run of the gateway, and is in force until the
// source itself sends one.
func (s *Source) Receive(now Time, list endpoint.List) {
	received := identityOf(list)
	returned := s.reconnected && !list.Stale && (!s.hasList() || received != s.current()) && s.isSuperseded(received)
	if !list.Stale {
		s.reconnected = false
	}
	if returned {
		s.held, s.heldSince = &list, now
		s.tracker.logEvent("superseded endpoint list held down", "source", s.Name, "version", list.Version,
			"version_in_force", s.version)
		return
	}
	s.accept(now, list, "")
}

// isSuperseded tells whether a list was in force before the present one.
func (s *Source) isSuperseded(list listIdentity) bool { return slices.Contains(s.superseded, list) }

// accept puts a list in force. reason tells why one that was held down is accepted, and is empty for others.
func (s *Source) accept(now Time, list endpoint.List, reason string) {
	s.held = nil
	accepted := identityOf(list)
	s.supersede(accepted)
	if reason != "" {
		s.tracker.logEvent("superseded endpoint list accepted", "source", s.Name, "version", list.Version, "reason", reason)
	}
	s.initial = !s.hasList() || s.stale
	s.nodes = list.Nodes
	if s.nodes == nil {
		s.nodes = []endpoint.Node{}
	}
	s.version, s.fingerprint = accepted.version, accepted.fingerprint
	s.updatedAt, s.stale = now, list.Stale
	s.tracker.dirty = true
	s.noteRepeatedLoss(now)
}

// supersede remembers the list in force, unless the next one is the same.
func (s *Source) supersede(next listIdentity) {
	if !s.hasList() || next == s.current() || s.isSuperseded(s.current()) {
		return
	}
	s.superseded = append(s.superseded, s.current())
	if len(s.superseded) > maxSuperseded {
		s.superseded = s.superseded[1:]
	}
}

// noteRepeatedLoss notes that the source has sent an update after the hold-down time of a loss of its nodes.
func (s *Source) noteRepeatedLoss(now Time) {
	hold := s.tracker.hold
	if hold != nil && hold.sources[s] && now >= hold.since+s.tracker.settings.HoldDown && !s.stale {
		hold.repeated = true
	}
}

// advance does what time alone does: a source disconnected for long becomes stale, a list held down for long is
// accepted.
func (s *Source) advance(now Time) {
	settings := &s.tracker.settings
	if s.State == Disconnected && now >= s.Since+settings.StaleAfter {
		s.setState(now, Stale, "connection not restored in time")
	}
	if s.held != nil && now >= s.heldSince+settings.HoldDown {
		s.accept(now, *s.held, reasonElapsed)
	}
}

// nextAt returns when advance has something to do; 0: never.
func (s *Source) nextAt() (at Time) {
	if s.State == Disconnected {
		at = s.Since + s.tracker.settings.StaleAfter
	}
	if s.held != nil {
		at = earlier(at, s.heldSince+s.tracker.settings.HoldDown)
	}
	return at
}
