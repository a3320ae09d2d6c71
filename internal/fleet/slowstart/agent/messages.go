package agent

import (
	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// allocatePath is the route by which gateways request allocations of each other.
const allocatePath = "/cold/ask"

// request is a budget's request with the node that it is for, as it travels between gateways.
type request struct {
	Node      string         `json:"node"`
	StartedAt scheduler.Time `json:"born"` // which start of the node is meant
	Rate      float64        `json:"rate"` // of a node that is not in slow start, as the holder knows it; 0: not known
	budget.Request
}
