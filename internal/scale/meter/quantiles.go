package meter

import (
	"math"
	"slices"
)

// Quantiles are the median, the 99th percentile and the maximum of a list of values. A quantile is the smallest value
// in the list that is not exceeded by at least the given fraction of the values.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// QuantilesOf returns the quantiles of values, which can be in any order and are not modified. Without values, all are
// 0.
func QuantilesOf(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(values))
	quantile := func(fraction float64) float64 {
		rank := int(math.Ceil(fraction * float64(len(sorted))))
		return sorted[max(rank, 1)-1]
	}
	return Quantiles{P50: quantile(0.5), P99: quantile(0.99), Worst: sorted[len(sorted)-1]}
}
