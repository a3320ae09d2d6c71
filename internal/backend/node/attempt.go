package node

// Attempt is the handle of a call that was started.
type Attempt interface {
	// Cancel stops waiting for the reply, and tells the node so if the protocol allows it.
	Cancel()
	// Withdraw prevents an attempt whose request has not been sent completely from reaching the node. It returns true if
	// that ended the attempt, of which the node got nothing: the attempt has no reply and was never executed. Otherwise
	// the attempt continues to its reply, and one that was being sent is cut off.
	Withdraw() bool
}

// PendingCall is a call that waits for its connection to open or for its reply. It implements Attempt.
type PendingCall struct {
	call *Call
	done func(Reply)
	conn *connection // set once, when the call is assigned to a connection; nil: none was available

	// Guarded by the connection's mutex.
	id    uint32 // ID of the SFTP request; 0: not sent
	ended bool
}

// Abandon stops waiting for the reply without telling the node. A reply that arrives later is dropped and counted as
// late.
func (p *PendingCall) Abandon() { p.stopWaiting(false) }

// Cancel stops waiting for the reply, and asks the node to drop the call if it has not begun.
func (p *PendingCall) Cancel() { p.stopWaiting(true) }

// Withdraw implements Attempt. A call that was passed to its connection counts as sent.
func (p *PendingCall) Withdraw() bool {
	c := p.conn
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p.ended || p.id > 0 {
		return false
	}
	p.ended = true
	return true
}

// stopWaiting ends the call without a reply. If the call still waits for its connection, it is never sent.
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
