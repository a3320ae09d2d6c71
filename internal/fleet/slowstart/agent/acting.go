package agent

import (
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// SettingsForwarder has what a gateway acts on count for the budgets of cold nodes too. Without an agent (nil) it is the rules alone.
type SettingsForwarder struct {
	gateway.ConfigSource
	Agent *Agent
}

// At is the rules'.
func (a SettingsForwarder) At(now scheduler.Time) (*gateway.ActiveConfig, scheduler.Time) {
	acts, until := a.ConfigSource.At(now)
	if a.Agent != nil && acts != nil && acts.Settings != nil {
		a.Agent.UpdateSettings(acts.Settings)
	}
	return acts, until
}
