package meter

import (
	"math"
	"slices"
)

// Quantiles of a list of values. Each is the least value of the list that is not exceeded by that part of it.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// QuantilesOf computes the quantiles of values in any order, which it does not change. Those of an empty list are 0.
func QuantilesOf(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(values))
	quantile := func(part float64) float64 {
		rank := int(math.Ceil(part * float64(len(sorted))))
		return sorted[max(rank, 1)-1]
	}
	return Quantiles{P50: quantile(0.5), P99: quantile(0.99), Worst: sorted[len(sorted)-1]}
}
