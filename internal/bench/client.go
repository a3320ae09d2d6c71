package bench

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"irispost/internal/sftp"
)

const (
	dialTimeout     = time.Second
	greetingTimeout = 5 * time.Second
)

// errNoGreeting is returned if the server does not send its SFTP version within greetingTimeout.
var errNoGreeting = errors.New("sent no SFTP version in time")

// statusError is returned for a request whose response is a status other than OK.
type statusError struct {
	code sftp.Code
	text string
}

// Error returns the code and the text of the status.
func (e *statusError) Error() string { return fmt.Sprintf("%v: %s", e.code, e.text) }

// client is an SFTP client that sends concurrent requests over one connection.
type client struct {
	conn  *sftp.Conn
	ready chan struct{} // closed when the server's SFTP version arrives

	lock    sync.Mutex                 // guards the fields below
	waiting map[uint32]chan sftp.Frame // by request ID
	lastID  uint32
}

// dial connects to a server and waits for its SFTP version.
func dial(addr string) (*client, error) {
	c := &client{ready: make(chan struct{}), waiting: map[uint32]chan sftp.Frame{}}
	conn, err := sftp.Dial(addr, sftp.DefaultLimits, dialTimeout, func(conn *sftp.Conn) sftp.Handler {
		c.conn = conn
		return c
	})
	if err != nil {
		return nil, err
	}
	conn.Send(sftp.New(sftp.Init, sftp.ProtocolVersion))
	select {
	case <-c.ready:
		return c, nil
	case <-time.After(greetingTimeout):
		return nil, fmt.Errorf("%s %w", addr, errNoGreeting)
	}
}

// Packet passes a received frame to the request that waits for it. A frame without such a request is dropped.
func (c *client) Packet(frame sftp.Frame) error {
	if frame.Type == sftp.Version {
		close(c.ready)
		return nil
	}
	id, _ := frame.ID()
	c.lock.Lock()
	response := c.waiting[id]
	delete(c.waiting, id)
	c.lock.Unlock()
	if response != nil {
		response <- frame
	}
	return nil
}

// Closed does nothing. Waiting requests detect the end of the connection themselves.
func (c *client) Closed(error) {}

// request sends a request and waits for its response. response is the channel that receives it. The channel needs a
// buffer of one frame so that Packet does not block.
func (c *client) request(operation sftp.Type, response chan sftp.Frame, fields func(*sftp.Packet)) (sftp.Frame, error) {
	c.lock.Lock()
	c.lastID++
	id := c.lastID
	c.waiting[id] = response
	c.lock.Unlock()
	packet := sftp.New(operation, id)
	fields(packet)
	c.conn.Send(packet)
	select {
	case frame := <-response:
		return frame, statusOf(frame)
	case <-c.conn.Done():
		return sftp.Frame{}, c.conn.Err()
	}
}

// statusOf returns the error of a status frame, or nil if the status is OK or the frame is no status.
func statusOf(frame sftp.Frame) error {
	if frame.Type != sftp.Status {
		return nil
	}
	_, reader := frame.ID()
	code, text := sftp.Code(reader.Uint32()), reader.Text()
	if code != sftp.OK {
		return &statusError{code, text}
	}
	return nil
}
