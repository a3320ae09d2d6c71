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
	begun     bool      // the request may have been written in part
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
	a.closeConn()
}

// closeConn closes the attempt's connection, unless there is none or it carries another attempt by now. The caller
// holds the lock.
func (a *Attempt) closeConn() {
	if a.conn != nil && a.conn.attempt == a {
		a.conn.close()
	}
}

// Withdraw implements node.Attempt.
func (a *Attempt) Withdraw() bool {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	switch {
	case a.finished:
		return false
	case a.begun:
		if a.conn.state == stateWriting {
			a.closeConn() // the writer reports the outcome
		}
		return false
	}
	a.finished = true
	a.closeConn()
	return true
}

// begin records that the request is about to be written. It returns false if the attempt is finished.
func (a *Attempt) begin() bool {
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	a.begun = !a.finished
	return a.begun
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
