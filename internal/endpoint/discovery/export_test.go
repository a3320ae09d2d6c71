package discovery

import (
	"context"
	"net"
)

// PendingWatches returns how many wishes to watch wait.
func (c *Client) PendingWatches() int { return len(c.wake) }

// SetDial has a client that does not run yet open its connections by another function.
func (c *Client) SetDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.dial = dial
}
