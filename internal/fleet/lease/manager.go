package lease

import "slices"

// Manager is what the leading replica knows of the gateways. It is made anew for each term, so it knows
// nothing of leases that earlier leaders have granted but who may have one.
type Manager struct {
	state   *StateMachine
	term    uint64
	holders map[string]*holder // by name

	// Commands that were handed out and may not be committed yet.
	pendingJoins    map[string]bool
	activating      uint64          // version that was handed out to come into force in this term; 0: none
	activatingSince Time            // when it was handed out last
	pendingRemovals map[string]Time // when each was handed out
	pendingExpiries map[string]Time

	membershipEpoch uint64 // the latest that was seen
	membershipSince Time   // when it was seen first in this term
	tracksMembers   bool   // some gateway has told where others reach it

	retention retention
	faults    InjectedFaults
}

// NewManager returns the manager of a term. Each holder that the log knows may have got a lease from another
// leader up to now.
func NewManager(now Time, term uint64, state *StateMachine, faults InjectedFaults) *Manager {
	m := &Manager{
		state:           state,
		term:            term,
		holders:         map[string]*holder{},
		pendingJoins:    map[string]bool{},
		pendingRemovals: map[string]Time{},
		pendingExpiries: map[string]Time{},
		membershipEpoch: state.MembershipEpoch,
		membershipSince: now,
		retention:       retention{baseVersions: RetainedBaseVersions, batchSize: forgetBatch},
		faults:          faults,
	}
	lease := state.Settings.withDrift(state.Settings.LeaseDuration)
	fallback := state.Settings.withDrift(state.longestFallback())
	for _, name := range sortedNames(state.Holders) {
		h := &holder{
			name:          name,
			leaseUntil:    now + lease,
			unknownUntil:  now + fallback,
			lastHeardAt:   now,
			reportedState: "unheard",
		}
		if faults.Has(FaultNewLeaderAssumesNoLeases) {
			h.leaseUntil = now
			h.unknownUntil = now
		}
		m.holders[name] = h
	}
	return m
}

// NextCommand returns the command to append to the log now, or nil if there is none. A command that was not
// committed is returned again after a lease.
func (m *Manager) NextCommand(now Time) *Command {
	if len(m.pendingJoins) > 0 {
		command := &Command{Join: sortedNames(m.pendingJoins)}
		clear(m.pendingJoins)
		return command
	}
	if m.activationDue(now) {
		m.activating = m.state.Announced
		m.activatingSince = now
		return &Command{Activate: m.activating}
	}
	if names := m.removableHolders(now); len(names) > 0 {
		return &Command{Remove: names}
	}
	if numbers := m.forgettable(now); numbers != nil {
		return &Command{Forget: numbers}
	}
	if names := m.expiredMembers(now); len(names) > 0 {
		return &Command{LeaseExpired: names}
	}
	return nil
}

// activationDue reports whether no gateway contradicts the announced version any more, so that it can come
// into force.
func (m *Manager) activationDue(now Time) bool {
	announced := m.state.Announced
	if announced == m.state.InForce {
		return false
	}
	if m.activating == announced && !m.retryDue(now, m.activatingSince) {
		return false
	}
	return len(m.WaitingFor(now)) == 0
}

// retryDue reports whether a command that was handed out at a time, and is not committed, is to be handed out
// again.
func (m *Manager) retryDue(now, handedOut Time) bool {
	return now > handedOut+m.state.Settings.LeaseDuration
}

// removableHolders lists the holders that cannot act on anything any more. One that has joined and was not
// heard since is given a lease's time to be heard.
func (m *Manager) removableHolders(now Time) []string {
	silence := m.state.Settings.withDrift(m.state.Settings.LeaseDuration)
	var names []string
	for _, name := range sortedNames(m.state.Holders) {
		h := m.holders[name]
		if h == nil {
			m.holders[name] = &holder{name: name, lastHeardAt: now, reportedState: "joined"}
			continue
		}
		if now <= max(h.leaseUntil, h.fallbackUntil, h.unknownUntil, h.lastHeardAt+silence) {
			continue
		}
		if handedOut, pending := m.pendingRemovals[name]; !pending || m.retryDue(now, handedOut) {
			names = append(names, name)
			m.pendingRemovals[name] = now
		}
	}
	return names
}

// expiredMembers lists the members whose lease has expired. They are of no interest unless gateways reach
// each other.
func (m *Manager) expiredMembers(now Time) []string {
	if !m.tracksMembers {
		return nil
	}
	var names []string
	for _, name := range sortedNames(m.state.Members) {
		h := m.holders[name]
		if h == nil || now <= h.leaseUntil {
			continue
		}
		if handedOut, pending := m.pendingExpiries[name]; !pending || m.retryDue(now, handedOut) {
			names = append(names, name)
			m.pendingExpiries[name] = now
		}
	}
	return names
}

// Applied says that a command of the log was applied to the state machine.
func (m *Manager) Applied(c *Command) {
	for _, name := range c.Remove {
		delete(m.holders, name)
		delete(m.pendingRemovals, name)
	}
	for _, name := range slices.Concat(c.Remove, c.LeaseExpired) {
		delete(m.pendingExpiries, name)
	}
}
