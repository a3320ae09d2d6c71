package webnode

import (
	"context"
	"net"
)

// SetDial replaces the function that opens a client's connections. It must not be called while a dial is starting.
func SetDial(c *Client, dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.dial = dial
}
