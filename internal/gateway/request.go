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

// Volume describes the volume of a request to the scheduler.
type Volume struct {
	ID           int64
	ServiceLevel string
	GatewayCount float64 // number of gateways that receive its requests
}

// RequestSpec describes a request to submit.
type RequestSpec struct {
	Volume        *Volume
	Class         string
	Units         float64
	Key           int64
	HasKey        bool
	Deadline      scheduler.Time // until which the client waits
	OnResult      func()         // optional; runs before the result can be received, usually on the loop; must not block
	ClientLeft    func() bool    // optional; whether the client has closed the connection; must not block
	ClientRequest uint32         // number of the client's request that this one is part of
	Idempotency   uint8          // as in node.Call
	Call          node.Call      // operation at the node; the loop sets the sender, the IDs and the remaining time
}

// Result is the final answer to a request.
type Result struct {
	State      scheduler.RequestState // RequestSucceeded, RequestRejected, RequestFailed or RequestClientCancelled
	RetryAfter time.Duration          // of a rejected request: how long to wait before a retry; 0: unspecified
	Reply      node.Reply             // of a request that succeeded
	Reason     string                 // of a request that did not succeed: why its last attempt failed
	MayHaveRun bool                   // an attempt has run, or may have run or may still run
}

// String describes the result in human-readable form.
func (r Result) String() string {
	return fmt.Sprintf("%s after %q, wait %v", StateName(r.State), r.Reason, r.RetryAfter)
}

// request is a submitted request and the loop's state of it.
type request struct {
	spec      *RequestSpec
	session   *Session // nil for the gateway's own requests
	scheduled *scheduler.Request
	result    chan Result
	finished  bool // its final answer has been given
	reason    string
	attempts  []*attempt
}

// deliver sends the final answer of a request.
//
// OnResult is called before the result can be received. If it were called afterwards, the receiver could have gone on
// already, and the call could wake it from a later, unrelated wait.
func (r *request) deliver(result Result) {
	if r.spec.OnResult != nil {
		r.spec.OnResult()
	}
	r.result <- result
}

// mayHaveRun reports whether an attempt of the request may have run or may still run.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// stateAtStop returns the final state of a request whose gateway stops. A request that cannot have run is rejected,
// because the client can safely retry it.
func (r *request) stateAtStop() scheduler.RequestState {
	if r.mayHaveRun() {
		return scheduler.RequestFailed
	}
	return scheduler.RequestRejected
}

// hasAttemptsInFlight reports whether an attempt of the request has no outcome yet.
func (r *request) hasAttemptsInFlight() bool {
	return slices.ContainsFunc(r.attempts, (*attempt).inFlight)
}

// Submit submits a request; session is nil for the gateway's own requests. The returned channel receives exactly one
// result.
func (l *Loop) Submit(session *Session, spec *RequestSpec) <-chan Result {
	r := &request{spec: spec, session: session, result: make(chan Result, 1)}
	if !l.post(func(now scheduler.Time) { l.submit(now, r) }) {
		r.deliver(Result{State: r.stateAtStop(), Reason: "the gateway has ended"})
	}
	return r.result
}

// submit submits a request to the scheduler, unless its session is closed.
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

// requestID returns the ID of the latest submitted request: SESSION:CLIENTREQUEST#COUNT, or GATEWAY#COUNT for the
// gateway's own requests.
func (l *Loop) requestID(r *request) string {
	origin := l.opt.Name
	if r.session != nil {
		origin = r.session.Name + ":" + strconv.FormatUint(uint64(r.spec.ClientRequest), 10)
	}
	return origin + "#" + strconv.FormatInt(l.submittedCount, 10)
}

// finish withdraws the unsent attempts of a request, sets MayHaveRun in the result and delivers it as the final answer.
// It does nothing if the request is finished already.
func (l *Loop) finish(r *request, result Result) {
	if r.finished {
		return
	}
	r.finished = true
	l.withdrawUnsent(r)
	result.MayHaveRun = r.mayHaveRun()
	l.stats.forClass(r.spec.Class).add(result.State)
	if r.session != nil {
		delete(r.session.requests, r)
	}
	r.deliver(result)
	l.releaseIfDone(r)
}

// releaseIfDone removes a request that has its final answer and no attempt in flight from the loop.
func (l *Loop) releaseIfDone(r *request) {
	if r.finished && !r.hasAttemptsInFlight() {
		delete(l.requests, r.scheduled)
	}
}

// sortRequests sorts requests of one session by request ID, shorter IDs first, so that the order of calls to the
// scheduler does not depend on the iteration order of a map. This is the order of submission if the client numbers its
// requests in ascending order.
func sortRequests(list []*request) {
	slices.SortFunc(list, func(a, b *request) int {
		x, y := a.scheduled.ID, b.scheduled.ID
		if len(x) != len(y) { // after the same prefix, the longer ID has the higher number
			return len(x) - len(y)
		}
		return strings.Compare(x, y)
	})
}
