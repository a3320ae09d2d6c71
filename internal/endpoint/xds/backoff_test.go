package xds_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"irispost/internal/endpoint/xds"
)

// Waits double up to the limit, spread over their upper half, and begin again after a reset.
func TestBackoffDoublesUpToLimit(t *testing.T) {
	b := xds.Backoff{Min: time.Second, Max: 10 * time.Second, Rand: rand.New(rand.NewPCG(1, 2))}
	for round := range 2 {
		for i, limit := range []time.Duration{1, 2, 4, 8, 10, 10} {
			if d := b.Next(); d < limit*time.Second/2 || d > limit*time.Second {
				t.Errorf("round %d, wait %d is %v", round, i, d)
			}
		}
		b.Reset()
	}
}
