package budget

import "math"

// Request is a gateway's request to the allocator of a node. It is sent between gateways as JSON.
type Request struct {
	Holder          string  `json:"who"`   // identifies one start of a gateway
	Seq             uint64  `json:"seq"`   // sequence number among the holder's requests for this node
	Demand          float64 `json:"want"`  // units of waiting requests; 0: returns units or checks for an allocator
	SmallestRequest float64 `json:"least"` // units of the smallest waiting request; fewer are of no use
	PriorityWeight  float64 `json:"worth"` // of the waiting request with the highest priority
	Returned        float64 `json:"back"`  // units of the last allocation that were not used and will not be
}

// Allocation permits a gateway to send a number of units to a node. It is valid for Settings.AllocationTime from the
// time of the request on. It is sent between gateways as JSON.
type Allocation struct {
	Holder string  `json:"who"`
	Seq    uint64  `json:"seq"` // of the request
	Units  float64 `json:"units"`
}

// maxRequestUnits limits each amount in a request.
const maxRequestUnits = 1e12

// isValid reports whether all amounts in the request are in range.
func (r *Request) isValid() bool {
	return isValidAmount(r.Demand) && isValidAmount(r.SmallestRequest) && isValidAmount(r.Returned) &&
		!math.IsNaN(r.PriorityWeight)
}

func isValidAmount(units float64) bool {
	return !math.IsNaN(units) && units >= 0 && units <= maxRequestUnits
}
