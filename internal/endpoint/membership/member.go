package membership

import (
	"cmp"

	"irispost/internal/endpoint"
)

// startUnknown is the start time of a member for which none has been determined yet.
const startUnknown Time = -1

// Member is a node, identified by its address.
type Member struct {
	Addr   string
	State  State
	Since  Time    // when State was entered
	Reason string  // why it is in State; shown on the admin socket
	Source *Source // the source whose report takes precedence; if no source lists the node, the last one that did

	reported         endpoint.Node // the last report of Source
	listed           bool          // by at least one source
	shard            int           // the shard that the node is assigned to
	startedAt        Time          // start time given to the scheduler; it never decreases
	knownToScheduler bool          // it was in a list for the scheduler
	readySince       Time          // when the report last changed to ready; 0: the node is not ready
	recoveries       []Time        // times within FlapWindow when the report changed back to ready
}

// Shard returns the shard that the node is assigned to.
func (m *Member) Shard() int { return m.shard }

// Reported returns the last report of the node by its source.
func (m *Member) Reported() endpoint.Node { return m.reported }

// reassigned reports whether the node's address is now listed for another shard than the one that it is assigned to.
func (m *Member) reassigned() bool { return m.listed && m.reported.Shard != m.shard }

// markRestarted sets the start time to now, or to just after the previous one if that is later.
func (m *Member) markRestarted(now Time) { m.startedAt = max(now, m.startedAt+1) }

// updateStartTime determines the start time of the node, which the source may not report.
func (m *Member) updateStartTime(now Time) {
	returned := m.State == Absent && m.knownToScheduler && m.reported.StartedAt <= m.startedAt
	switch {
	case m.reported.StartedAt > max(m.startedAt, 0):
		m.startedAt = m.reported.StartedAt
	case m.startedAt == startUnknown && m.Source.initial:
		m.startedAt = 0 // it is in the first list of a source, so it is assumed to have run for a long time
	case m.startedAt == startUnknown || returned:
		m.markRestarted(now) // new, or back after a removal without a later start time
	}
}

// compareCandidates orders the candidates for a shard; the first one is elected. The criteria are: lower priority
// value; later start, because a later node replaces an earlier one; node in use; precedence of the source; address.
func compareCandidates(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.reported.Priority, b.reported.Priority),
		cmp.Compare(b.startedAt, a.startedAt),
		compareInUse(a, b),
		cmp.Compare(a.Source.precedence, b.Source.precedence),
		cmp.Compare(a.Addr, b.Addr),
	)
}

// compareInUse orders a node in use before one that is not.
func compareInUse(a, b *Member) int {
	switch {
	case a.State.inUse() == b.State.inUse():
		return 0
	case a.State.inUse():
		return -1
	}
	return 1
}
