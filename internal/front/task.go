package front

import (
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/scheduler"
)

// task is a client's request, or background work of the gateway's own, while it goes through its requests to the event
// loop. One goroutine submits them, apart from the concurrent pieces of one write.
type task struct {
	front          *Front
	gatewaySession *gateway.Session // nil for background work
	arrived        scheduler.Time
	requestID      uint32 // the client's
	mayHaveChanged bool   // a step may have changed a record, so that the whole can no longer be rejected
}

// backgroundTask is a task that no client waits for.
func (f *Front) backgroundTask() *task { return &task{front: f, arrived: f.options.Loop.Now()} }

// submit hands a request to the event loop. The deadline of a client's counts from the task's arrival, that of
// background work from now. A key of 0 is none.
func (t *task) submit(volume *Volume, class *RequestClass, units float64, key uint64, call node.Call) <-chan gateway.Result {
	timeoutStart := t.arrived
	if t.gatewaySession == nil {
		timeoutStart = t.front.options.Loop.Now()
	}
	if !class.Ordered {
		key = 0
	}
	if call.Op == node.CompareAndSwapRecord && call.IdempotencyKey == "" {
		call.IdempotencyKey = t.front.uniqueName()
	}
	return t.front.options.Loop.Submit(t.gatewaySession, &gateway.RequestSpec{
		Volume:        &volume.Volume,
		Class:         class.Name,
		Units:         units,
		Key:           int64(key >> 1),
		HasKey:        key != 0,
		Deadline:      timeoutStart + int64(class.Timeout),
		Idempotency:   class.Idempotency,
		ClientRequest: t.requestID,
		Call:          call,
	})
}

// execute submits a request to the event loop and waits for its result.
func (t *task) execute(volume *Volume, class *RequestClass, units float64, key uint64, call node.Call) (
	node.Reply, *failure) {
	return t.replyOf(<-t.submit(volume, class, units, key, call), call.Op)
}

// replyOf turns the event loop's result into a reply or a failure. docs/operators.md has what each says to the client.
func (t *task) replyOf(result gateway.Result, op node.Operation) (node.Reply, *failure) {
	switch result.State {
	case scheduler.RequestSucceeded:
		if op == node.CompareAndSwapRecord && result.Reply.Status == node.OK {
			t.mayHaveChanged = true
		}
		return result.Reply, nil
	case scheduler.RequestClientCancelled:
		return node.Reply{}, &failure{clientGone: true}
	case scheduler.RequestRejected:
		if !t.mayHaveChanged {
			rejected := rejection(result.RetryAfter, result.Reason)
			rejected.mayHaveRun = result.MayHaveRun
			return node.Reply{}, rejected
		}
	}
	if op == node.CompareAndSwapRecord {
		t.mayHaveChanged = true
	}
	return node.Reply{}, unknownOutcome(result.Reason)
}

// waitFor waits until a step of another task is done, at most to the deadline of a request of the class.
func (t *task) waitFor(done <-chan struct{}, class *RequestClass) *failure {
	select {
	case <-done:
		return nil
	default:
	}
	if class == nil { // at the root of all volumes, where no request has steps to wait for
		<-done
		return nil
	}
	timer := time.NewTimer(time.Duration(t.arrived + int64(class.Timeout) - t.front.options.Loop.Now()))
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
		return rejection(0, "an earlier request for the same bytes is still out")
	}
}

// beforeDeadline tells whether a task may retry its change of a record on top of others' changes.
func (t *task) beforeDeadline(volume *Volume, path layout.Path) bool {
	return t.front.options.Loop.Now() < t.arrived+int64(volume.ClassOf(Change, path, 0).Timeout)
}
