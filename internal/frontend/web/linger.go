package web

import (
	"io"
	"time"
)

// lingerTimeout limits how long a connection lingers after its last response.
const lingerTimeout = 200 * time.Millisecond

// maxLingerBodies limits the bytes that are discarded while a connection lingers, as a multiple of the maximum body
// size.
const maxLingerBodies = 4

// linger closes a connection whose client is still connected (lingering close, RFC 9112, 9.6). It closes the sending
// side, discards received data up to a limit of time and size, and then closes the connection. Closing a socket with
// unread bytes would reset the connection, and the client could lose the response. No request that arrives while
// lingering is forwarded.
func (c *conn) linger() {
	defer c.setState(stateClosed)
	c.setState(stateLingering)
	if t, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, onlyReader{c.raw}, maxLingerBodies*c.server.opt.Limits.Message.MaxBodyBytes)
}

// onlyReader hides the other methods of a connection, so that io.Copy does not use splice.
type onlyReader struct{ io.Reader }
