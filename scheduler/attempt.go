package scheduler

import "strconv"

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// Outcomes. OutcomePending means that the attempt has not ended.
const (
	OutcomePending       Outcome = iota
	OutcomeServed                // the node executed the request
	OutcomeError                 // the node reported a failure
	OutcomeOverloaded            // the node rejected the request without executing it
	OutcomeTimeout               // no answer in time
	OutcomeConnectFailed         // no connection could be established; not executed
	OutcomeReset                 // the connection was lost
	OutcomeCancelled             // cancelled by this gateway
	OutcomeMisdirected           // the node does not hold the shard; not executed
)

var outcomeNames = [...]string{
	OutcomePending:       "pending",
	OutcomeServed:        "served",
	OutcomeError:         "error",
	OutcomeOverloaded:    "overloaded",
	OutcomeTimeout:       "timeout",
	OutcomeConnectFailed: "connect failed",
	OutcomeReset:         "connection reset",
	OutcomeCancelled:     "cancelled",
	OutcomeMisdirected:   "misdirected",
}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "Outcome(" + strconv.Itoa(int(o)) + ")"
}

// NeverExecuted reports whether the outcome proves that the node did not start executing the request.
func (o Outcome) NeverExecuted() bool {
	return o == OutcomeOverloaded || o == OutcomeConnectFailed || o == OutcomeMisdirected
}

// Attempt is one transmission of a request to a node.
type Attempt struct {
	Request        *Request
	Number         int // counted from 0
	Node           *Node
	SentAt         Time
	Timeout        Time // 0 if only the client's deadline limits it, as is currently the case for all attempts
	SendBefore     Time // it must not reach the node after this time; 0 if unlimited
	Outcome        Outcome
	Cancelled      bool // cancellation was requested; the attempt stays pending until its outcome arrives
	SilenceCounted bool // not answered within the objective, and already counted as a slow answer
	Overdue        bool // pending for several times its expected latency while later attempts were answered
	PresumedLost   bool // overdue and no longer counted as in flight
}
