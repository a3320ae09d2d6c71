package scheduler

// TokenBucket holds units: it fills at a rate up to its capacity. Who takes more than it holds overdraws it, and its
// level is negative until it has filled again.
type TokenBucket struct {
	Level     float64 // units, at UpdatedAt
	Rate      float64 // units a second
	Capacity  float64 // units
	UpdatedAt Time
}

// Refill brings the level up to now and returns it.
func (b *TokenBucket) Refill(now Time) float64 {
	if now > b.UpdatedAt {
		b.Level = min(b.Capacity, b.Level+b.Rate*float64(now-b.UpdatedAt)/float64(Second))
		b.UpdatedAt = now
	}
	return b.Level
}

// resize changes rate and capacity, and keeps as much of the level as fits.
func (b *TokenBucket) resize(now Time, rate, capacity float64) {
	b.Level = min(b.Refill(now), capacity)
	b.Rate = rate
	b.Capacity = capacity
}

// take removes the units of a request, if it is not larger than the capacity. A larger one was admitted by a draw,
// which has emptied the bucket already.
func (b *TokenBucket) take(units float64) {
	if b.Capacity >= units {
		b.Level -= units
	}
}

// UnitSample is an amount of units at a time.
type UnitSample struct {
	At    Time
	Units float64
}

// UnitWindow is amounts of units in order of time, from which a sliding window is summed up.
type UnitWindow []UnitSample

// since drops what is not later than a time and returns the sum of the rest.
func (w *UnitWindow) since(at Time) (units float64) {
	for len(*w) > 0 && (*w)[0].At <= at {
		*w = (*w)[1:]
	}
	for _, sample := range *w {
		units += sample.Units
	}
	return units
}
