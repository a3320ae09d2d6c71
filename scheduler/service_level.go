package scheduler

import "strconv"

// Idempotency is what a repeat of a class's request may do.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent       Idempotency = iota // may run any number of times
	IdempotencyKeyed                    // nodes recognise and drop repeats by a key, within a scope and for a time
	NonIdempotent                       // must never run twice
)

// String names the kind.
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

// DedupScope is the set of nodes that recognise a repeat by its idempotency key, seen from the node of an earlier
// attempt.
type DedupScope uint8

// The scopes.
const (
	DedupAllNodes  DedupScope = iota // every node
	DedupSameZone                    // those of its zone
	DedupSameShard                   // those of its shard
)

// String names the scope.
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

// ServiceLevel is what a customer's volume is due. Its rates are units a second for one volume, over all gateways and
// nodes together. A Scheduler keeps the object of a level when its settings change, so that volumes keep theirs.
type ServiceLevel struct {
	Name               string
	Weight             float64 // in fair queuing, relative to other levels
	NominalRate        float64 // what it is sized for
	Reserve            float64 // what is guaranteed
	RateLimit          float64 // what is not exceeded; 0 for no limit
	Burst              float64 // units that the limit lets through at once
	EarlyCancelShare   float64 // share of clients that leave before the objective, averaged over the latest
	EarlyCancelAfter   float64 // when they do, as a part of the latency objective, averaged likewise
	ClientsCancelEarly bool    // as last logged: EarlyLeaveShare is over its threshold
	Removed            bool    // not in the settings that count now
}

// RequestClass is a kind of request, by what it asks for and how its clients behave.
type RequestClass struct {
	Name                 string
	Idempotency          Idempotency
	DedupScope           DedupScope // of a class with idempotency keys
	LatencyObjective     Time       // from the client's first try
	ClientTimeout        Time       // how long a client waits, over all its tries
	DedupWindow          Time       // how long nodes recognise a key after the attempt that brought it was sent
	Ordered              bool       // requests of one key run one at a time, in the order in which they came
	LongestTimeRemaining float64    // the most that a request had to its deadline, as a part of ClientTimeout
	Removed              bool       // not in the settings that count now
}

// Volume is what a customer reads and writes. What it is due counts over all gateways; each gateway works with its
// share.
type Volume struct {
	ServiceLevel    *ServiceLevel
	GatewayCount    float64     // gateways that its requests come through
	Reserve         TokenBucket // this gateway's share of the reserve
	Share           float64     // this gateway's share of what the volume is due, from 0 to 1
	ServedHere      float64     // units served through this gateway, decaying
	ServedElsewhere float64     // units served through others, as nodes report, decaying
	ServedUpdatedAt Time        // up to when both have decayed
	RateLimit       TokenBucket // this gateway's even part of the limit
}
