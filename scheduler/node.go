package scheduler

import (
	"slices"
	"strconv"
)

// EndpointState is the state of a node by the endpoint list.
type EndpointState uint8

// The states. Only a ready node is sent requests.
const (
	EndpointReady    EndpointState = iota
	EndpointDraining               // finishes what it has and takes nothing new
	EndpointRemoved                // left out of the list, or not yet in it
)

// String names the state.
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

// Node is a storage node as this gateway sees it.
type Node struct {
	Addr      string
	Zone      string
	Shard     int
	StartedAt Time
	State     EndpointState

	// Fair queuing.
	Flows          []*Flow
	VirtualTime    float64
	InService      *Flow // the flow that has the turn, if any
	InServiceSince Time

	// Load and capacity.
	UnitsInFlight          float64
	AttemptsInFlight       int
	PlacementCredits       int     // new objects that may still be placed here
	AnsweredUnits          float64 // units answered, decaying with busy time
	BusySeconds            float64 // busy time that they took, decaying with itself
	BusyUpdatedAt          Time    // up to when busy time is counted
	LastAnswerAt           Time    // when it last answered, or when it last became busy
	InFlightShare          float64 // part of the objective whose answers may be in flight
	Measured               bool    // has answered since its start
	LatestAnsweredSend     Time    // when the latest attempt that it has answered was sent
	MeanLatency            float64 // nanoseconds, averaged
	MeanUnits              float64 // units of the requests that it served, averaged
	UnitsVariance          float64 // of these units
	UnitsLatencyCovariance float64 // of units and latency

	// Health.
	FailureRate         float64     // share of attempts that failed, averaged over the latest
	SlowStart           TokenBucket // this gateway's part of the node's slow-start budget
	FairRate            float64     // what it takes beyond reserves, as a part of the nominal fair rate
	BaseLatency         float64     // nanoseconds for a mean request when the node is not busy
	LastOutcomeAt       Time        // when the latest outcome was weighed
	Suspected           bool        // gives no sign of life: it is sent one request at a time
	FairRateReduced     bool        // as last logged: FairRate is under 1
	FailureRateHigh     bool        // as last logged: FailureRate is over its threshold
	EjectedUntil        Time        // nothing is sent before this time
	CreditReturnedAt    Time        // when a placement credit was last returned without an answer
	SlowStartSent       UnitWindow  // what was sent while it warmed up
	SlowStartAnswered   UnitWindow  // what it answered of that
	AllocatedUnits      float64     // what is left of the allocation of its slow-start budget to this gateway
	AllocationExpiresAt Time        // until then the allocation is all that may be sent while it warms up

	dirty          bool // there may be something to dispatch
	listGeneration int  // the endpoint list that named it last
	flowsByVolume  map[*Volume]*Flow
}

// Flow is a volume at a node: its queue, its virtual time and its budget.
type Flow struct {
	Volume         *Volume
	Queue          []*Request  // by objective deadline
	VirtualStart   float64     // virtual start time of its next request
	Budget         float64     // units left of its turn
	AverageSendGap Time        // between its attempts
	LastSentAt     Time        // 0 for never
	LastAnsweredAt Time        // 0 for never
	InFlight       int         // attempts
	Excess         TokenBucket // this gateway's part of the fair rate beyond the reserve
}

// active reports whether the flow has anything queued or in flight.
func (f *Flow) active() bool { return len(f.Queue) > 0 || f.InFlight > 0 }

// remove takes a request out of the queue.
func (f *Flow) remove(request *Request) {
	if at := slices.Index(f.Queue, request); at >= 0 {
		f.Queue = slices.Delete(f.Queue, at, at+1)
	}
}
