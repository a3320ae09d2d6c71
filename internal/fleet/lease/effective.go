package lease

import (
	"slices"
	"strings"

	"irispost/internal/fleet/configversion"
)

// resolved holds those versions named by a response that the gateway has.
type resolved struct {
	versions       []*configversion.Version // usable versions, the one in force first
	configs        []*configversion.Config  // parsed versions, in the same order
	hasInForce     bool                     // versions includes the one in force; otherwise nothing takes effect
	contentMissing bool                     // a version arrived without its content and has to be requested again
	fault          string                   // why a version cannot be used; empty if all can
}

// resolveVersions looks up the versions that a response names, in the response and among the held versions.
func (c *Client) resolveVersions(response *RenewResponse) resolved {
	var found resolved
	for _, version := range c.VersionsOf(response) {
		if len(version.Content) == 0 {
			found.contentMissing = true
			continue
		}
		config, err := version.Config()
		if err != nil {
			found.fault = "version " + version.Name() + " cannot be used: " + err.Error()
			continue
		}
		found.versions = append(found.versions, version)
		found.configs = append(found.configs, config)
		if version.Number == response.InForce {
			found.hasInForce = true
		}
	}
	return found
}

// VersionsOf returns the versions that a response names, the one in force first. Versions that are neither held
// nor in the response are left out. Contents may be missing.
func (c *Client) VersionsOf(response *RenewResponse) []*configversion.Version {
	var versions []*configversion.Version
	known := slices.Concat(c.heldVersions, response.Versions)
	for _, number := range response.versionNumbers() {
		i := slices.IndexFunc(known, func(v *configversion.Version) bool { return v.Number == number })
		if i >= 0 {
			versions = append(versions, known[i])
		}
	}
	return versions
}

// setHeld puts other versions into effect. It makes a request due immediately, because the announced version's coming
// into force may wait for this gateway's acknowledgement.
func (c *Client) setHeld(found resolved) {
	c.heldVersions = found.versions
	c.configs = found.configs
	c.requestNow = true

	var names []string
	for _, v := range c.heldVersions {
		names = append(names, v.Name())
	}
	c.effectiveName = strings.Join(names, "&")
	c.effective = c.configs[0]
	if len(c.configs) == 2 && !c.faults.Has(FaultNoIntersection) {
		c.effective = configversion.Intersect(c.configs[0], c.configs[1])
	}
}

// fallbackDuration returns how long the combined fallback of the held versions stays valid: the shortest of
// their durations.
func (c *Client) fallbackDuration() Time {
	shortest := c.configs[0].FallbackPolicy.Duration
	for _, config := range c.configs[1:] {
		shortest = min(shortest, config.FallbackPolicy.Duration)
	}
	return shortest
}

// Effective returns the configuration in effect at the given time, or nil for none. It first updates the state if
// the lease or the fallback has expired by then. A gateway reads its clock once per decision and uses that
// reading for everything that it sends as a result.
func (c *Client) Effective(now Time) *configversion.Config {
	if c.state.leased() && now >= c.leaseUntil {
		c.effective = c.heldFallback()
		c.effectiveName = "floor of " + c.effectiveName
		c.transition(StateExpired, "lease expired without a renewal")
	}
	if (c.state == StateExpired || c.state == StateReturning) && now >= c.fallbackUntil && c.effective != nil {
		c.effective = nil
		c.effectiveName = noEffectiveName
		c.transition(StateEnded, "fallback expired without a new lease")
	}
	return c.effective
}

// heldFallback returns the combined fallback of the held versions.
func (c *Client) heldFallback() *configversion.Config {
	// Held versions have been parsed already, so Fallback returns no error.
	fallback, _ := c.heldVersions[0].Fallback()
	if len(c.heldVersions) == 2 {
		other, _ := c.heldVersions[1].Fallback()
		fallback = configversion.Intersect(fallback, other)
	}
	return fallback
}

// EffectiveName describes the configuration in effect for display: one version, two versions joined by "&", or
// their fallback.
func (c *Client) EffectiveName() string { return c.effectiveName }

// ValidUntil returns when the configuration in effect expires if no further response arrives. It returns 0 if
// nothing is going to expire.
func (c *Client) ValidUntil() Time {
	switch {
	case c.state.leased():
		return c.leaseUntil
	case c.effective != nil:
		return c.fallbackUntil
	}
	return 0
}

// HeldVersions returns the numbers of the held versions, and whether only their fallback is in effect.
func (c *Client) HeldVersions() (numbers []uint64, fallback bool) {
	for _, v := range c.heldVersions {
		numbers = append(numbers, v.Number)
	}
	return numbers, c.state == StateExpired || c.state == StateReturning && c.effective != nil
}

// LatestVersion returns the latest held version and its parsed configuration, or nil if none is held.
func (c *Client) LatestVersion() (*configversion.Version, *configversion.Config) {
	if len(c.heldVersions) == 0 {
		return nil, nil
	}
	last := len(c.heldVersions) - 1
	return c.heldVersions[last], c.configs[last]
}
