package scheduler

// RequestState is the state of a request in its life cycle. Only Scheduler.setRequestState changes it. It has no
// String method because the replay command prints it as the number stored in captures.
type RequestState uint8

// Request states, in the order of a request's life cycle. RequestSucceeded and those after it are final.
const (
	RequestReceived        RequestState = iota // just submitted
	RequestUnplaced                            // waiting for a node, for its key or for a retry delay
	RequestQueued                              // waiting in its volume's queue at a node
	RequestInFlight                            // has an attempt in flight
	RequestStreaming                           // its response is being streamed to the client
	RequestSucceeded                           // answered successfully
	RequestRejected                            // given up; the client can safely retry
	RequestFailed                              // given up; it may have been executed
	RequestClientCancelled                     // cancelled by the client
)

// Terminal reports whether the request has its final answer or no longer needs one.
func (s RequestState) Terminal() bool { return s >= RequestSucceeded }

// AdmissionDraw is the result of the random draw that decides whether a request passes a token bucket whose capacity
// is smaller than the request.
type AdmissionDraw uint8

// Results of a draw.
const (
	NotDrawn AdmissionDraw = iota
	DrawAdmitted
	DrawDenied
)

// Request is a client's request. It gets exactly one final answer. The caller of Submit sets ID, Units, Shard, Key,
// Write and Deadline; the Scheduler sets all other fields.
type Request struct {
	ID                 string
	Volume             *Volume
	Class              *RequestClass
	Units              float64
	Shard              int   // the shard that holds its data; negative for a new object, which any node can store
	Key                int64 // in an ordered class, requests with the same key run one at a time
	Write              bool
	ReceivedAt         Time
	ObjectiveDeadline  Time // when its latency objective expires
	Deadline           Time // when its client times out
	State              RequestState
	RetryAfter         Time // for a rejected request, how long its client is asked to wait; 0 for no advice
	Attempts           []*Attempt
	Node               *Node         // where it is queued or was last sent
	NotBefore          Time          // it is not placed before this time
	CreditNode         *Node         // for a new object, the node whose placement credit it holds
	LimitCharged       bool          // its units have been charged to its volume's rate limit
	KeyQueue           *KeyQueue     // the queue of its key, if its class is ordered
	ReserveDraw        AdmissionDraw // draw at its volume's reserve
	ExcessDraw         AdmissionDraw // draw at its flow's part of the fair rate
	SlowStartDraw      AdmissionDraw // draw at the slow-start bucket of a warming node
	SlowStartShareDraw AdmissionDraw // draw against the warming node's current share of its capacity
	CoveredByAnswers   bool          // admitted at a warming node without a draw, on account of its answers
	timerAt            Time          // when its timer fires; 0 if none is set
	timerIndex         int           // its position in the timer heap plus one; 0 if it is not there
}

// attemptsPending returns the number of attempts without an outcome.
func (r *Request) attemptsPending() (pending int) {
	for _, attempt := range r.Attempts {
		if attempt.Outcome == OutcomePending {
			pending++
		}
	}
	return pending
}

// removedFromSettings reports whether the settings no longer contain its service level or class.
func (r *Request) removedFromSettings() bool {
	return r.Class.Removed || r.Volume.ServiceLevel.Removed
}

// KeyQueue holds the unfinished requests of one key in order of arrival. Only the first may be placed.
type KeyQueue struct {
	Requests     []*Request
	BlockedUntil Time // an earlier attempt may still be running until then
}
