package scheduler

// RequestState is where a request stands. Only Scheduler.setRequestState changes it. It has no String method, since
// the command replay prints it as the number that a capture stores.
type RequestState uint8

// The states, in the order of a request's life. From RequestSucceeded on they are final.
const (
	RequestReceived        RequestState = iota // just submitted
	RequestUnplaced                            // waits for a node, for its key or for a retry's delay
	RequestQueued                              // waits in its volume's queue at a node
	RequestInFlight                            // has an attempt in flight
	RequestStreaming                           // its response has begun to flow to the client
	RequestSucceeded                           // answered
	RequestRejected                            // given up; trying again is harmless
	RequestFailed                              // given up; it may have run
	RequestClientCancelled                     // the client left
)

// Terminal reports whether the request has had its final answer or needs none.
func (s RequestState) Terminal() bool { return s >= RequestSucceeded }

// AdmissionDraw is the result of the draw by which a request passes a token bucket that is smaller than the request.
type AdmissionDraw uint8

// The results.
const (
	NotDrawn AdmissionDraw = iota
	DrawAdmitted
	DrawDenied
)

// Request is one request of a client. It gets exactly one final answer. Who submits it fills in ID, Units, Shard,
// Key, Write and Deadline; all other fields are the Scheduler's.
type Request struct {
	ID                 string
	Volume             *Volume
	Class              *RequestClass
	Units              float64
	Shard              int   // the shard that holds its data; below 0 for a new object, which any node can take
	Key                int64 // requests of an ordered class that share it run one at a time
	Write              bool
	ReceivedAt         Time
	ObjectiveDeadline  Time // when its latency objective ends
	Deadline           Time // when its client gives up
	State              RequestState
	RetryAfter         Time // how long its client is asked to wait, when rejected; 0 for no advice
	Attempts           []*Attempt
	Node               *Node         // where it is queued or was sent last
	NotBefore          Time          // it is not placed again before this time
	CreditNode         *Node         // the node that gave a placement credit for it, a new object
	LimitCharged       bool          // its units were taken from its volume's rate limit
	KeyQueue           *KeyQueue     // the requests of its key, where its class is ordered
	ReserveDraw        AdmissionDraw // at its volume's reserve
	ExcessDraw         AdmissionDraw // at its flow's part of the fair rate
	SlowStartDraw      AdmissionDraw // at the bucket of a node that warms up
	SlowStartShareDraw AdmissionDraw // by the share of its capacity that such a node has
	CoveredByAnswers   bool          // admitted at such a node by what it has answered, without a draw
	timerAt            Time          // when its timer fires; 0 for none
	timerIndex         int           // its place in the timer heap, counted from 1; 0 for none
}

// attemptsPending counts the attempts without an outcome.
func (r *Request) attemptsPending() (pending int) {
	for _, attempt := range r.Attempts {
		if attempt.Outcome == OutcomePending {
			pending++
		}
	}
	return pending
}

// removedFromSettings reports whether its service level or class is not in the settings any more.
func (r *Request) removedFromSettings() bool {
	return r.Class.Removed || r.Volume.ServiceLevel.Removed
}

// KeyQueue is the unfinished requests of one key, in the order in which they came. Only the first may be placed.
type KeyQueue struct {
	Requests     []*Request
	BlockedUntil Time // an earlier attempt may still run until then
}
