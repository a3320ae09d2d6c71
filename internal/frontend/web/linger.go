package web

import (
	"io"
	"net"
	"syscall"
	"time"
)

// lastBytes is for how long a client may still send on a connection that has its last answer.
const lastBytes = 200 * time.Millisecond

// lingering is how many connections may linger at a time while others come; they come on top of Connections.
func (l Limits) lingering() int { return max(l.MaxConnections/8, 1) }

// linger is the one way in which the front closes a connection whose client is still there: it stops sending, lets what still comes go
// by for a bounded time and size, and closes. A close on bytes that nobody has read would reset the connection and take the answer along.
// Nothing that comes now is sent on.
func (c *conn) linger() {
	defer c.to(ended)
	c.to(lingering)
	if t, ok := c.raw.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	c.raw.SetReadDeadline(time.Now().Add(lastBytes))
	io.CopyN(io.Discard, onlyReader{c.raw}, 4*c.front.opt.Limits.Message.MaxBodyBytes)
}

// onlyReader hides what else a connection can do, so that nothing is spliced.
type onlyReader struct{ io.Reader }

// says tells whether a client's bytes wait in a connection's socket: it is neither idle nor silent then, only not read yet.
func says(raw net.Conn) bool {
	s, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	c, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	c.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err == nil && n > 0
	})
	return waits
}
