package lease

// forgetBatch is the minimum number of versions that one command forgets, because each command costs a round trip
// to all replicas.
const forgetBatch = 32

// maxForgetBatch is the maximum number of versions that one command forgets, because a replica writes all their
// contents to its history at once.
const maxForgetBatch = 64

// retention controls how many unused versions are kept. The leader chooses which versions to forget, because only
// the leader knows which ones gateways may still use.
type retention struct {
	enabled      bool // all replicas can read the command
	baseVersions int  // number of versions before the announced one that are kept as bases of deltas
	batchSize    int  // minimum number of versions per command
	nextCheckAt  Time
}

// AllowForget sets whether all replicas can read commands that forget versions. Until they can, none is forgotten.
func (m *Manager) AllowForget(allowed bool) { m.retention.enabled = allowed }

// forgettable lists the versions that no gateway can still use and that no delta needs as its base. It returns nil
// if they are too few to be worth a command, or if some gateway has not been heard from in this term and may
// therefore still use any version.
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

// versionsInUse returns the versions that gateways may still apply, themselves or their fallbacks: those that a
// gateway has reported or was granted since, until its lease and fallback have expired. known is false while a
// gateway may be using versions that it has not reported in this term.
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
