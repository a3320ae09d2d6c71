package agent

import (
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// SettingsForwarder wraps a gateway's source of configuration and forwards the settings to an agent when they take
// effect. If Agent is nil, it only calls the source.
type SettingsForwarder struct {
	gateway.ConfigSource
	Agent *Agent
}

// At returns the result of the source and forwards the settings in it.
func (f SettingsForwarder) At(now scheduler.Time) (active *gateway.ActiveConfig, until scheduler.Time) {
	active, until = f.ConfigSource.At(now)
	if f.Agent != nil && active != nil && active.Settings != nil {
		f.Agent.UpdateSettings(active.Settings)
	}
	return active, until
}
