package xds

import (
	"math/rand/v2"
	"time"
)

// Backoff is the wait between attempts to reach a server: each is twice the last, up to a limit, and spread at random
// over its upper half, so that clients don't come back at one moment. It is pure.
type Backoff struct {
	Min, Max time.Duration
	Rand     *rand.Rand
	next     time.Duration
}

// Next returns the next wait.
func (b *Backoff) Next() time.Duration {
	b.next = min(max(2*b.next, b.Min), b.Max)
	return b.next/2 + time.Duration(b.Rand.Int64N(int64(b.next/2)+1))
}

// Reset begins again at Min, after an attempt that worked.
func (b *Backoff) Reset() { b.next = 0 }
