package xds_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"irispost/internal/endpoint/xds"
)

// The bound of the waits doubles up to the limit, each wait is between half of its bound and the bound, and the bound
// starts again at the minimum after a reset.
func TestBackoffDoublesUpToLimit(t *testing.T) {
	b := xds.Backoff{Min: time.Second, Max: 10 * time.Second, Rand: rand.New(rand.NewPCG(1, 2))}
	for round := range 2 {
		for i, limit := range []time.Duration{1, 2, 4, 8, 10, 10} {
			if d := b.Next(); d < limit*time.Second/2 || d > limit*time.Second {
				t.Errorf("round %d: wait %d is %v, want between half of its bound and the bound", round, i, d)
			}
		}
		b.Reset()
	}
}
