package web

import (
	"io"
	"net"
	"syscall"
	"time"
)

// lingerTimeout is how long a client may still send on a connection that has its last response.
const lingerTimeout = 200 * time.Millisecond

// maxLingerBodies is how many of the longest bodies a client may still send then.
const maxLingerBodies = 4

// linger closes a connection whose client is still there (lingering close, RFC 9112, 9.6): it closes the sending side,
// discards what still arrives for a bounded time and size, and closes. Closing a socket with unread bytes would reset
// the connection and could destroy the response. Nothing that arrives now is passed on.
func (c *conn) linger() {
	defer c.setState(stateClosed)
	c.setState(stateLingering)
	if t, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, onlyReader{c.raw}, maxLingerBodies*c.server.opt.Limits.Message.MaxBodyBytes)
}

// onlyReader hides the other methods of a connection, so that io.Copy does not splice.
type onlyReader struct{ io.Reader }

// hasUnreadBytes reports whether bytes of the client wait in the connection's socket: it is not idle then, its request
// has only not been read yet.
func hasUnreadBytes(raw net.Conn) bool {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = rawConn.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread && err == nil
}
