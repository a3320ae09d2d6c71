package discovery

import (
	"context"
	"net"
)

// PendingWatches returns the number of Watch calls that Run has not served yet: 0 or 1.
func (c *Client) PendingWatches() int { return len(c.wake) }

// SetDial replaces the function that opens connections. It must be called before Run.
func (c *Client) SetDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.dial = dial
}
