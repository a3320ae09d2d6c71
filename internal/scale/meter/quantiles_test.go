package meter

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestQuantilesOfShortLists(t *testing.T) {
	for _, c := range []struct {
		values []float64
		want   Quantiles
	}{
		{nil, Quantiles{}},
		{[]float64{7}, Quantiles{7, 7, 7}},
		{[]float64{2, 1}, Quantiles{1, 2, 2}},
		{[]float64{3, 1, 2}, Quantiles{2, 3, 3}},
		{[]float64{5, 1, 4, 2, 3, 3, 2, 4, 1, 100}, Quantiles{3, 100, 100}},
	} {
		before := slices.Clone(c.values)
		if got := QuantilesOf(c.values); got != c.want || !slices.Equal(before, c.values) {
			t.Errorf("%v: got wrong quantiles %+v or a modified list %v", before, got, c.values)
		}
	}
}

// The quantiles match their definition, which is checked by counting values.
func TestQuantilesMatchTheirDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Float64Range(-1e6, 1e6), 1, 300).Draw(t, "list")
		quantiles := QuantilesOf(values)
		for fraction, got := range map[float64]float64{0.5: quantiles.P50, 0.99: quantiles.P99, 1: quantiles.Worst} {
			below, upTo := 0, 0
			for _, value := range values {
				if value < got {
					below++
				}
				if value <= got {
					upTo++
				}
			}
			rank := fraction * float64(len(values))
			if float64(upTo) < rank || float64(below) >= rank || !slices.Contains(values, got) {
				t.Fatalf("quantile %v of %d values: got %v, with %d values below it and %d up to it, want the rank in between",
					fraction, len(values), got, below, upTo)
			}
		}
	})
}
