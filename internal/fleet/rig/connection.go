package rig

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	copyBufferBytes = 32 << 10
	trickleInterval = 5 * time.Millisecond // between two bytes
)

// connection is one connection through a link.
type connection struct {
	link     *Link
	client   *net.TCPConn
	server   *net.TCPConn // nil until it is dialled
	dataLost bool         // bytes were dropped; guarded by link.mutex
}

// reset ends both sides without an orderly end.
func (c *connection) reset() {
	for _, side := range []*net.TCPConn{c.client, c.server} {
		if side != nil {
			_ = side.SetLinger(0) // fails on a side that has ended
			_ = side.Close()
		}
	}
}

// close ends both sides: orderly, so that what was written still arrives, where no bytes were dropped.
func (c *connection) close() {
	if !c.hasLostData() {
		_ = c.client.Close() // fails on a side that was reset
		_ = c.server.Close()
	}
	c.reset()
}

func (c *connection) hasLostData() bool {
	c.link.mutex.Lock()
	defer c.link.mutex.Unlock()
	return c.dataLost
}

// copy passes bytes on in one direction until one side ends.
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

// forward writes bytes as the link's fault has them pass; false where the connection has ended.
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

// faultOf is the link's fault, and whether bytes of this connection are dropped: from the first one on all are, in both
// directions.
func (c *connection) linkFault(drops func(Fault) bool) (fault Fault, dropped bool) {
	c.link.mutex.Lock()
	defer c.link.mutex.Unlock()
	c.dataLost = c.dataLost || drops(c.link.fault)
	return c.link.fault, c.dataLost
}

// wait waits; false where the link was closed meanwhile.
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

// ended passes the end of one side on to the other.
func (c *connection) propagateEnd(to *net.TCPConn, err error) {
	if !errors.Is(err, io.EOF) {
		c.reset()
		return
	}
	if !c.hasLostData() {
		_ = to.CloseWrite() // fails on a side that has ended
	}
}
