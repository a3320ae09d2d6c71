package webnode

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"irispost/internal/backend/node"
)

// connState is the state of a connection to a node. Only conn.transition changes it.
type connState uint8

const (
	stateDialing connState = iota
	stateWriting           // a request is being written
	stateWaiting           // the request is written; waiting for its response
	stateIdle
	stateClosed
)

func (s connState) String() string {
	return [...]string{"dialing", "writing", "waiting", "idle", "closed"}[s]
}

// conn is a connection to a node. It carries one attempt at a time. The client's lock guards its fields.
type conn struct {
	client     *Client
	addr       string
	state      connState
	raw        net.Conn // nil while dialing
	attempt    *Attempt // nil while idle
	idleSince  time.Time
	cancelDial context.CancelFunc
	written    chan struct{} // closed when the write of the attempt's request has ended or is not going to happen
}

// transition changes the connection's state and updates the client's lists and counts. The caller holds the lock.
func (c *conn) transition(to connState) {
	client := c.client
	if c.state == stateIdle {
		client.removeIdle(c)
	}
	c.state = to
	delete(client.dialing, c)
	switch to {
	case stateIdle:
		c.attempt, c.idleSince = nil, time.Now()
		client.idle[c.addr] = append(client.idle[c.addr], c)
	case stateClosed:
		client.openConns--
		c.cancelDial()
		if c.raw != nil {
			_ = c.raw.Close()
		}
	}
}

func (c *Client) removeIdle(closed *conn) {
	list := c.idle[closed.addr]
	if i := slices.Index(list, closed); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	c.idle[closed.addr] = list
	if len(list) == 0 {
		delete(c.idle, closed.addr)
	}
}

// close closes a connection, unless it is closed already. The caller holds the lock.
func (c *conn) close() {
	if c.state != stateClosed {
		c.transition(stateClosed)
		c.client.startWaiting()
	}
}

// connect dials the node and sends the attempt that the connection was opened for.
func (c *conn) connect(ctx context.Context) {
	client, attempt := c.client, c.attempt
	raw, err := client.dial(ctx, "tcp", c.addr)
	client.mu.Lock()
	if err != nil || c.state == stateClosed {
		c.close()
		client.mu.Unlock()
		if raw != nil {
			_ = raw.Close()
		}
		attempt.fail(node.ConnectFailed, connectMessage(err))
		return
	}
	c.raw = raw
	c.transition(stateWriting)
	client.mu.Unlock()
	go c.readLoop()
	c.write(attempt)
}

func connectMessage(err error) string {
	if err == nil {
		return "cancelled while connecting"
	}
	return "connecting: " + err.Error()
}

// reuse sends an attempt on a connection that was idle. If the node has closed the connection meanwhile, or has sent
// bytes that belong to no request and would be taken for the response, nothing is written and the attempt gets
// another connection.
func (c *conn) reuse(attempt *Attempt) {
	if c.isSocketIdle() {
		c.write(attempt)
		return
	}
	client := c.client
	client.mu.Lock()
	defer client.mu.Unlock()
	c.attempt = nil
	c.close()
	close(c.written)
	attempt.conn = nil
	if !attempt.finished {
		client.startOrWait(attempt)
	}
}

// isSocketIdle reports whether the node has neither sent bytes that are unread nor closed the connection.
func (c *conn) isSocketIdle() bool {
	rawConn, err := c.raw.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = rawConn.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})
	return idle && err == nil
}

// release makes the connection idle again without writing its attempt.
func (c *conn) release() {
	client := c.client
	defer close(c.written)
	client.mu.Lock()
	defer client.mu.Unlock()
	if c.state != stateClosed {
		c.transition(stateIdle)
		client.startWaiting()
	}
}
