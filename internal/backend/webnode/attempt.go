package webnode

import (
	"time"

	"irispost/internal/backend/node"
)

// Attempt is a call that was started: it waits for a connection, is in flight or is finished.
type Attempt struct {
	client    *Client
	addr      string
	call      *node.Call
	done      func(node.Reply)
	startedAt time.Time // the call's timeouts count from here

	conn      *conn     // nil while waiting for one; the client's lock guards this field and those below
	waitUntil time.Time // when the wait for a connection ends
	finished  bool
}

// Cancel ends the attempt without a reply and closes its connection, by which the node learns of it.
func (a *Attempt) Cancel() {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	if a.conn != nil {
		a.conn.close()
	}
}

// finish reports the reply of the attempt. If the attempt is finished already, the reply is dropped, and counted as
// late if the node executed the attempt. The caller must not hold the lock.
func (a *Attempt) finish(reply node.Reply) {
	a.client.mu.Lock()
	finished := a.finished
	a.finished = true
	a.client.mu.Unlock()
	switch {
	case !finished:
		a.done(reply)
	case reply.Outcome == node.Executed:
		a.client.lateReplies.Add(1)
	}
}

// fail finishes the attempt with an outcome for which there is no response.
func (a *Attempt) fail(outcome node.Outcome, message string) {
	a.finish(node.Reply{Outcome: outcome, Message: message})
}
