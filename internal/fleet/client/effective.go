package client

import (
	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/gateway"
)

// At tells the gateway's loop what has changed of what is in effect: the list of endpoints and the settings;
// nil: nothing has. The loop calls it before it decides, with the time in nanoseconds that it decides by. until
// is when to call again at the latest, 0 for no need.
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

// effectiveChange is what is in effect from some time on, and what was before.
type effectiveChange struct {
	config        *configversion.Config // nil: nothing is in effect
	name          string
	changed       bool     // the name is another than before
	versions      []uint64 // that are held
	fallback      bool     // only their fallback is in effect
	until         int64
	previousUntil int64 // what was in effect before was so no longer than this; 0: for as long as nothing else is
	lines         []string
}

// takeChange brings the state machine up to a time, and notes what is in effect from then on.
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

// activate is what the loop has to act on after a change.
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

// markReady closes ready, once.
func (c *Client) markReady() {
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}
