package day

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"irispost/internal/audit"
	"irispost/internal/front"
	"irispost/internal/sftp"
)

const (
	dialTimeout      = time.Second
	handshakeTimeout = 5 * time.Second
	lateResponseWait = 5 * time.Second // wait after a request's deadline, so that a late response is recorded
)

var (
	errConnectionLost   = errors.New("connection to the gateway lost")
	errHandshakeTimeout = errors.New("the gateway did not complete the SFTP handshake in time")
	errNoResponse       = errors.New("no response")
)

// statusError is an SFTP status other than OK.
type statusError struct {
	code sftp.Code
	text string
}

func (e *statusError) Error() string { return fmt.Sprintf("%v: %s", e.code, e.text) }

// response is the response to a request, or the reason why there is none.
type response struct {
	packetType sftp.Type
	body       *sftp.Fields
	code       sftp.Code // of a status packet
	text       string    // of a status packet
	err        error     // set if the connection ended or no response came
}

// failure returns why the request was not served, or nil if it was served.
func (r response) failure() error {
	switch {
	case r.err != nil:
		return r.err
	case r.packetType == sftp.Status && r.code != sftp.OK:
		return &statusError{r.code, r.text}
	}
	return nil
}

// connection is a client's SFTP connection to a gateway. It records the requests and responses on it for the audit.
type connection struct {
	conn          *sftp.Conn
	recorder      *audit.Recorder
	session       string        // assigned by the gateway; set before handshakeDone is closed
	handshakeDone chan struct{} // closed when the gateway's version packet has arrived

	lock    sync.Mutex // guards what follows
	lastID  uint32
	waiting map[uint32]chan response // by request ID
	ended   bool
	closing bool // the client closes the connection
}

// dial connects to a gateway and waits for the end of the SFTP handshake.
func dial(address string, recorder *audit.Recorder) (*connection, error) {
	c := &connection{recorder: recorder, handshakeDone: make(chan struct{}), waiting: map[uint32]chan response{}}
	peer := func(conn *sftp.Conn) sftp.Handler {
		c.conn = conn
		return c
	}
	conn, err := sftp.Dial(address, sftp.DefaultLimits, dialTimeout, peer)
	if err != nil {
		return nil, err
	}
	conn.Send(sftp.New(sftp.Init, sftp.ProtocolVersion))
	select {
	case <-c.handshakeDone:
		return c, nil
	case <-conn.Done():
		return nil, errConnectionLost
	case <-time.After(handshakeTimeout):
		conn.Close(nil)
		return nil, errHandshakeTimeout
	}
}

// Packet records a response and passes it to the request that waits for it.
func (c *connection) Packet(frame sftp.Frame) error {
	id, body := frame.ID()
	if frame.Type == sftp.Version {
		c.completeHandshake(body)
		return nil
	}
	received := response{packetType: frame.Type, body: body}
	event := audit.Event{Type: audit.ResponseReceived, Session: c.session, ClientRequest: id}
	if frame.Type == sftp.Status {
		received.code = sftp.Code(body.Uint32())
		received.text = body.Text()
		event.Outcome = outcomeOf(received.text)
	}
	c.recorder.Add(event)
	c.lock.Lock()
	waiter := c.waiting[id]
	delete(c.waiting, id)
	c.lock.Unlock()
	if waiter != nil {
		waiter <- received
	}
	return nil
}

// outcomeOf returns the outcome of a request from the message of the gateway's status. Statuses with any other message,
// failures included, are results from the node: the request was executed and counts as succeeded.
func outcomeOf(text string) audit.Outcome {
	switch {
	case strings.HasPrefix(text, "dismissed"):
		return audit.Rejected
	case strings.HasPrefix(text, "written off"):
		return audit.Failed
	}
	return audit.Succeeded
}

// completeHandshake takes the session name from the extensions of the gateway's version packet.
func (c *connection) completeHandshake(extensions *sftp.Fields) {
	for extensions.More() {
		name := extensions.Text()
		data := extensions.Text()
		if name == front.SessionExtension {
			c.session = data
		}
	}
	c.recorder.Add(audit.Event{Type: audit.ClientConnected, Session: c.session})
	close(c.handshakeDone)
}

// Closed records the end of the connection and fails the requests that wait for a response.
func (c *connection) Closed(error) {
	c.lock.Lock()
	c.ended = true
	waiting := c.waiting
	c.waiting = map[uint32]chan response{}
	state := audit.StateBroken
	if c.closing {
		state = audit.StateClosed
	}
	c.lock.Unlock()
	if c.session != "" {
		c.recorder.Add(audit.Event{Type: audit.ClientDisconnected, Session: c.session, State: state})
	}
	for _, waiter := range waiting {
		waiter <- response{err: errConnectionLost}
	}
}

func (c *connection) close() {
	c.lock.Lock()
	c.closing = true
	c.lock.Unlock()
	c.conn.Close(nil)
}

// send sends a request and returns the channel that receives its one response.
func (c *connection) send(packetType sftp.Type, class requestClass, fields func(*sftp.Packet)) <-chan response {
	waiter := make(chan response, 1)
	c.lock.Lock()
	if c.ended {
		c.lock.Unlock()
		waiter <- response{err: errConnectionLost}
		return waiter
	}
	c.lastID++
	id := c.lastID
	c.waiting[id] = waiter
	c.lock.Unlock()
	packet := sftp.New(packetType, id)
	fields(packet)
	c.recorder.Add(class.sentEvent(c.recorder.Clock(), c.session, id))
	c.conn.Send(packet)
	time.AfterFunc(class.timeout+lateResponseWait, func() { c.expire(id) })
	return waiter
}

// expire fails a request that is still without a response, so that the client does not wait forever. The audit counts
// the request as lost.
func (c *connection) expire(id uint32) {
	c.lock.Lock()
	waiter := c.waiting[id]
	delete(c.waiting, id)
	c.lock.Unlock()
	if waiter != nil {
		waiter <- response{err: errNoResponse}
	}
}
