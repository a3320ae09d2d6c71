package lease

import "slices"

// Manager is the leading replica's view of the gateways. A new one is created for each term. Of the leases granted
// by earlier leaders it knows only which gateways may hold one.
type Manager struct {
	state   *StateMachine
	term    uint64
	holders map[string]*holder // by name

	// Commands that NextCommand has returned and that may not be committed yet.
	pendingJoins    map[string]bool
	activating      uint64          // version whose activation was returned in this term; 0: none
	activatingSince Time            // when the activation was last returned
	pendingRemovals map[string]Time // by holder, when the removal was returned
	pendingExpiries map[string]Time // by holder, when the expiry was returned

	membershipEpoch uint64 // the latest epoch seen in the state machine
	membershipSince Time   // when that epoch was first seen in this term
	tracksMembers   bool   // some gateway has reported its peer address

	retention retention
	faults    InjectedFaults
}

// NewManager returns the manager for a term. It assumes that each holder in the log may have been granted a lease by
// another leader up to now.
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

// NextCommand returns the command to append to the log now, or nil if there is none. A command that has not been
// committed is returned again after the duration of a lease.
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

// activationDue reports whether the announced version can come into force, as no gateway can contradict it any
// more.
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

// retryDue reports whether a command that was returned at the given time, and has not been committed, is due again.
func (m *Manager) retryDue(now, returnedAt Time) bool {
	return now > returnedAt+m.state.Settings.LeaseDuration
}

// removableHolders lists the holders whose lease and fallback have expired. A holder that has joined and not been
// heard from since is given the duration of a lease to send a request.
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
		if returnedAt, pending := m.pendingRemovals[name]; !pending || m.retryDue(now, returnedAt) {
			names = append(names, name)
			m.pendingRemovals[name] = now
		}
	}
	return names
}

// expiredMembers lists the members whose lease has expired. Membership is only tracked if gateways communicate with
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
		if returnedAt, pending := m.pendingExpiries[name]; !pending || m.retryDue(now, returnedAt) {
			names = append(names, name)
			m.pendingExpiries[name] = now
		}
	}
	return names
}

// Applied updates the manager after a command of the log was applied to the state machine.
func (m *Manager) Applied(c *Command) {
	for _, name := range c.Remove {
		delete(m.holders, name)
		delete(m.pendingRemovals, name)
	}
	for _, name := range slices.Concat(c.Remove, c.LeaseExpired) {
		delete(m.pendingExpiries, name)
	}
}
