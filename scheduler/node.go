package scheduler

import (
	"slices"
	"strconv"
)

// EndpointState is the state of a node according to the endpoint list.
type EndpointState uint8

// Endpoint states. Requests are sent only to ready nodes.
const (
	EndpointReady    EndpointState = iota
	EndpointDraining               // finishes its requests and accepts no new ones
	EndpointRemoved                // not in the list (any more)
)

// String returns the name of the state.
func (e EndpointState) String() string {
	switch e {
	case EndpointReady:
		return "ready"
	case EndpointDraining:
		return "draining"
	case EndpointRemoved:
		return "removed"
	}
	return "EndpointState(" + strconv.Itoa(int(e)) + ")"
}

// Node is a storage node as seen by this gateway.
type Node struct {
	Addr      string
	Zone      string
	Shard     int
	StartedAt Time
	State     EndpointState

	// Fair queuing.
	Flows          []*Flow
	VirtualTime    float64
	InService      *Flow // the flow whose turn it is, if any
	InServiceSince Time

	// Load and capacity.
	UnitsInFlight          float64
	AttemptsInFlight       int
	PlacementCredits       int     // number of new objects that may still be placed here
	AnsweredUnits          float64 // units answered, decaying with busy time
	BusySeconds            float64 // busy time spent on these units, decaying likewise
	BusyUpdatedAt          Time    // time up to which busy time has been counted
	LastAnswerAt           Time    // time of the last answer, or when it last became busy
	InFlightShare          float64 // share of the objective; what the node answers in that time may be in flight
	Measured               bool    // it has answered since its start
	LatestAnsweredSend     Time    // send time of the most recently sent attempt that was answered
	MeanLatency            float64 // moving average, in nanoseconds
	MeanUnits              float64 // moving average of the units of served requests
	UnitsVariance          float64 // variance of these units
	UnitsLatencyCovariance float64 // covariance of units and latency

	// Health.
	FailureRate         float64     // moving average of the share of failed attempts
	SlowStart           TokenBucket // this gateway's part of the node's slow-start budget
	FairRate            float64     // what it takes beyond reserves, as a fraction of the nominal fair rate
	BaseLatency         float64     // latency of a mean request at the idle node, in nanoseconds
	LastOutcomeAt       Time        // when an outcome last entered the moving averages
	Suspected           bool        // unresponsive: requests are sent to it one at a time
	FairRateReduced     bool        // as last logged: FairRate is below 1
	FailureRateHigh     bool        // as last logged: FailureRate is above its threshold
	EjectedUntil        Time        // nothing is sent before this time
	CreditReturnedAt    Time        // when a placement credit was last returned without an answer
	SlowStartSent       UnitWindow  // units sent to it while it warmed up
	SlowStartAnswered   UnitWindow  // units that it answered while it warmed up
	AllocatedUnits      float64     // remaining units of its slow-start budget that are allocated to this gateway
	AllocationExpiresAt Time        // until then, only allocated units may be sent while it warms up

	dirty          bool // there may be requests to dispatch
	listGeneration int  // generation of the last endpoint list that named it
	flowsByVolume  map[*Volume]*Flow
}

// Flow is the state of one volume at one node: its queue, its virtual time and its budget.
type Flow struct {
	Volume         *Volume
	Queue          []*Request  // ordered by objective deadline
	VirtualStart   float64     // virtual start time of its next request
	Budget         float64     // units left in its turn
	AverageSendGap Time        // moving average of the time between its attempts
	LastSentAt     Time        // 0 if never
	LastAnsweredAt Time        // 0 if never
	InFlight       int         // number of attempts
	Excess         TokenBucket // this gateway's part of the fair rate beyond the reserve
}

// active reports whether the flow has requests queued or in flight.
func (f *Flow) active() bool { return len(f.Queue) > 0 || f.InFlight > 0 }

// remove removes a request from the queue, if it is there.
func (f *Flow) remove(request *Request) {
	if at := slices.Index(f.Queue, request); at >= 0 {
		f.Queue = slices.Delete(f.Queue, at, at+1)
	}
}
