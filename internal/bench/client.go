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

// errNoGreeting is returned for a server that does not send its protocol version in time.
var errNoGreeting = errors.New("does not greet")

// statusError is returned for a request that was answered with a status other than OK.
type statusError struct {
	code sftp.Code
	text string
}

// Error returns code and text.
func (e *statusError) Error() string { return fmt.Sprintf("%v: %s", e.code, e.text) }

// client is an SFTP client with many requests at once over one connection.
type client struct {
	conn  *sftp.Conn
	ready chan struct{} // closed by the server's greeting

	lock    sync.Mutex                 // guards all below
	waiting map[uint32]chan sftp.Frame // by request ID
	lastID  uint32
}

// dial connects to a server and waits for its greeting.
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

// Packet receives a frame from the connection and passes it to the request that waits for it.
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

// Closed does nothing: requests see the end of the connection by themselves.
func (c *client) Closed(error) {}

// request sends a request and waits for its response. The channel is used for it and has to have room for one frame.
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

// statusOf returns the error of a status frame; nil: it is OK, or no status.
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
