package webnode

import (
	"time"

	"irispost/internal/backend/node"
)

// Attempt is an attempt that is in flight or waits for a connection.
type Attempt struct {
	client    *Client
	addr      string
	call      *node.Call
	done      func(node.Reply)
	startedAt time.Time // the call's timeouts count from then

	conn      *conn     // nil while it waits for one; guarded by the client's lock, as are those below
	waitUntil time.Time // it waits for a connection no longer than this
	finished  bool
}

// Cancel ends an attempt without a reply and closes its connection, which tells the node.
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

// finish reports the reply of an attempt, unless it is finished already. The caller doesn't hold the lock.
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

// fail finishes an attempt with an outcome other than a response.
func (a *Attempt) fail(outcome node.Outcome, message string) {
	a.finish(node.Reply{Outcome: outcome, Message: message})
}
