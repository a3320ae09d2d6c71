package lease

import (
	"fmt"
	"slices"

	"irispost/internal/fleet/configversion"
)

const nanosPerMilli = 1e6

// GatewayStatus is a gateway as the leading replica knows it.
type GatewayStatus struct {
	Holder          string   `json:"who"`
	State           string   `json:"state"`
	HeldVersions    []uint64 `json:"holds"`
	LastHeardMillis Time     `json:"heard_ms_ago"`
	LeaseLeftMillis Time     `json:"lease_ms"` // by the replica's clock; negative: it has expired
	Unresponsive    bool     `json:"hangs"`    // not heard for three quarters of a lease
	Fault           string   `json:"trouble,omitempty"`
}

// Gateways lists the gateways by name.
func (m *Manager) Gateways(now Time) []GatewayStatus {
	var list []GatewayStatus
	for _, name := range sortedNames(m.state.Holders) {
		h := m.holders[name]
		if h == nil {
			continue
		}
		list = append(list, GatewayStatus{
			Holder:          name,
			State:           h.reportedState,
			HeldVersions:    h.heldVersions,
			LastHeardMillis: (now - h.lastHeardAt) / nanosPerMilli,
			LeaseLeftMillis: (h.leaseUntil - now) / nanosPerMilli,
			Unresponsive:    now-h.lastHeardAt > m.state.Settings.LeaseDuration*3/4,
			Fault:           h.fault,
		})
	}
	return list
}

// WaitingFor lists the gateways that the announced version waits for before it comes into force, one line
// each with the reason.
func (m *Manager) WaitingFor(now Time) []string {
	if m.faults.Has(FaultNoWait) {
		return nil
	}
	announced := m.announcedConfig()
	var list []string
	for _, name := range sortedNames(m.state.Holders) {
		h := m.holders[name]
		if h == nil { // it has joined and was granted nothing yet
			continue
		}
		if reason := m.waitReason(now, h, announced); reason != "" {
			list = append(list, name+": "+reason)
		}
	}
	return list
}

// waitReason says why the announced version waits for a gateway; empty: it does not.
func (m *Manager) waitReason(now Time, h *holder, announced *configversion.Config) string {
	left := func(until Time) Time { return (until-now)/nanosPerMilli + 1 }
	switch {
	case slices.Contains(h.heldVersions, m.state.Announced):
		return ""
	case now <= h.leaseUntil:
		return fmt.Sprintf("has not acknowledged it, and its lease runs on for %d ms; %s", left(h.leaseUntil), h.fault)
	case m.faults.Has(FaultIgnoreFallbacks):
		return ""
	case now <= h.unknownUntil:
		return fmt.Sprintf("was not heard in this term, and may act on a floor for %d ms", left(h.unknownUntil))
	case now <= h.fallbackUntil && !m.fallbackWithin(h, announced):
		return fmt.Sprintf("may act on a floor that contradicts it for %d ms", left(h.fallbackUntil))
	}
	return ""
}

// announcedConfig returns the configuration of the announced version, or nil if there is none or this build
// cannot read it.
func (m *Manager) announcedConfig() *configversion.Config {
	version := m.state.Version(m.state.Announced)
	if version == nil {
		return nil
	}
	config, err := version.Config()
	if err != nil {
		return nil
	}
	return config
}

// fallbackWithin reports whether the fallback that a gateway may act on allows nothing that a configuration
// forbids. The gateway acts on what the fallbacks of all versions it holds allow, so one of them within is
// enough. It holds what it has named last, or what one of the grants since then has named.
func (m *Manager) fallbackWithin(h *holder, config *configversion.Config) bool {
	if config == nil {
		return false
	}
	within := func(number uint64) bool { return m.versionFallbackWithin(number, config) }
	for _, g := range h.grants {
		if !within(g.inForce) { // the gateway may hold this one alone, if it cannot read the announced one
			return false
		}
	}
	return len(h.heldVersions) == 0 || slices.ContainsFunc(h.heldVersions, within)
}

// versionFallbackWithin reports whether a version's fallback allows nothing that a configuration forbids. Of
// a version that was forgotten this is not known.
func (m *Manager) versionFallbackWithin(number uint64, config *configversion.Config) bool {
	if number == 0 {
		return true
	}
	version := m.state.Version(number)
	if version == nil {
		return false
	}
	fallback, err := version.Fallback()
	return err == nil && len(configversion.Exceeds(fallback, config)) == 0
}
