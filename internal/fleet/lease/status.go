package lease

import (
	"fmt"
	"slices"

	"irispost/internal/fleet/configversion"
)

const nanosPerMilli = 1e6

// GatewayStatus is the status of a gateway as known to the leading replica.
type GatewayStatus struct {
	Holder          string   `json:"who"`
	State           string   `json:"state"`
	HeldVersions    []uint64 `json:"holds"`
	LastHeardMillis Time     `json:"heard_ms_ago"`
	LeaseLeftMillis Time     `json:"lease_ms"` // by the replica's clock; negative once expired
	Unresponsive    bool     `json:"hangs"`    // not heard from for three quarters of a lease
	Fault           string   `json:"trouble,omitempty"`
}

// Gateways returns the status of each known gateway, sorted by name.
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

// WaitingFor lists the gateways that delay the announced version's coming into force, one line each with the
// reason.
func (m *Manager) WaitingFor(now Time) []string {
	if m.faults.Has(FaultNoWait) {
		return nil
	}
	announced := m.announcedConfig()
	var list []string
	for _, name := range sortedNames(m.state.Holders) {
		h := m.holders[name]
		if h == nil { // it has joined but was not granted a lease yet
			continue
		}
		if reason := m.waitReason(now, h, announced); reason != "" {
			list = append(list, name+": "+reason)
		}
	}
	return list
}

// waitReason returns why the announced version has to wait for a gateway, or "" if it does not.
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
		return fmt.Sprintf("has not reported its versions in this term, and may act on the floor of any version for %d ms",
			left(h.unknownUntil))
	case now <= h.fallbackUntil && !m.fallbackWithin(h, announced):
		return fmt.Sprintf("may act on the floor of earlier versions, which contradicts it, for %d ms",
			left(h.fallbackUntil))
	}
	return ""
}

// announcedConfig returns the configuration of the announced version, or nil if there is none or this build cannot
// parse it.
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

// fallbackWithin reports whether the fallback that may be in effect at a gateway allows nothing that a configuration
// forbids. The gateway applies the intersection of the fallbacks of all versions that it holds, so it is enough that
// one of them is within the configuration. The gateway holds the versions that it last reported, or those of a grant
// since then.
func (m *Manager) fallbackWithin(h *holder, config *configversion.Config) bool {
	if config == nil {
		return false
	}
	within := func(number uint64) bool { return m.versionFallbackWithin(number, config) }
	for _, g := range h.grants {
		if !within(g.inForce) { // the gateway may hold this one alone, if it cannot parse the announced one
			return false
		}
	}
	return len(h.heldVersions) == 0 || slices.ContainsFunc(h.heldVersions, within)
}

// versionFallbackWithin reports whether a version's fallback allows nothing that a configuration forbids. It returns
// false for a forgotten version, of which this is not known.
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
