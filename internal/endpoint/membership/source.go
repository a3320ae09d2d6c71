package membership

import (
	"slices"

	"irispost/internal/endpoint"
)

// maxSuperseded is the number of superseded lists remembered for each source. An older list that is received again
// counts as new.
const maxSuperseded = 64

// Source is a source of endpoint lists from the Tracker's point of view: the state of the connection and the list in
// force.
type Source struct {
	Name  string
	State SourceState
	Since Time // when State was entered

	LinkError string // why the source is not connected; empty: it is

	// Rejected updates; the reason and the time are those of the last one.
	RejectReason string
	RejectedAt   Time
	Rejections   int // number of updates rejected so far

	tracker    *Tracker
	precedence int // lower values override higher ones

	// The list in force.
	nodes       []endpoint.Node // nil: no list yet
	version     string
	fingerprint uint64
	updatedAt   Time
	initial     bool // it is the first list, or the first one after a cached list
	stale       bool // it was read from the cache and may be out of date

	// State for detecting that a source sends a superseded list after a reconnect, as a lagging replica does.
	superseded  []listIdentity // lists that were in force before, oldest first
	reconnected bool           // nothing has been received since the connection was established
	held        *endpoint.List // a superseded list that is held down; nil: none
	heldSince   Time
}

// listIdentity identifies a list. The version is not sufficient, because a restarted server may reuse it for other
// nodes.
type listIdentity struct {
	version     string
	fingerprint uint64
}

// Version returns the version of the list in force.
func (s *Source) Version() string { return s.version }

// UpdatedAt returns when the list in force was received, or 0 if there is none.
func (s *Source) UpdatedAt() Time { return s.updatedAt }

// NodeCount returns the number of nodes in the list in force.
func (s *Source) NodeCount() int { return len(s.nodes) }

// HeldVersion returns the version of the superseded list that is held down, or an empty string if there is none.
func (s *Source) HeldVersion() string {
	if s.held == nil {
		return ""
	}
	return s.held.Version
}

// hasList reports whether a list of the source is in force, cached or received.
func (s *Source) hasList() bool { return s.nodes != nil }

// current returns the identity of the list in force.
func (s *Source) current() listIdentity { return listIdentity{s.version, s.fingerprint} }

// setState changes the state and logs the change. All state changes go through it.
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

// LinkUp reports that a connection to the source is established, for the first time or again.
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

// Reject reports an invalid update. The list in force stays.
func (s *Source) Reject(now Time, reason string) {
	s.RejectReason, s.RejectedAt = reason, now
	s.Rejections++
	s.tracker.logEvent("endpoint list update rejected", "source", s.Name, "version", s.version, "err", reason)
}

// Receive reports a complete list. A stale list was cached by an earlier run of the gateway and is in force until the
// source itself sends one. A superseded list that is the first one after a reconnect is held down.
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

// isSuperseded reports whether a list was in force before the current one.
func (s *Source) isSuperseded(list listIdentity) bool { return slices.Contains(s.superseded, list) }

// accept puts a list in force. If the list was held down, reason says why it is accepted; otherwise it is empty.
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

// supersede records the list in force as superseded, unless the next one is the same.
func (s *Source) supersede(next listIdentity) {
	if !s.hasList() || next == s.current() || s.isSuperseded(s.current()) {
		return
	}
	s.superseded = append(s.superseded, s.current())
	if len(s.superseded) > maxSuperseded {
		s.superseded = s.superseded[1:]
	}
}

// noteRepeatedLoss records an update that arrives after HoldDown from a source whose nodes are held down.
func (s *Source) noteRepeatedLoss(now Time) {
	hold := s.tracker.hold
	if hold != nil && hold.sources[s] && now >= hold.since+s.tracker.settings.HoldDown && !s.stale {
		hold.repeated = true
	}
}

// advance applies the transitions that depend on time alone: a source disconnected for StaleAfter becomes stale, and a
// list held down for HoldDown is accepted.
func (s *Source) advance(now Time) {
	settings := &s.tracker.settings
	if s.State == Disconnected && now >= s.Since+settings.StaleAfter {
		s.setState(now, Stale, "connection not restored in time")
	}
	if s.held != nil && now >= s.heldSince+settings.HoldDown {
		s.accept(now, *s.held, reasonElapsed)
	}
}

// nextAt returns when advance has to be called next, or 0 if no transition is pending.
func (s *Source) nextAt() (at Time) {
	if s.State == Disconnected {
		at = s.Since + s.tracker.settings.StaleAfter
	}
	if s.held != nil {
		at = earlier(at, s.heldSince+s.tracker.settings.HoldDown)
	}
	return at
}
