package scheduler

// TokenBucket holds units and fills at a constant rate up to its capacity. Taking more than it holds makes the level
// negative until it has refilled.
type TokenBucket struct {
	Level     float64 // units, at UpdatedAt
	Rate      float64 // units per second
	Capacity  float64 // units
	UpdatedAt Time
}

// Refill updates the level to the given time and returns it.
func (b *TokenBucket) Refill(now Time) float64 {
	if now > b.UpdatedAt {
		b.Level = min(b.Capacity, b.Level+b.Rate*float64(now-b.UpdatedAt)/float64(Second))
		b.UpdatedAt = now
	}
	return b.Level
}

// resize changes the rate and the capacity. The level is kept, up to the new capacity.
func (b *TokenBucket) resize(now Time, rate, capacity float64) {
	b.Level = min(b.Refill(now), capacity)
	b.Rate = rate
	b.Capacity = capacity
}

// take removes a request's units unless they exceed the capacity. A request larger than that was admitted by a draw,
// which has already emptied the bucket.
func (b *TokenBucket) take(units float64) {
	if b.Capacity >= units {
		b.Level -= units
	}
}

// UnitSample is a number of units at a point in time.
type UnitSample struct {
	At    Time
	Units float64
}

// UnitWindow is a series of samples in order of time, used for sums over a sliding window.
type UnitWindow []UnitSample

// sumSince drops the samples up to and including the given time and returns the sum of the others.
func (w *UnitWindow) sumSince(at Time) (units float64) {
	for len(*w) > 0 && (*w)[0].At <= at {
		*w = (*w)[1:]
	}
	for _, sample := range *w {
		units += sample.Units
	}
	return units
}
