package webnode

import (
	"context"
	"net"
)

// Dialled has a client's connections come up by a function of the test's, until anything is sent.
func Dialled(c *Client, dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.dial = dial
}
