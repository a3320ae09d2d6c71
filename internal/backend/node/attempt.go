package node

// Attempt is a call that was started, as its caller sees it.
type Attempt interface {
	// Cancel ends the wait for the reply, and lets the node know where the protocol can.
	Cancel()
}

// PendingCall is a call that waits for its connection or for its reply. It implements Attempt.
type PendingCall struct {
	call *Call
	done func(Reply)
	conn *connection // set once, when the call is given to it; nil: no connection took it

	// Guarded by the connection's mutex.
	id    uint32 // of the SFTP request; 0: not sent
	ended bool
}

// Abandon ends the wait for the reply, which will be dropped and counted as late. The node is not told.
func (p *PendingCall) Abandon() { p.stopWaiting(false) }

// Cancel ends the wait for the reply, and asks the node to drop the call if it has not begun it.
func (p *PendingCall) Cancel() { p.stopWaiting(true) }

// stopWaiting ends the wait for the reply. A call that waits for its connection then is not sent.
func (p *PendingCall) stopWaiting(notifyNode bool) {
	c := p.conn
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	if p.id == 0 {
		return
	}
	delete(c.inFlight, p.id)
	if notifyNode {
		c.nextID++
		c.conn.Send(CancelPacket(c.nextID, p.id, p.call))
	}
}
