package scheduler

import "strconv"

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes. OutcomePending means that it has not ended.
const (
	OutcomePending       Outcome = iota
	OutcomeServed                // the node did the work
	OutcomeError                 // the node answered that it failed
	OutcomeOverloaded            // the node turned it away; it did not run
	OutcomeTimeout               // no answer in time
	OutcomeConnectFailed         // there was no connection; it did not run
	OutcomeReset                 // the connection broke
	OutcomeCancelled             // cancelled by this gateway
	OutcomeMisdirected           // the node does not hold the shard; it did not run
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

// String names the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "Outcome(" + strconv.Itoa(int(o)) + ")"
}

// NeverExecuted reports whether the outcome proves that the work was not begun.
func (o Outcome) NeverExecuted() bool {
	return o == OutcomeOverloaded || o == OutcomeConnectFailed || o == OutcomeMisdirected
}

// Attempt is one sending of a request to a node.
type Attempt struct {
	Request        *Request
	Number         int // counted from 0
	Node           *Node
	SentAt         Time
	Timeout        Time // 0 for none before the client's deadline, as it is for now on all attempts
	SendBefore     Time // it must not reach the node after this; 0 for no such time
	Outcome        Outcome
	Cancelled      bool // its cancellation was decided; the outcome is still due
	SilenceCounted bool // its lack of an answer within the objective was counted as a slow answer
	Overdue        bool // pending for several times the expected latency, while later attempts were answered
	PresumedLost   bool // overdue, and not counted as in flight any more
}
