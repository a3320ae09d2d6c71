package agent

import (
	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// allocatePath is the HTTP route at which gateways request allocations from each other.
const allocatePath = "/cold/ask"

// request is a request to the allocator of a node, as sent between gateways.
type request struct {
	Node      string         `json:"node"`
	StartedAt scheduler.Time `json:"born"` // identifies one start of the node
	Rate      float64        `json:"rate"` // of a warmed-up node, units per second, as the holder knows it; 0: unknown
	budget.Request
}
