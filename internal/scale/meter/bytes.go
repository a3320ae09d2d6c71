// Package meter measures resource usage: bytes at sockets, CPU time and memory of processes, sizes of directories, and
// quantiles of measured values. Measurements and tests use it; the measured code does not depend on it. A Relay runs
// goroutines until Close; nothing else has state other than its counters.
package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the payload bytes that one side of connections reads and writes, without the headers of TCP and IP.
// The zero value is ready to use. Any number of connections may share a counter.
type Counter struct {
	in, out atomic.Int64
}

// In returns the number of bytes read so far.
func (b *Counter) In() int64 { return b.in.Load() }

// Out returns the number of bytes written so far.
func (b *Counter) Out() int64 { return b.out.Load() }

// Total returns the number of bytes read and written so far.
func (b *Counter) Total() int64 { return b.in.Load() + b.out.Load() }

// Conn is a connection that adds the bytes read and written to each of its counters.
type Conn struct {
	net.Conn
	counters []*Counter
}

// CountBytes wraps a connection so that its bytes are added to all the counters.
func CountBytes(conn net.Conn, counters ...*Counter) *Conn { return &Conn{conn, counters} }

// Read reads from the connection and counts the bytes read.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for _, counter := range c.counters {
		counter.in.Add(int64(n))
	}
	return n, err
}

// Write writes to the connection and counts the bytes written, also those of a partial write.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	for _, counter := range c.counters {
		counter.out.Add(int64(n))
	}
	return n, err
}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a Dial whose connections count their bytes. It opens them with dial, or with a net.Dialer if dial is
// nil. counters returns the counters for an address.
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
