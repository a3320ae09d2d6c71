// Package meter measures what a part of a fleet costs: bytes at sockets, processor time and memory of processes, bytes
// in folders, and quantiles of any of them. Measurements and tests call it; what is measured does not know of it. A
// Relay has goroutines of its own, which Close ends; nothing else has state beyond its counters.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts payload at sockets, both ways, as read and written by the side that is counted, without the headers of
// TCP and IP. The zero value counts from 0; any number of connections may share one.
type Counter struct {
	in, out atomic.Int64
}

// In is the bytes read so far.
func (b *Counter) In() int64 { return b.in.Load() }

// Out is the bytes written so far.
func (b *Counter) Out() int64 { return b.out.Load() }

// Total is the bytes read and written so far.
func (b *Counter) Total() int64 { return b.in.Load() + b.out.Load() }

// Conn is a connection whose bytes are added to each of its counters.
type Conn struct {
	net.Conn
	counters []*Counter
}

// CountBytes has a connection's bytes be added to all the counters.
func CountBytes(conn net.Conn, counters ...*Counter) *Conn { return &Conn{conn, counters} }

// Read reads, and counts what was received.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for _, counter := range c.counters {
		counter.in.Add(int64(n))
	}
	return n, err
}

// Write writes, and counts what was sent, also where the rest of it was not.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	for _, counter := range c.counters {
		counter.out.Add(int64(n))
	}
	return n, err
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a Dial whose connections are counted. They are opened by dial, or by a net.Dialer if that is nil;
// counters returns the counters for an address.
func Dialer(dial Dial, counters func(addr string) []*Counter) Dial {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return CountBytes(conn, counters(addr)...), nil
	}
}
