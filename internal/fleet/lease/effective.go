package lease

import (
	"slices"
	"strings"

	"irispost/internal/fleet/configversion"
)

// resolved is what a gateway has of the versions that a response names.
type resolved struct {
	versions       []*configversion.Version // those that can be acted on, the one in force first
	configs        []*configversion.Config  // of the versions
	hasInForce     bool                     // the one in force is among them; without it nothing is acted on
	contentMissing bool                     // a version has come without its content and is asked for again
	fault          string                   // why a version cannot be acted on; empty: all can
}

// resolveVersions finds the versions that a response names, in the response or among those that are held.
func (c *Client) resolveVersions(response *RenewResponse) resolved {
	var found resolved
	for _, version := range c.VersionsOf(response) {
		if len(version.Content) == 0 {
			found.contentMissing = true
			continue
		}
		config, err := version.Config()
		if err != nil {
			found.fault = "version " + version.Name() + " is not acted on: " + err.Error()
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

// VersionsOf returns the versions that a response names, the one in force first, as far as they are held or
// in the response. Their contents may be missing.
func (c *Client) VersionsOf(response *RenewResponse) []*configversion.Version {
	var versions []*configversion.Version
	known := slices.Concat(c.heldVersions, response.Versions)
	for _, number := range response.named() {
		i := slices.IndexFunc(known, func(v *configversion.Version) bool { return v.Number == number })
		if i >= 0 {
			versions = append(versions, known[i])
		}
	}
	return versions
}

// hold makes the gateway act on other versions. The replicas are told at once, as others may wait for it.
func (c *Client) hold(found resolved) {
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

// fallbackDuration returns for how long the fallback of all that is held counts.
func (c *Client) fallbackDuration() Time {
	shortest := c.configs[0].FallbackPolicy.Duration
	for _, config := range c.configs[1:] {
		shortest = min(shortest, config.FallbackPolicy.Duration)
	}
	return shortest
}

// Effective returns what the gateway acts on at a time, or nil for nothing. If the lease or the fallback has
// expired by then, the state changes with it. A gateway reads its clock once for each decision and all that
// it sends by that decision.
func (c *Client) Effective(now Time) *configversion.Config {
	if c.state.leased() && now >= c.leaseUntil {
		c.effective = c.heldFallback()
		c.effectiveName = "floor of " + c.effectiveName
		c.transition(StateExpired, "no response from the replicas for a lease")
	}
	if (c.state == StateExpired || c.state == StateReturning) && now >= c.fallbackUntil && c.effective != nil {
		c.effective = nil
		c.effectiveName = nothing
		c.transition(StateEnded, "no response from the replicas for the fallback's duration")
	}
	return c.effective
}

// heldFallback returns the fallback of all that is held.
func (c *Client) heldFallback() *configversion.Config {
	// Versions that are held were parsed before, so there is no error.
	fallback, _ := c.heldVersions[0].Fallback()
	if len(c.heldVersions) == 2 {
		other, _ := c.heldVersions[1].Fallback()
		fallback = configversion.Intersect(fallback, other)
	}
	return fallback
}

// EffectiveName names what the gateway acts on, for people: a version, two with & between them, or their fallback.
func (c *Client) EffectiveName() string { return c.effectiveName }

// ValidUntil returns when what the gateway acts on changes at the latest if no response comes; 0: it does not
// change.
func (c *Client) ValidUntil() Time {
	switch {
	case c.state.leased():
		return c.leaseUntil
	case c.effective != nil:
		return c.fallbackUntil
	}
	return 0
}

// HeldVersions returns the numbers of the versions that count, and whether only their fallback does.
func (c *Client) HeldVersions() (numbers []uint64, fallback bool) {
	for _, v := range c.heldVersions {
		numbers = append(numbers, v.Number)
	}
	return numbers, c.state == StateExpired || c.state == StateReturning && c.effective != nil
}

// LatestVersion returns the latest version that is held, parsed, or nil if none is.
func (c *Client) LatestVersion() (*configversion.Version, *configversion.Config) {
	if len(c.heldVersions) == 0 {
		return nil, nil
	}
	last := len(c.heldVersions) - 1
	return c.heldVersions[last], c.configs[last]
}
