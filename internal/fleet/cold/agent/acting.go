package agent

import (
	"irispost/decide"
	"irispost/internal/gateway"
)

// Acting has what a gateway acts on count for the budgets of cold nodes too. Without an agent (nil) it is the rules alone.
type Acting struct {
	gateway.Rules
	Agent *Agent
}

// At is the rules'.
func (a Acting) At(now decide.Time) (*gateway.Acts, decide.Time) {
	acts, until := a.Rules.At(now)
	if a.Agent != nil && acts != nil && acts.Terms != nil {
		a.Agent.Agree(acts.Terms)
	}
	return acts, until
}
