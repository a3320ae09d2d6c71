package membership

import (
	"cmp"
	"fmt"
	"slices"

	"irispost/internal/endpoint"
)

// Reasons for node states. They are shown on the admin socket, so the texts must not change.
const (
	reasonHeldDown   = "its loss is held"
	reasonReassigned = "its address now stands for shard %d"
	reasonUnlisted   = "no source has it"
	reasonGraceOver  = "the grace is over"
	reasonReported   = "said by " // followed by the name of the source
	reasonFlapped    = "ready again %d times of late"
	reasonStandby    = "its shard is served by " // followed by the address of that node
)

// updateMembers derives the state of each member from the lists in force.
func (t *Tracker) updateMembers(now Time) {
	t.mergeReports()
	for _, m := range t.ordered {
		t.trackReadiness(now, m)
	}
	elected := t.elect(now)
	held := t.holdLosses(now, elected)
	for _, m := range t.ordered {
		t.transition(now, m, elected[m.shard], held[m])
	}
	t.forget(now)
}

// mergeReports sets the report of each address to that of the source with the highest precedence.
func (t *Tracker) mergeReports() {
	for _, m := range t.ordered {
		m.listed = false
	}
	known := len(t.ordered)
	for _, s := range slices.Backward(t.sources) { // in reverse, so that earlier sources override later ones
		for _, n := range s.nodes {
			if n.Health != endpoint.Removed {
				t.merge(s, n)
			}
		}
	}
	for _, s := range t.sources {
		t.mergeRemovals(s)
	}
	if len(t.ordered) > known {
		slices.SortFunc(t.ordered, func(a, b *Member) int { return cmp.Compare(a.Addr, b.Addr) })
	}
}

// merge applies one report, and adds a member if the address is unknown.
func (t *Tracker) merge(s *Source, n endpoint.Node) {
	m := t.members[n.Addr]
	if m == nil {
		m = &Member{Addr: n.Addr, shard: n.Shard, startedAt: startUnknown}
		t.members[n.Addr] = m
		t.ordered = append(t.ordered, m)
	}
	m.reported, m.Source, m.listed = n, s, true
}

// mergeRemovals unlists the addresses that a source reports as removed if only sources of lower precedence list them.
func (t *Tracker) mergeRemovals(s *Source) {
	for _, n := range s.nodes {
		m := t.members[n.Addr]
		if n.Health != endpoint.Removed || m == nil || !m.listed || s.precedence >= m.Source.precedence {
			continue
		}
		m.reported, m.Source, m.listed = n, s, false
	}
}

// trackReadiness records when the report of a node changes to ready, for flap damping.
func (t *Tracker) trackReadiness(now Time, m *Member) {
	ready := m.listed && m.reported.Health == endpoint.Ready
	switch {
	case !ready:
		m.readySince = 0
	case m.readySince == 0:
		m.readySince = now
		if m.knownToScheduler {
			m.recoveries = append(m.recoveries, now)
		}
	}
	m.recoveries = slices.DeleteFunc(m.recoveries, func(at Time) bool { return at <= now-t.settings.FlapWindow })
}

// elect returns the node elected for each shard that has a candidate.
func (t *Tracker) elect(now Time) map[int]*Member {
	candidates := map[int][]*Member{}
	for _, m := range t.ordered {
		if t.isCandidate(now, m) {
			candidates[m.shard] = append(candidates[m.shard], m)
		}
	}
	elected := map[int]*Member{}
	for shard, list := range candidates {
		elected[shard] = slices.MinFunc(list, compareCandidates)
	}
	return elected
}

// isCandidate reports whether a node could serve its shard. It first updates the shard and the start time of the node.
func (t *Tracker) isCandidate(now Time, m *Member) bool {
	if !m.listed {
		return false
	}
	if m.reassigned() && !t.reassign(now, m) {
		return false
	}
	m.updateStartTime(now)
	return m.reported.Health == endpoint.Ready && !t.isDamped(now, m)
}

// reassign moves a node to the shard that its address is now listed for. It returns false and does nothing until the
// node has been removed from its old shard and the removal grace for attempts in flight there is over.
func (t *Tracker) reassign(now Time, m *Member) bool {
	switch {
	case m.State == Removing && now < m.Since+t.settings.RemovalGrace:
		return false
	case m.knownToScheduler && m.State != Removing && m.State != Absent:
		return false
	}
	m.shard = m.reported.Shard
	if m.knownToScheduler && m.reported.StartedAt <= m.startedAt {
		m.markRestarted(now) // it must be another process than before
	}
	return true
}

// isDamped reports whether a node flapped so often that its readiness does not count yet.
func (t *Tracker) isDamped(now Time, m *Member) bool {
	if len(m.recoveries) <= t.settings.MaxFlaps || m.State.inUse() {
		return false
	}
	end := m.readySince + t.settings.DampingTime
	if now >= end {
		return false
	}
	t.scheduleReconcile(end)
	return true
}

// transition moves a member to the state that follows from its report, from the node elected for its shard (nil: none)
// and from whether its loss is held down.
func (t *Tracker) transition(now Time, m, elected *Member, held bool) {
	reassigned := m.reassigned()
	switch {
	case held:
		t.setState(now, m, HeldDown, reasonHeldDown)
	case reassigned:
		if m.State != Removing {
			t.setState(now, m, Removing, fmt.Sprintf(reasonReassigned, m.reported.Shard))
		}
	case !m.listed:
		if m.State != Removing && m.State != Absent {
			t.setState(now, m, Removing, reasonUnlisted)
		}
	default:
		t.transitionListed(now, m, elected)
	}
	if m.State != Removing {
		return
	}
	if graceEnd := m.Since + t.settings.RemovalGrace; reassigned || now < graceEnd {
		t.scheduleReconcile(graceEnd)
		return
	}
	t.setState(now, m, Absent, reasonGraceOver)
}

// transitionListed does the same for a member that is listed for the shard that it is assigned to.
func (t *Tracker) transitionListed(now Time, m, elected *Member) {
	reported := reasonReported + m.Source.Name
	switch {
	case m.reported.Health == endpoint.Draining:
		t.setState(now, m, Draining, reported)
	case m.reported.Health == endpoint.Unhealthy:
		t.setState(now, m, Unhealthy, reported)
	case elected == m:
		t.setState(now, m, Serving, reported)
	case t.isDamped(now, m):
		t.setState(now, m, Damped, fmt.Sprintf(reasonFlapped, len(m.recoveries)))
	default:
		t.setState(now, m, Standby, reasonStandby+elected.Addr)
	}
}

// setState changes the state of a member and logs the change. All state changes go through it.
func (t *Tracker) setState(now Time, m *Member, to State, reason string) {
	from := m.State
	m.Reason = reason
	if from == to {
		return
	}
	m.State, m.Since = to, now
	if to.introduces() {
		m.knownToScheduler = true
	}
	t.logEvent("node state changed", "node", m.Addr, "shard", m.shard, "from", from, "to", to, "reason", reason)
}

// forget drops members that have been absent for ForgetAfter.
func (t *Tracker) forget(now Time) {
	t.ordered = slices.DeleteFunc(t.ordered, func(m *Member) bool {
		if m.State != Absent || m.listed {
			return false
		}
		if at := m.Since + t.settings.ForgetAfter; now < at {
			t.scheduleReconcile(at)
			return false
		}
		delete(t.members, m.Addr)
		return true
	})
}
