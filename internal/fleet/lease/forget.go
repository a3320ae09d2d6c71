package lease

// forgetBatch is how many versions must be ready before a command forgets them, as each command costs a round
// to all replicas.
const forgetBatch = 32

// maxForgetBatch is how many versions one command forgets at most, as a replica writes all their contents to
// its history at once.
const maxForgetBatch = 64

// retention says how much is kept of versions that nobody needs any more. The leader chooses what to forget,
// as it alone knows what gateways may act on.
type retention struct {
	enabled      bool // all replicas read the command
	baseVersions int  // versions before the announced one that are kept for deltas
	batchSize    int
	nextCheckAt  Time
}

// AllowForget says whether all replicas can read commands that forget versions. Before they can, none is forgotten.
func (m *Manager) AllowForget(allowed bool) { m.retention.enabled = allowed }

// forgettable lists the versions that nobody can act on any more and that no delta needs. It returns nil if
// they are too few to be worth a command, or if a gateway may still act on anything as it was not heard in
// this term.
func (m *Manager) forgettable(now Time) []uint64 {
	state, retention := m.state, &m.retention
	if !retention.enabled || now < retention.nextCheckAt || m.faults.Has(FaultForgetNothing) {
		return nil
	}
	if len(state.Versions) < retention.baseVersions+retention.batchSize {
		return nil
	}
	retention.nextCheckAt = now + state.Settings.LeaseDuration/4
	inUse, known := m.versionsInUse(now)
	if !known {
		return nil
	}
	var numbers []uint64
	for _, v := range state.Versions {
		if v.Number+uint64(retention.baseVersions) < state.Announced && !inUse[v.Number] && len(numbers) < maxForgetBatch {
			numbers = append(numbers, v.Number)
		}
	}
	if len(numbers) < retention.batchSize {
		return nil
	}
	return numbers
}

// versionsInUse returns the versions that gateways may act on, or on the fallback of: those that a gateway
// has named or was granted since, until its lease and fallback have expired. known is false while a gateway
// may act on versions that this term has not heard of.
func (m *Manager) versionsInUse(now Time) (inUse map[uint64]bool, known bool) {
	inUse = map[uint64]bool{m.state.InForce: true, m.state.Announced: true}
	if m.faults.Has(FaultForgetHeldVersions) {
		return inUse, true
	}
	for name := range m.state.Holders {
		h := m.holders[name]
		if h == nil || h.unknownUntil > 0 && now <= max(h.leaseUntil, h.unknownUntil) {
			return nil, false
		}
		if now > max(h.leaseUntil, h.fallbackUntil) {
			continue
		}
		for _, number := range h.heldVersions {
			inUse[number] = true
		}
		for _, g := range h.grants {
			inUse[g.inForce] = true
			inUse[g.announced] = true
		}
	}
	return inUse, true
}
