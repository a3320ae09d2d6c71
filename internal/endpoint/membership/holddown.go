package membership

import (
	"slices"

	"irispost/internal/endpoint"
)

// holdDownLimit is the number of HoldDown periods after which a loss is accepted without another update from its
// source.
const holdDownLimit = 3

// Reasons for accepting a loss or a list that was held down.
const (
	reasonConfirmed = "confirmed by an operator"
	reasonRepeated  = "reported again by the source"
	reasonElapsed   = "hold-down time elapsed"
)

// holdDown is a loss of nodes that has not taken effect yet.
type holdDown struct {
	since    Time
	sources  map[*Source]bool // sources of the lost nodes
	repeated bool             // one of them sent another update after HoldDown, which confirms the loss
	all      bool             // the loss would leave no node in use
	count    int              // number of nodes held down
}

// HoldDown reports whether a loss is held down, since when, how many nodes it affects, and whether it would leave no
// node in use.
func (t *Tracker) HoldDown() (since Time, count int, all, held bool) {
	if t.hold == nil {
		return 0, 0, false, false
	}
	return t.hold.since, t.hold.count, t.hold.all, true
}

// holdLosses finds the nodes whose loss would leave their shards without a node, and returns those whose loss is held
// down.
func (t *Tracker) holdLosses(now Time, elected map[int]*Member) (held map[*Member]bool) {
	lost, inUse := t.lostMembers(elected)
	recent := t.countRecentLosses(now, elected)
	confirmed := t.confirmed
	t.confirmed = false
	if len(lost) == 0 {
		if t.hold != nil {
			t.logEvent("hold-down ended", "reason", "lost nodes are back or replaced")
		}
		t.hold = nil
		return nil
	}
	if t.hold == nil {
		t.startHoldDown(now, len(lost)+recent, inUse+recent)
	}
	if t.hold != nil {
		t.hold.count, t.hold.all = len(lost), len(lost) == inUse
		reason, accepted := t.acceptLoss(now, confirmed)
		if !accepted {
			return t.hold.addLosses(lost)
		}
		t.logEvent("hold-down ended, loss accepted", "shards", len(lost), "reason", reason)
		t.hold = nil
	}
	for _, m := range lost {
		t.recentLosses[m.shard] = now
	}
	return nil
}

// lostMembers returns the nodes in use whose shards have no elected node, and the number of nodes in use. A draining
// node does not count as lost.
func (t *Tracker) lostMembers(elected map[int]*Member) (lost []*Member, inUse int) {
	for _, m := range t.ordered {
		if !m.State.inUse() {
			continue
		}
		inUse++
		drains := m.listed && m.reported.Health == endpoint.Draining && !m.reassigned()
		if elected[m.shard] == nil && !drains {
			lost = append(lost, m)
		}
	}
	return lost, inUse
}

// countRecentLosses returns the number of shards that lost their last node within HoldDown and still have none.
func (t *Tracker) countRecentLosses(now Time, elected map[int]*Member) int {
	for shard, at := range t.recentLosses {
		if elected[shard] != nil || now >= at+t.settings.HoldDown {
			delete(t.recentLosses, shard)
		}
	}
	return len(t.recentLosses)
}

// startHoldDown starts a hold-down if the fraction of shards that would lose their last node exceeds MaxLossRatio.
func (t *Tracker) startHoldDown(now Time, losses, shards int) {
	if t.settings.HoldDown == 0 || float64(losses) <= t.settings.MaxLossRatio*float64(shards) {
		return
	}
	t.hold = &holdDown{since: now, sources: map[*Source]bool{}}
	t.logEvent("hold-down started, too many shards would lose their last node", "losses", losses, "shards", shards,
		"max_loss_ratio", t.settings.MaxLossRatio)
}

// acceptLoss reports whether the loss that is held down takes effect now, and why. A hold-down does not time out while
// the loss would leave no node in use or while a source is disconnected.
func (t *Tracker) acceptLoss(now Time, confirmed bool) (reason string, accepted bool) {
	switch {
	case confirmed:
		return reasonConfirmed, true
	case t.hold.repeated:
		return reasonRepeated, true
	case t.hold.all || !t.allConnected():
		return "", false
	}
	end := t.hold.since + holdDownLimit*t.settings.HoldDown
	if now >= end {
		return reasonElapsed, true
	}
	t.scheduleReconcile(end)
	return "", false
}

// addLosses records the sources of lost nodes, and returns the nodes as a set.
func (h *holdDown) addLosses(lost []*Member) map[*Member]bool {
	held := map[*Member]bool{}
	for _, m := range lost {
		held[m] = true
		h.sources[m.Source] = true
	}
	return held
}

// allConnected reports whether no source has lost its connection. A source that was never reached counts as connected.
func (t *Tracker) allConnected() bool {
	return !slices.ContainsFunc(t.sources, func(s *Source) bool { return s.State == Disconnected || s.State == Stale })
}
