package gateway

import (
	"container/heap"
	"time"

	"irispost/internal/backend/node"
	"irispost/scheduler"
)

// attempt is an attempt of a request, as the loop tracks it until its outcome is known.
type attempt struct {
	request     *request
	scheduled   *scheduler.Attempt
	nodeAttempt node.Attempt
	timeoutAt   scheduler.Time
	neverRan    bool // proven by its outcome
	heapIndex   int  // position in Loop.timeouts, counted from 1; 0 once the attempt has ended
}

// inFlight reports whether the attempt has no outcome yet.
func (a *attempt) inFlight() bool { return a.heapIndex > 0 }

// unsentAttempt is the node.Attempt of an attempt that was not passed to the node client.
type unsentAttempt struct{}

// Cancel implements node.Attempt.
func (unsentAttempt) Cancel() {}

// Withdraw implements node.Attempt.
func (unsentAttempt) Withdraw() bool { return true }

// outcomes maps the outcomes of the node clients to the scheduler's. A node that executed an operation has served the
// request, whatever the status of the operation.
var outcomes = [...]scheduler.Outcome{
	node.Failed:          scheduler.OutcomeError,
	node.Executed:        scheduler.OutcomeServed,
	node.QueueFull:       scheduler.OutcomeOverloaded,
	node.WrongShard:      scheduler.OutcomeMisdirected,
	node.ConnectFailed:   scheduler.OutcomeConnectFailed,
	node.ConnectionReset: scheduler.OutcomeReset,
}

// dispatch sends an attempt to its node, unless the decision to do so has expired.
func (l *Loop) dispatch(now scheduler.Time, scheduled *scheduler.Attempt) {
	r := l.requests[scheduled.Request]
	a := &attempt{request: r, scheduled: scheduled, timeoutAt: r.spec.Deadline}
	if scheduled.Timeout > 0 {
		a.timeoutAt = min(a.timeoutAt, now+scheduled.Timeout)
	}
	r.attempts = append(r.attempts, a)
	call := l.callFor(r.spec, scheduled, time.Duration(a.timeoutAt-now), now)
	heap.Push(&l.timeouts, a)
	if l.decisionExpired(scheduled) {
		l.failExpired(a)
		return
	}
	if r.spec.ClientLeft != nil && r.spec.ClientLeft() {
		l.dropUnsent(a)
		return
	}
	a.nodeAttempt = l.opt.Nodes.Start(scheduled.Node.Addr, call, func(reply node.Reply) {
		l.post(func(now scheduler.Time) { l.attemptEnded(now, a, outcomes[reply.Outcome], reply) })
	})
}

// callFor builds the call that carries an attempt to its node.
func (l *Loop) callFor(spec *RequestSpec, scheduled *scheduler.Attempt, timeout time.Duration,
	now scheduler.Time) *node.Call {
	call := new(node.Call)
	*call = spec.Call
	call.Gateway = l.opt.Name
	call.RequestID = scheduled.Request.ID
	call.Attempt = scheduled.Number
	call.Volume = spec.Volume.ID
	call.Units = spec.Units
	call.Timeout = timeout
	call.Idempotency = spec.Idempotency
	if scheduled.SendBefore > 0 {
		call.StartWithin = time.Duration(max(scheduled.SendBefore-now, 1))
	}
	if spec.HasKey {
		call.OrderingKey = spec.Key
	}
	if call.IdempotencyKey == "" {
		call.IdempotencyKey = scheduled.Request.ID
	}
	return call
}

// decisionExpired reports whether an attempt may no longer be sent, because too much time has passed since the loop
// read the clock for this decision, for example while the process was paused.
func (l *Loop) decisionExpired(scheduled *scheduler.Attempt) bool {
	now := l.opt.Clock.Now()
	return l.configValidUntil > 0 && now >= l.configValidUntil || scheduled.SendBefore > 0 && now >= scheduled.SendBefore
}

// failExpired ends an attempt whose decision expired before it was sent.
func (l *Loop) failExpired(a *attempt) {
	a.nodeAttempt = unsentAttempt{}
	l.clockStale = true
	l.followUps = append(l.followUps, func(now scheduler.Time) {
		l.attemptEnded(now, a, scheduler.OutcomeConnectFailed, node.Reply{Message: "what was decided is out of date"})
	})
}

// dropUnsent ends an attempt that is not sent, because the client of its request has left without the front end having
// noticed yet, for example while the process was paused.
func (l *Loop) dropUnsent(a *attempt) {
	a.nodeAttempt = unsentAttempt{}
	l.followUps = append(l.followUps, func(now scheduler.Time) {
		l.cancelRequest(now, a.request)
		l.attemptEnded(now, a, scheduler.OutcomeCancelled, node.Reply{})
	})
}

// cancel cancels an attempt. Its outcome is reported to the scheduler in the same turn.
func (l *Loop) cancel(scheduled *scheduler.Attempt) {
	a := l.attemptOf(scheduled)
	if a == nil || !a.inFlight() {
		return
	}
	a.nodeAttempt.Cancel()
	l.followUps = append(l.followUps, func(now scheduler.Time) {
		l.attemptEnded(now, a, scheduler.OutcomeCancelled, node.Reply{})
	})
}

// withdrawUnsent ends the attempts of a request that have not been sent, for example because their connection is still
// being opened. Nothing may be sent for a request after its final answer.
func (l *Loop) withdrawUnsent(r *request) {
	for _, a := range r.attempts {
		if !a.inFlight() || !a.nodeAttempt.Withdraw() {
			continue
		}
		a.neverRan = true
		l.followUps = append(l.followUps, func(now scheduler.Time) {
			l.attemptEnded(now, a, scheduler.OutcomeCancelled, node.Reply{})
		})
	}
}

// attemptOf returns the loop's record of an attempt, or nil if the loop no longer tracks its request.
func (l *Loop) attemptOf(scheduled *scheduler.Attempt) *attempt {
	if r := l.requests[scheduled.Request]; r != nil && scheduled.Number < len(r.attempts) {
		return r.attempts[scheduled.Number]
	}
	return nil
}

// attemptEnded records the outcome of an attempt and reports it to the scheduler. It does nothing if the attempt has
// ended already.
func (l *Loop) attemptEnded(now scheduler.Time, ended *attempt, outcome scheduler.Outcome, reply node.Reply) {
	if !ended.inFlight() {
		return
	}
	heap.Remove(&l.timeouts, ended.heapIndex-1)
	r := ended.request
	ended.neverRan = outcome.NeverExecuted()
	if outcome != scheduler.OutcomeServed && outcome != scheduler.OutcomeCancelled {
		r.reason = reply.Message
	}
	succeeded := outcome == scheduler.OutcomeServed && !r.finished
	l.scheduler.attemptFinished(now, ended.scheduled, outcome, succeeded || r.finished, reply)
	if succeeded {
		l.finish(r, Result{State: scheduler.RequestSucceeded, Reply: reply})
	}
	l.releaseIfDone(r)
}

// expireAttempts cancels the attempts whose timeout has passed and reports them as timed out.
func (l *Loop) expireAttempts(now scheduler.Time) {
	for len(l.timeouts) > 0 && l.timeouts[0].timeoutAt <= now {
		a := l.timeouts[0]
		a.nodeAttempt.Cancel()
		l.attemptEnded(now, a, scheduler.OutcomeTimeout, node.Reply{Message: "no answer in time"})
	}
}
