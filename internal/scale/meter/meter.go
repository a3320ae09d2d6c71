// Package meter counts what a part of the fleet costs: bytes at sockets, processor time and memory of processes, bytes of folders,
// quantiles. It is used by measurements and tests only; what is measured does not know of it.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Bytes counts payload at sockets, both ways, as read and written by the side that is counted: headers of TCP and IP are not in it.
// The zero value counts from 0; any number of connections may share one.
type Bytes struct {
	in, out atomic.Int64
}

// In is the bytes read so far.
func (b *Bytes) In() int64 { return b.in.Load() }

// Out is the bytes written so far.
func (b *Bytes) Out() int64 { return b.out.Load() }

// Both is the bytes read and written so far.
func (b *Bytes) Both() int64 { return b.in.Load() + b.out.Load() }

// Conn is a connection whose bytes count at each of its counters.
type Conn struct {
	net.Conn
	counts []*Bytes
}

// Count has a connection's bytes count at all the counters.
func Count(c net.Conn, counts ...*Bytes) *Conn { return &Conn{c, counts} }

// Read reads, and counts what has come.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for _, count := range c.counts {
		count.in.Add(int64(n))
	}
	return n, err
}

// Write writes, and counts what has gone, also where the rest of it has not.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	for _, count := range c.counts {
		count.out.Add(int64(n))
	}
	return n, err
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer has the bytes of each connection that is opened by dial count; nil: by a net.Dialer. to tells by an address which counters.
func Dialer(dial Dial, to func(addr string) []*Bytes) Dial {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Count(c, to(addr)...), nil
	}
}
