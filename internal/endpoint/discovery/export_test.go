package discovery

import (
	"context"
	"net"
)

// Pending tells how many wishes to ask wait.
func (c *Client) Pending() int { return len(c.wake) }

// Dialled has a client's connections come up by a function of the test's, until it runs.
func Dialled(c *Client, dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.dial = dial
}
