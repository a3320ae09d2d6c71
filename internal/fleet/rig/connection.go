package rig

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	copyBufferBytes = 32 << 10
	trickleInterval = 5 * time.Millisecond // between two bytes of Fault.Trickle
)

// connection is one proxied connection of a link.
type connection struct {
	link     *Link
	client   *net.TCPConn
	server   *net.TCPConn // nil until it is connected
	dataLost bool         // bytes have been dropped; guarded by link.mutex
}

// reset closes both sides with a TCP reset instead of an orderly close.
func (c *connection) reset() {
	for _, side := range []*net.TCPConn{c.client, c.server} {
		if side != nil {
			_ = side.SetLinger(0) // fails if the side is closed already
			_ = side.Close()
		}
	}
}

// close closes both sides. If no bytes were dropped it does so in an orderly way, so that written bytes still arrive.
func (c *connection) close() {
	if !c.hasLostData() {
		_ = c.client.Close() // fails if the side was reset
		_ = c.server.Close()
	}
	c.reset()
}

func (c *connection) hasLostData() bool {
	c.link.mutex.Lock()
	defer c.link.mutex.Unlock()
	return c.dataLost
}

// copy forwards bytes in one direction until one side is closed. drops tells whether a fault drops bytes in that
// direction.
func (c *connection) copy(to, from *net.TCPConn, drops func(Fault) bool) {
	reader := io.Reader(from)
	if c.link.latency > 0 {
		delayed := newDelayedReader(from, c.link.latency)
		defer delayed.stop()
		reader = delayed
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := reader.Read(buffer)
		if !c.forward(to, buffer[:n], drops) {
			return
		}
		if err != nil {
			c.propagateEnd(to, err)
			return
		}
	}
}

// forward writes bytes subject to the link's fault. It returns false if the connection has ended.
func (c *connection) forward(to *net.TCPConn, bytes []byte, drops func(Fault) bool) bool {
	for len(bytes) > 0 {
		fault, dropped := c.linkFault(drops)
		if dropped {
			return true
		}
		chunk := bytes
		wait := fault.Delay
		if fault.Trickle {
			chunk = bytes[:1]
			wait = trickleInterval
		}
		if !c.wait(wait) {
			return false
		}
		if _, err := to.Write(chunk); err != nil {
			c.reset()
			return false
		}
		bytes = bytes[len(chunk):]
	}
	return true
}

// linkFault returns the link's fault and whether to drop bytes. Once bytes of a connection have been dropped, all
// later ones are dropped too, in both directions.
func (c *connection) linkFault(drops func(Fault) bool) (fault Fault, dropped bool) {
	c.link.mutex.Lock()
	defer c.link.mutex.Unlock()
	c.dataLost = c.dataLost || drops(c.link.fault)
	return c.link.fault, c.dataLost
}

// wait waits for a duration. It returns false if the link was closed in the meantime.
func (c *connection) wait(span time.Duration) bool {
	if span <= 0 {
		return true
	}
	select {
	case <-c.link.closed:
		return false
	case <-time.After(span):
		return true
	}
}

// propagateEnd passes the end of one side on to the other: an orderly close as such, unless bytes were dropped, and
// any other error as a reset.
func (c *connection) propagateEnd(to *net.TCPConn, err error) {
	if !errors.Is(err, io.EOF) {
		c.reset()
		return
	}
	if !c.hasLostData() {
		_ = to.CloseWrite() // fails if the side is closed already
	}
}
