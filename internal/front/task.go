package front

import (
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/scheduler"
)

// task is the execution of a client's request or of background work of the gateway. It submits requests to the event
// loop, from one goroutine except for the concurrent pieces of a write.
type task struct {
	front          *Front
	gatewaySession *gateway.Session // nil for background work
	arrived        scheduler.Time
	requestID      uint32 // assigned by the client
	mayHaveChanged bool   // a step may have changed a record, so the task cannot be reported as rejected any more
}

// backgroundTask returns a task that no client waits for.
func (f *Front) backgroundTask() *task { return &task{front: f, arrived: f.options.Loop.Now()} }

// submit submits a request to the event loop. Its timeout starts at the arrival of the client's request or, for
// background work, now. A key of 0 means no ordering key.
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

// replyOf converts a result of the event loop to a reply or a failure. docs/operators.md lists what clients are told
// in each case.
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

// waitFor waits until a step of another task is done, or until the deadline that the class gives this task.
func (t *task) waitFor(done <-chan struct{}, class *RequestClass) *failure {
	select {
	case <-done:
		return nil
	default:
	}
	if class == nil { // for the root path, where predecessors do not wait for any node
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

// beforeDeadline reports whether a task may still retry a record change after a version conflict.
func (t *task) beforeDeadline(volume *Volume, path layout.Path) bool {
	return t.front.options.Loop.Now() < t.arrived+int64(volume.ClassOf(Change, path, 0).Timeout)
}
