package gateway

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"irispost/internal/backend/node"
	"irispost/scheduler"
)

// Volume is what the scheduler knows of a request's volume.
type Volume struct {
	ID           int64
	ServiceLevel string
	GatewayCount float64 // number of gateways that its requests come through
}

// RequestSpec is a request as it is submitted.
type RequestSpec struct {
	Volume        *Volume
	Class         string
	Units         float64
	Key           int64
	HasKey        bool
	Deadline      scheduler.Time // the client waits until then
	OnResult      func()         // called on the loop before the result can be received; must not block; may be nil
	ClientRequest uint32         // number of the client's request that it belongs to
	Idempotency   uint8          // as in node.Call
	Call          node.Call      // what to do at the node; the loop fills in who sends it and the time left
}

// Result is a request's one final answer.
type Result struct {
	State      scheduler.RequestState // RequestSucceeded, RequestRejected, RequestFailed or RequestClientCancelled
	RetryAfter time.Duration          // of a rejected request: when the client may come back; 0: no advice
	Reply      node.Reply             // of a request that succeeded
	Reason     string                 // why the last attempt failed, of a request that did not succeed
	MayHaveRun bool                   // of a request that did not succeed: one of its attempts may have run
}

// String describes a result for people.
func (r Result) String() string {
	return fmt.Sprintf("%s after %q, wait %v", StateName(r.State), r.Reason, r.RetryAfter)
}

// request is a submitted request with what the loop holds for it.
type request struct {
	spec      *RequestSpec
	session   *Session // nil for the gateway's own requests
	scheduled *scheduler.Request
	result    chan Result
	finished  bool // its final answer has been given
	reason    string
	attempts  []*attempt
}

// deliver hands out a request's final answer.
//
// OnResult comes before the result can be received: called after, it could wake a wait of a receiver that has already
// gone on.
func (r *request) deliver(result Result) {
	if r.spec.OnResult != nil {
		r.spec.OnResult()
	}
	r.result <- result
}

// mayHaveRun tells whether an attempt of the request may have run or may yet run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// stateAtStop is the final state of a request whose gateway stops: what can never have run may be retried without harm.
func (r *request) stateAtStop() scheduler.RequestState {
	if r.mayHaveRun() {
		return scheduler.RequestFailed
	}
	return scheduler.RequestRejected
}

// hasAttemptsInFlight tells whether an attempt of the request has no outcome yet.
func (r *request) hasAttemptsInFlight() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).inFlight)
}

// Submit hands in a request; session is nil for the gateway's own. Its result comes on the channel, exactly once.
func (l *Loop) Submit(session *Session, spec *RequestSpec) <-chan Result {
	r := &request{spec: spec, session: session, result: make(chan Result, 1)}
	if !l.post(func(now scheduler.Time) { l.submit(now, r) }) {
		r.deliver(Result{State: r.stateAtStop(), Reason: "the gateway has ended"})
	}
	return r.result
}

// submit passes a request on to the scheduler, unless its client has gone.
func (l *Loop) submit(now scheduler.Time, submitted *request) {
	spec := submitted.spec
	l.stats.forClass(spec.Class).Accepted++
	if submitted.session != nil {
		if submitted.session.closed {
			l.stats.forClass(spec.Class).add(scheduler.RequestClientCancelled)
			submitted.deliver(Result{State: scheduler.RequestClientCancelled})
			return
		}
		submitted.session.requests[submitted] = true
	}
	l.submittedCount++
	submitted.scheduled = &scheduler.Request{
		ID:       l.requestID(submitted),
		Units:    spec.Units,
		Shard:    spec.Call.Shard,
		Key:      spec.Key,
		Write:    spec.Call.Op.Writes(),
		Deadline: spec.Deadline,
	}
	l.requests[submitted.scheduled] = submitted
	l.scheduler.submit(now, submitted.scheduled, spec)
}

// requestID names the request that was submitted last: SESSION:CLIENT REQUEST#COUNT, or GATEWAY#COUNT for the
// gateway's own.
func (l *Loop) requestID(r *request) string {
	origin := l.opt.Name
	if r.session != nil {
		origin = r.session.Name + ":" + strconv.FormatUint(uint64(r.spec.ClientRequest), 10)
	}
	return origin + "#" + strconv.FormatInt(l.submittedCount, 10)
}

// finish gives a request its final answer, once.
func (l *Loop) finish(r *request, result Result) {
	if r.finished {
		return
	}
	r.finished = true
	l.stats.forClass(r.spec.Class).add(result.State)
	if r.session != nil {
		delete(r.session.requests, r)
	}
	r.deliver(result)
	l.releaseIfDone(r)
}

// releaseIfDone drops a request that has its final answer and no attempt in flight.
func (l *Loop) releaseIfDone(r *request) {
	if r.finished && !r.hasAttemptsInFlight() {
		delete(l.requests, r.scheduled)
	}
}

// sortRequests puts requests of one session in the order in which they were submitted, so that the scheduler's calls
// do not depend on the iteration order of a map.
func sortRequests(list []*request) {
	slices.SortFunc(list, func(a, b *request) int {
		x, y := a.scheduled.ID, b.scheduled.ID
		if len(x) != len(y) { // the longer has the higher number
			return len(x) - len(y)
		}
		return strings.Compare(x, y)
	})
}
