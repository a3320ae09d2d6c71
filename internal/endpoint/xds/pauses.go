package xds

import (
	"math/rand/v2"
	"time"
)

// Backoff are the waits between tries to reach a server: each twice the last, spread over its upper half so that a fleet
// does not come back at one moment. It is pure.
type Backoff struct {
	Min, Max time.Duration
	Rand     *rand.Rand
	next     time.Duration
}

// Next is the next wait.
func (p *Backoff) Next() time.Duration {
	p.next = min(max(2*p.next, p.Min), p.Max)
	return p.next/2 + time.Duration(p.Rand.Int64N(int64(p.next/2)+1))
}

// Reset begins anew, after a try that worked.
func (p *Backoff) Reset() { p.next = 0 }
