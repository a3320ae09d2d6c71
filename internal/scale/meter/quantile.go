package meter

import (
	"math"
	"slices"
)

// Quantiles of a list. Each is one of its values: the least that so large a part of the list is not above.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// QuantilesOf works them out; the list may be in any order and is left as it is. Those of an empty list are 0.
func QuantilesOf(list []float64) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	s := slices.Sorted(slices.Values(list))
	at := func(part float64) float64 { return s[max(int(math.Ceil(part*float64(len(s)))), 1)-1] }
	return Quantiles{P50: at(0.5), P99: at(0.99), Worst: s[len(s)-1]}
}
