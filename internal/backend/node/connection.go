package node

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"irispost/internal/sftp"
)

// Reasons why the client closes a connection.
var (
	errNoGreeting   = errors.New("the node does not greet")
	errNotListed    = errors.New("the node is no longer listed")
	errClientClosed = errors.New("the gateway ends")
)

// Reasons why a call fails before it is sent. Clients see them in the result of their request.
var (
	errConnectionEnded = errors.New("the connection has just ended")
	errNodeUnavailable = errors.New("the node is left")
)

// connectionState is the state of a connection to a node. Only connection.setState changes it.
type connectionState uint8

const (
	dialing  connectionState = iota
	greeting                 // connected, waiting for the node's VERSION packet
	open
	closed
)

// String returns the state's name.
func (s connectionState) String() string {
	return [...]string{"dialing", "greeting", "open", "closed"}[s]
}

// connection is one connection to a node. It implements sftp.Handler.
type connection struct {
	client *Client
	addr   string

	mutex    sync.Mutex // guards the fields below
	state    connectionState
	conn     *sftp.Conn // nil until connected
	nextID   uint32     // the SFTP request ID that was used last
	inFlight map[uint32]*PendingCall
	queued   []*PendingCall // calls that wait until the connection is open
}

func newConnection(client *Client, addr string) *connection {
	return &connection{client: client, addr: addr, inFlight: map[uint32]*PendingCall{}}
}

// start sends a call, or queues it until the connection is open. It returns false if the connection is closed.
func (c *connection) start(p *PendingCall) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p.conn = c
	switch c.state {
	case closed:
		return false
	case open:
		c.send(p)
	default:
		c.queued = append(c.queued, p)
	}
	return true
}

// send sends a call. The caller holds the mutex. If the connection closes in the meantime, Closed fails the call.
func (c *connection) send(p *PendingCall) {
	c.nextID++
	p.id = c.nextID
	c.inFlight[p.id] = p
	c.conn.Send(p.call.Packet(p.id))
}

// setState changes the connection's state. On closing, it returns the calls that the caller has to fail. A closed
// connection stays closed.
func (c *connection) setState(to connectionState) (failed []*PendingCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state == closed {
		return nil
	}
	c.state = to
	switch to {
	case open:
		c.sendQueued()
	case closed:
		failed = c.endAll()
	}
	return failed
}

// sendQueued sends the calls that wait for the connection. The caller holds the mutex.
func (c *connection) sendQueued() {
	for _, p := range c.queued {
		if !p.ended {
			c.send(p)
		}
	}
	c.queued = nil
}

// endAll marks all calls of the connection as ended and returns them. The caller holds the mutex.
func (c *connection) endAll() []*PendingCall {
	all := c.endQueued()
	for _, p := range c.inFlight {
		p.ended = true
		all = append(all, p)
	}
	c.inFlight = map[uint32]*PendingCall{}
	return all
}

// endQueued marks the calls that wait for the connection as ended and returns them. The caller holds the mutex.
func (c *connection) endQueued() (ended []*PendingCall) {
	for _, p := range c.queued {
		if !p.ended {
			p.ended = true
			ended = append(ended, p)
		}
	}
	c.queued = nil
	return ended
}

// dial connects to the node, sends INIT and closes the connection if the node does not answer it in time.
func (c *connection) dial() {
	conn, err := sftp.Dial(c.addr, c.client.limits, c.client.connectTimeout, func(conn *sftp.Conn) sftp.Handler {
		c.mutex.Lock()
		c.conn = conn
		c.mutex.Unlock()
		return c
	})
	if err != nil {
		c.close(err)
		return
	}
	c.setState(greeting)
	conn.Send(sftp.New(sftp.Init, sftp.ProtocolVersion))
	time.AfterFunc(c.client.connectTimeout, func() {
		c.mutex.Lock()
		unresponsive := c.state == greeting
		c.mutex.Unlock()
		if unresponsive {
			conn.Close(errNoGreeting)
		}
	})
}

// Packet handles a packet from the node. It implements sftp.Handler.
func (c *connection) Packet(frame sftp.Frame) error {
	switch frame.Type {
	case sftp.Version:
		return c.handleVersion(frame)
	case sftp.ExtendedReply:
		return c.handleReply(frame)
	case sftp.Status:
		c.handleStatus(frame)
		return nil
	}
	return fmt.Errorf("%s sends packets of type %d", c.addr, frame.Type)
}

// handleVersion marks the connection as open if the node offers the extension for calls.
func (c *connection) handleVersion(frame sftp.Frame) error {
	_, fields := frame.ID()
	for fields.More() {
		name := fields.Text()
		if name == ExecExtension {
			c.setState(open)
			return nil
		}
		fields.Text() // the extension's version
	}
	return fmt.Errorf("%s does not offer %s", c.addr, ExecExtension)
}

// handleReply ends the call that a reply belongs to.
func (c *connection) handleReply(frame sftp.Frame) error {
	id, fields := frame.ID()
	reply, err := DecodeReply(fields)
	if err != nil {
		return fmt.Errorf("answer of %s: %w", c.addr, err)
	}
	if reply.ReportErr != nil {
		c.client.logInvalidReport(c.addr, reply.ReportErr)
	}
	c.finish(id, reply)
	return nil
}

// handleStatus fails a call that the node could not decode. The call has most likely not run, but a status does not
// prove that, so the outcome is Failed.
func (c *connection) handleStatus(frame sftp.Frame) {
	id, fields := frame.ID()
	code := sftp.Code(fields.Uint32())
	c.finish(id, Reply{Outcome: Failed, Message: fmt.Sprint(code, " ", fields.Text())})
}

// finish ends the call with the given request ID. A reply to a call that was cancelled or abandoned is counted as
// late and dropped.
func (c *connection) finish(id uint32, reply Reply) {
	c.mutex.Lock()
	p := c.inFlight[id]
	if p != nil {
		p.ended = true
		delete(c.inFlight, id)
	}
	c.mutex.Unlock()
	if p == nil {
		c.client.lateReplies.Add(1)
		return
	}
	p.done(reply)
}

// Closed fails the calls of the connection. It implements sftp.Handler.
func (c *connection) Closed(reason error) {
	if c.client.log != nil {
		c.client.log.Debug("node connection closed", "node", c.addr, "err", reason)
	}
	c.close(reason)
}

// close removes the connection from the client and fails its calls. It may be called more than once.
func (c *connection) close(reason error) {
	c.client.remove(c)
	for _, p := range c.setState(closed) {
		reply := Reply{Outcome: ConnectFailed, Message: reason.Error()}
		if p.id > 0 {
			reply.Outcome = ConnectionReset
		}
		p.done(reply)
	}
}

// abortQueued fails the calls that wait for the connection.
func (c *connection) abortQueued() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reply := Reply{Outcome: ConnectFailed, Message: errNodeUnavailable.Error()}
	for _, p := range c.endQueued() {
		go p.done(reply)
	}
}

// closeIdle closes the connection if no call uses or waits for it.
func (c *connection) closeIdle() {
	c.mutex.Lock()
	conn := c.conn
	idle := len(c.inFlight)+len(c.queued) == 0
	c.mutex.Unlock()
	if conn != nil && idle {
		conn.Close(errNotListed)
	}
}

// shutDown closes the connection, whatever its state, and fails its calls.
func (c *connection) shutDown() {
	c.mutex.Lock()
	conn := c.conn
	c.mutex.Unlock()
	if conn != nil {
		conn.Close(errClientClosed)
	}
	c.close(errClientClosed)
}
