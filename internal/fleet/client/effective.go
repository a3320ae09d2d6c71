package client

import (
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/gateway"
)

// At returns the endpoint list and the settings for the gateway's loop if the configuration in effect has changed
// since the last call, and nil otherwise. The loop calls it before it makes decisions, with the time, in
// nanoseconds, that it bases them on. The loop must call again no later than at until; 0 means that it need not.
func (c *Client) At(now int64) (active *gateway.ActiveConfig, until int64) {
	if until := c.unchangedUntil.Load(); now < until {
		return nil, until
	}
	change := c.takeChange(now)
	if len(change.lines) > 0 {
		c.logLines(change.lines)
	}
	if !change.changed {
		return nil, change.until
	}
	c.activations.write(now, change)
	return c.activate(change), change.until
}

// effectiveChange is the configuration in effect at some time, and how it differs from the one before.
type effectiveChange struct {
	config        *configversion.Config // nil: nothing is in effect
	name          string
	changed       bool     // the name differs from the previous one
	versions      []uint64 // numbers of the versions held
	fallback      bool     // the lease has expired and only the fallback of the versions is in effect
	until         int64
	previousUntil int64 // when the previous configuration expired at the latest; 0: it did not expire by itself
	lines         []string
}

// takeChange advances the state machine to now and stores what is in effect from then on.
func (c *Client) takeChange(now int64) effectiveChange {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change := effectiveChange{previousUntil: c.effectiveUntil}
	change.config = c.stateMachine.Effective(now)
	change.name = c.stateMachine.EffectiveName()
	change.until = c.stateMachine.ValidUntil()
	change.lines = c.stateMachine.TakeLogLines()
	change.versions, change.fallback = c.stateMachine.HeldVersions()
	change.changed = change.name != c.effectiveName
	c.effectiveName, c.effectiveUntil = change.name, change.until
	c.unchangedUntil.Store(change.until)
	return change
}

// activate returns what the loop has to apply after a change, and stores the endpoints that it then has.
func (c *Client) activate(change effectiveChange) *gateway.ActiveConfig {
	active := &gateway.ActiveConfig{}
	var endpoints []endpoint.Node
	if change.config != nil {
		endpoints = c.endpointsOf(change.config)
		active.List = endpointChange(c.endpoints, endpoints)
		active.Settings = change.config.Settings(c.opt.LocalSettings)
		c.markReady()
	}
	active.List.Version = change.name
	c.endpoints = endpoints
	return active
}

// markReady closes the channel ready if it is still open.
func (c *Client) markReady() {
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}
