// Package membership decides from the endpoint lists of its sources which storage nodes a gateway uses and in which
// state. It elects at most one node per shard, holds down mass losses, damps flapping nodes and gives removed nodes a
// grace period.
//
// The package is pure: no I/O, no clock, no randomness. The endpoint manager owns a Tracker in one goroutine, reports
// events with their times to its sources, calls Reconcile after each event and passes the resulting list on.
// docs/members.md describes the rules and the reasons for them.
package membership

import (
	"slices"
	"strings"

	"irispost/internal/endpoint"
)

// Tracker tracks the states of all nodes and sources.
type Tracker struct {
	settings     Settings
	sources      []*Source // by precedence
	members      map[string]*Member
	ordered      []*Member    // by address
	recentLosses map[int]Time // when a shard lost its last node, within HoldDown
	hold         *holdDown    // nil: no loss is held down
	confirmed    bool         // an operator confirmed the loss that is held down
	dirty        bool         // something changed since the last Reconcile
	nextAt       Time         // when a change is due without an event; 0: never
	events       []Event

	// The last list for the scheduler.
	published    bool // there is such a list
	nodes        []endpoint.Node
	nodesStale   bool
	nodesVersion string
}

// New returns a Tracker for the sources with these names, in order of precedence: if several list the same address,
// the first one overrides the others.
func New(settings Settings, names ...string) *Tracker {
	t := &Tracker{settings: settings, members: map[string]*Member{}, recentLosses: map[int]Time{}}
	for i, name := range names {
		t.sources = append(t.sources, &Source{tracker: t, Name: name, precedence: i})
	}
	return t
}

// Sources returns the sources in order of precedence.
func (t *Tracker) Sources() []*Source { return t.sources }

// Members returns the nodes, sorted by address.
func (t *Tracker) Members() []*Member { return t.ordered }

// Update is the result of Reconcile.
type Update struct {
	List    endpoint.List // the complete list for the scheduler
	Changed bool          // List differs from the previous one
	Events  []Event       // events to be logged, in order
	NextAt  Time          // when Reconcile has to be called at the latest; 0: after the next event
}

// Confirm accepts all losses and lists that are held down, as requested by an operator. It returns the numbers of
// nodes and lists.
func (t *Tracker) Confirm() (nodes, lists int) {
	if t.hold != nil {
		nodes = t.hold.count
		t.confirmed, t.dirty = true, true
	}
	for _, s := range t.sources {
		if s.held != nil {
			lists++
			s.accept(s.updatedAt, *s.held, reasonConfirmed)
		}
	}
	return nodes, lists
}

// Reconcile updates all members and returns the list for the scheduler.
func (t *Tracker) Reconcile(now Time) Update {
	for _, s := range t.sources {
		s.advance(now)
	}
	var update Update
	if t.dirty || t.nextAt > 0 && now >= t.nextAt {
		t.dirty, t.nextAt = false, 0
		t.updateMembers(now)
		update.Changed = t.publish()
	}
	update.Events, t.events = t.events, nil
	update.NextAt = t.nextAt
	for _, s := range t.sources {
		update.NextAt = earlier(update.NextAt, s.nextAt())
	}
	update.List = endpoint.List{Version: t.nodesVersion, Stale: t.nodesStale, Nodes: t.nodes}
	return update
}

// publish rebuilds the list for the scheduler, and reports whether it differs from the previous one.
func (t *Tracker) publish() bool {
	if !slices.ContainsFunc(t.sources, (*Source).hasList) {
		return false
	}
	nodes, stale := t.buildList()
	if t.published && stale == t.nodesStale && slices.Equal(nodes, t.nodes) {
		return false
	}
	t.published = true
	t.nodes, t.nodesStale, t.nodesVersion = nodes, stale, t.combinedVersion()
	return true
}

// buildList returns the nodes for the scheduler, and whether the list is stale. The list is complete: the scheduler
// removes nodes that it lacks.
func (t *Tracker) buildList() (nodes []endpoint.Node, stale bool) {
	for _, m := range t.ordered {
		if n, ok := m.listEntry(); ok {
			nodes = append(nodes, n)
		}
	}
	for _, s := range t.sources {
		stale = stale || s.hasList() && (s.stale || s.State == Stale)
	}
	return nodes, stale
}

// listEntry returns the member's entry in the list for the scheduler; ok is false if it has none.
func (m *Member) listEntry() (n endpoint.Node, ok bool) {
	n = endpoint.Node{
		Addr:      m.Addr,
		Zone:      m.reported.Zone,
		Shard:     m.shard,
		Weight:    m.reported.Weight,
		StartedAt: m.startedAt,
	}
	switch m.State {
	case Serving, HeldDown:
		return n, true
	case Draining, Damped:
		n.Health = endpoint.Draining
		return n, true
	case Standby:
		n.Health = endpoint.Draining
		return n, m.knownToScheduler
	}
	return n, false
}

// combinedVersion joins the versions of the sources' lists in force.
func (t *Tracker) combinedVersion() string {
	list := make([]string, len(t.sources))
	for i, s := range t.sources {
		list[i] = s.version
	}
	return strings.Join(list, " ")
}

// logEvent adds an event to those that the next Reconcile returns.
func (t *Tracker) logEvent(message string, attrs ...any) {
	t.events = append(t.events, Event{message, attrs})
}

// scheduleReconcile makes Reconcile due at the given time, unless it is due earlier.
func (t *Tracker) scheduleReconcile(at Time) { t.nextAt = earlier(t.nextAt, at) }

// earlier returns the earlier of two times, where 0 means never.
func earlier(a, b Time) Time {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
