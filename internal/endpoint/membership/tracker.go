// Package membership decides which storage nodes a gateway uses, and in which state, from the endpoint lists that its
// sources report: at most one node a shard, with hold-down of mass losses, flap damping and a grace for removed nodes.
//
// It is pure: no I/O, no clock, no randomness. The endpoint manager owns a Tracker in one goroutine, reports events to
// its sources with their time, calls Reconcile after each and hands the resulting list on. docs/members.md gives the
// rules and their reasons.
package membership

import (
	"slices"
	"strings"

	"irispost/internal/endpoint"
)

// Tracker holds what is known of all nodes and sources.
type Tracker struct {
	settings     Settings
	sources      []*Source // by precedence
	members      map[string]*Member
	ordered      []*Member    // by address
	recentLosses map[int]Time // when a shard lost its last node, within HoldDown
	hold         *holdDown    // nil: no loss is held down
	confirmed    bool         // an operator confirmed the loss that is held down
	dirty        bool         // something changed since the last Reconcile
	nextAt       Time         // when time alone changes something; 0: never
	events       []Event

	// The list that the scheduler was given last.
	published    bool // one was
	nodes        []endpoint.Node
	nodesStale   bool
	nodesVersion string
}

// New returns a Tracker of the sources with these names, in the order of their precedence: where two list the same
// address, the first counts.
func New(settings Settings, names ...string) *Tracker {
	t := &Tracker{settings: settings, members: map[string]*Member{}, recentLosses: map[int]Time{}}
	for i, name := range names {
		t.sources = append(t.sources, &Source{tracker: t, Name: name, precedence: i})
	}
	return t
}

// Sources returns the sources by precedence.
func (t *Tracker) Sources() []*Source { return t.sources }

// Members returns the nodes by address.
func (t *Tracker) Members() []*Member { return t.ordered }

// Update is the result of Reconcile.
type Update struct {
	List    endpoint.List // the complete list for the scheduler
	Changed bool          // List differs from the one before
	Events  []Event       // for the log, in their order
	NextAt  Time          // when Reconcile has to be called at the latest; 0: not before the next event
}

// Confirm accepts everything that is held down, on an operator's word. It returns how many nodes and lists that were.
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

// Reconcile brings all members up to date and returns the list for the scheduler.
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

// publish makes a new list of the members, and tells whether it differs from the last.
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

// buildList returns the list for the scheduler. It is complete: a node that it leaves out is removed.
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

// listEntry is the member's entry in the list for the scheduler; false: it has none.
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

// combinedVersion names the sources' versions in force.
func (t *Tracker) combinedVersion() string {
	list := make([]string, len(t.sources))
	for i, s := range t.sources {
		list[i] = s.version
	}
	return strings.Join(list, " ")
}

// logEvent notes a change for the log.
func (t *Tracker) logEvent(message string, attrs ...any) {
	t.events = append(t.events, Event{message, attrs})
}

// scheduleReconcile has Reconcile called at a time at the latest.
func (t *Tracker) scheduleReconcile(at Time) { t.nextAt = earlier(t.nextAt, at) }

// earlier returns the earlier of two times, where 0 stands for never.
func earlier(a, b Time) Time {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
