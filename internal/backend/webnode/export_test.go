package webnode

import (
	"context"
	"net"
)

// SetDial has a client's connections come up by a function of the test's, until anything is sent.
func SetDial(c *Client, dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.dial = dial
}
