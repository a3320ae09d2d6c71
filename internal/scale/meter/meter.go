// Package meter measures what a part of the fleet costs: bytes at sockets, processor time and memory of processes,
// bytes of folders, and quantiles of lists. It is used by measurements and tests only, and what is measured does not
// depend on it. A Relay owns its connections and goroutines; all else has no state but the counters that its caller
// holds.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Bytes counts payload at sockets in both directions, as read and written by the side that is counted, without the
// headers of TCP and IP. The zero value counts from 0; any number of connections may share one.
type Bytes struct {
	in, out atomic.Int64
}

// In returns the bytes read so far.
func (b *Bytes) In() int64 { return b.in.Load() }

// Out returns the bytes written so far.
func (b *Bytes) Out() int64 { return b.out.Load() }

// Both returns the bytes read and written so far.
func (b *Bytes) Both() int64 { return b.in.Load() + b.out.Load() }

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	counters []*Bytes
}

// Count returns a connection whose bytes are counted by all the counters.
func Count(conn net.Conn, counters ...*Bytes) *Conn { return &Conn{conn, counters} }

// Read reads, and counts what was read.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for _, counter := range c.counters {
		counter.in.Add(int64(n))
	}
	return n, err
}

// Write writes, and counts what was written, even if the rest was not.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	for _, counter := range c.counters {
		counter.out.Add(int64(n))
	}
	return n, err
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a Dial whose connections are opened by dial (nil: by a net.Dialer) and counted by the counters of
// their address.
func Dialer(dial Dial, countersFor func(addr string) []*Bytes) Dial {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return Count(conn, countersFor(addr)...), nil
	}
}
