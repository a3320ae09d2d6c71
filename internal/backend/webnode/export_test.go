package webnode

import (
	"context"
	"net"

	"irispost/internal/backend/node"
)

// SetDial replaces the function that opens a client's connections. It must not be called while a dial is starting.
func SetDial(c *Client, dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.dial = dial
}

// IsWriting reports whether the request of an attempt that has a connection is being written.
func IsWriting(a node.Attempt) bool {
	attempt := a.(*Attempt)
	attempt.client.mu.Lock()
	defer attempt.client.mu.Unlock()
	return attempt.conn.state == stateWriting
}
