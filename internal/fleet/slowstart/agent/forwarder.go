package agent

import (
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// SettingsForwarder is a gateway's source of configuration that passes settings on to an agent as they come into
// effect. Without an agent (nil) it is the source alone.
type SettingsForwarder struct {
	gateway.ConfigSource
	Agent *Agent
}

// At is what the source says, and passes its settings on.
func (f SettingsForwarder) At(now scheduler.Time) (active *gateway.ActiveConfig, until scheduler.Time) {
	active, until = f.ConfigSource.At(now)
	if f.Agent != nil && active != nil && active.Settings != nil {
		f.Agent.UpdateSettings(active.Settings)
	}
	return active, until
}
