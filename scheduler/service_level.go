package scheduler

import "strconv"

// Idempotency says whether requests of a class can safely be repeated.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent       Idempotency = iota // may run any number of times
	IdempotencyKeyed                    // nodes recognise and drop repeats by a key, within a scope and for a time
	NonIdempotent                       // must never run twice
)

// String returns the name of the kind.
func (i Idempotency) String() string {
	switch i {
	case Idempotent:
		return "idempotent"
	case IdempotencyKeyed:
		return "idempotency-keyed"
	case NonIdempotent:
		return "non-idempotent"
	}
	return "Idempotency(" + strconv.Itoa(int(i)) + ")"
}

// DedupScope is the set of nodes that recognise a repeat by its idempotency key, relative to the node of an earlier
// attempt.
type DedupScope uint8

// Deduplication scopes.
const (
	DedupAllNodes  DedupScope = iota // every node
	DedupSameZone                    // nodes of the same zone
	DedupSameShard                   // nodes of the same shard
)

// String returns the name of the scope.
func (d DedupScope) String() string {
	switch d {
	case DedupAllNodes:
		return "all nodes"
	case DedupSameZone:
		return "same zone"
	case DedupSameShard:
		return "same shard"
	}
	return "DedupScope(" + strconv.Itoa(int(d)) + ")"
}

// ServiceLevel defines what a customer's volume is entitled to. Rates are in units per second, for one volume over
// all gateways and nodes. A Scheduler keeps the object of a level when settings change, because volumes refer to it.
type ServiceLevel struct {
	Name               string
	Weight             float64 // weight in fair queuing, relative to other levels
	NominalRate        float64 // rate that the level is sized for
	Reserve            float64 // guaranteed rate
	RateLimit          float64 // maximum rate; 0 for no limit
	Burst              float64 // units that the rate limit allows at once
	EarlyCancelShare   float64 // moving average of the share of clients that leave before the objective
	EarlyCancelAfter   float64 // moving average of when they leave, as a fraction of the objective
	ClientsCancelEarly bool    // as last logged: EarlyCancelShare is above its threshold
	Removed            bool    // not in the current settings
}

// RequestClass is a kind of request, with its requirements and the behaviour of its clients.
type RequestClass struct {
	Name                 string
	Idempotency          Idempotency
	DedupScope           DedupScope // applies to IdempotencyKeyed classes
	LatencyObjective     Time       // counted from the client's first try
	ClientTimeout        Time       // how long a client waits, over all its tries
	DedupWindow          Time       // how long nodes recognise a key after the attempt that carried it was sent
	Ordered              bool       // requests with the same key run one at a time, in order of arrival
	LongestTimeRemaining float64    // longest time to the deadline seen so far, as a fraction of ClientTimeout
	Removed              bool       // not in the current settings
}

// Volume is a customer's volume. Its entitlement holds over all gateways together; each gateway works with its share.
type Volume struct {
	ServiceLevel    *ServiceLevel
	GatewayCount    float64     // number of gateways through which its requests arrive
	Reserve         TokenBucket // this gateway's share of the reserve
	Share           float64     // this gateway's share of the volume's entitlement, from 0 to 1
	ServedHere      float64     // units served through this gateway, decaying
	ServedElsewhere float64     // units served through other gateways as reported by nodes, decaying
	ServedUpdatedAt Time        // time up to which both have decayed
	RateLimit       TokenBucket // this gateway's part of the rate limit, an even split
}
