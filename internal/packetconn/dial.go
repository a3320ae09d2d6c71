package packetconn

import (
	"context"
	"time"

	"github.com/cloudwego/netpoll"
)

// Dial connects to a TCP address. newHandler creates the handler of the connection.
func Dial(addr string, limits Limits, timeout time.Duration, newHandler func(*Conn) Handler) (*Conn, error) {
	raw, err := netpoll.DialConnection("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, limits)
	handler := newHandler(c)
	c.start(handler.Closed)
	err = raw.SetOnRequest(func(context.Context, netpoll.Connection) error {
		c.readLoop(handler)
		return nil
	})
	if err != nil {
		c.Close(err) // calls the handler's Closed
	}
	return c, nil
}
