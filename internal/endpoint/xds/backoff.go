package xds

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the waits between attempts to reach a server. The upper bound of a wait doubles from Min up to
// Max, and each wait is drawn at random between half of its bound and the bound, so that clients do not reconnect all
// at once. Backoff does not sleep or read a clock.
type Backoff struct {
	Min, Max time.Duration
	Rand     *rand.Rand
	next     time.Duration
}

// Next returns the wait before the next attempt.
func (b *Backoff) Next() time.Duration {
	b.next = min(max(2*b.next, b.Min), b.Max)
	return b.next/2 + time.Duration(b.Rand.Int64N(int64(b.next/2)+1))
}

// Reset starts again at Min. It is called after a successful attempt.
func (b *Backoff) Reset() { b.next = 0 }
