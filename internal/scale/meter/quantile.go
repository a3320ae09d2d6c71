package meter

import (
	"math"
	"slices"
)

// Quantiles of a list by the nearest-rank method: each is one of the list's values.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// QuantilesOf returns the quantiles of a list, which may be in any order and is not changed. Those of an empty list
// are 0.
func QuantilesOf(list []float64) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(list))
	nearestRank := func(fraction float64) float64 {
		rank := int(math.Ceil(fraction * float64(len(sorted))))
		return sorted[max(rank, 1)-1]
	}
	return Quantiles{P50: nearestRank(0.5), P99: nearestRank(0.99), Worst: sorted[len(sorted)-1]}
}
