package membership

import (
	"cmp"

	"irispost/internal/endpoint"
)

// startUnknown is a member's start time before any has been settled on.
const startUnknown Time = -1

// Member is a node, identified by its address.
type Member struct {
	Addr   string
	State  State
	Since  Time    // when it entered State
	Reason string  // why it is in State, as the admin socket shows it
	Source *Source // the source whose report counts; once no source lists the node, the last that did

	reported         endpoint.Node // by Source, last
	listed           bool          // a source lists it
	shard            int           // that it is in use for
	startedAt        Time          // as the scheduler sees it: it never goes back
	knownToScheduler bool          // the scheduler has been told of it
	readySince       Time          // reported ready since then; 0: it is not
	recoveries       []Time        // when its report changed to ready, within FlapWindow
}

// Shard returns the shard that the node is in use for.
func (m *Member) Shard() int { return m.shard }

// Reported returns the last report of the node's source.
func (m *Member) Reported() endpoint.Node { return m.reported }

// reassigned tells whether the node's address is now listed for another shard than the one that it is in use for.
func (m *Member) reassigned() bool { return m.listed && m.reported.Shard != m.shard }

// markRestarted gives the node a start time of now, and in any case later than before.
func (m *Member) markRestarted(now Time) { m.startedAt = max(now, m.startedAt+1) }

// updateStartTime settles when the node started, which the source may leave open.
func (m *Member) updateStartTime(now Time) {
	returned := m.State == Absent && m.knownToScheduler && m.reported.StartedAt <= m.startedAt
	switch {
	case m.reported.StartedAt > max(m.startedAt, 0):
		m.startedAt = m.reported.StartedAt
	case m.startedAt == startUnknown && m.Source.initial:
		m.startedAt = 0 // it came with a source's first list: as far as can be known, it has run for long
	case m.startedAt == startUnknown || returned:
		m.markRestarted(now) // new, or back after it was removed, with no start time reported
	}
}

// compareCandidates orders the candidates for a shard, the one to elect first: by priority; the one that started
// later, as it replaces the other; the one in use; by the sources' precedence; by address.
func compareCandidates(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.reported.Priority, b.reported.Priority),
		cmp.Compare(b.startedAt, a.startedAt),
		compareInUse(a, b),
		cmp.Compare(a.Source.precedence, b.Source.precedence),
		cmp.Compare(a.Addr, b.Addr),
	)
}

func compareInUse(a, b *Member) int {
	switch {
	case a.State.inUse() == b.State.inUse():
		return 0
	case a.State.inUse():
		return -1
	}
	return 1
}
