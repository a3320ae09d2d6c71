package budget

import "math"

// Request is what a gateway requests from a node's allocator. It travels between gateways as JSON.
type Request struct {
	Holder          string  `json:"who"`   // names one start of a gateway
	Seq             uint64  `json:"seq"`   // counts the holder's requests for this node
	Demand          float64 `json:"want"`  // units that wait there; 0: it returns units, or checks for an allocator
	SmallestRequest float64 `json:"least"` // units of the smallest one: fewer are of no use
	PriorityWeight  float64 `json:"worth"` // of the one with the highest priority
	Returned        float64 `json:"back"`  // units of the last allocation that were not used and never will be
}

// Allocation is how many units a gateway may send to a node, for the settings' AllocationTime from when it made
// the request. It travels between gateways as JSON.
type Allocation struct {
	Holder string  `json:"who"`
	Seq    uint64  `json:"seq"` // of the request
	Units  float64 `json:"units"`
}

// maxRequestUnits bounds what a request may state.
const maxRequestUnits = 1e12

// isValid tells whether a request states amounts that can be.
func (r *Request) isValid() bool {
	return isValidAmount(r.Demand) && isValidAmount(r.SmallestRequest) && isValidAmount(r.Returned) &&
		!math.IsNaN(r.PriorityWeight)
}

func isValidAmount(units float64) bool {
	return !math.IsNaN(units) && units >= 0 && units <= maxRequestUnits
}
