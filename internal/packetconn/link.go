// Package packetconn carries packets over netpoll connections: a queue to send from, bounds on both directions, and one end for
// each connection, however that comes. What a packet is, is its peer's.
package packetconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// netpoll's own log tells of each connection that breaks; whoever has the connection is told by Closed.
func init() { netpoll.Configure(netpoll.Config{LoggerOutput: io.Discard}) }

// ErrPeerClosed tells that the peer has closed the connection.
var ErrPeerClosed = errors.New("the peer closed the connection")

// Limits are a connection's limits.
type Limits struct {
	MaxPacket    int           // longest packet taken, in bytes
	MaxReadAhead int           // bytes that the peer may send ahead of what is read; past it the connection is closed
	MaxUnsent    int           // bytes that may wait for a peer that does not read; past it the connection is closed
	WriteTimeout time.Duration // a flush that takes longer closes the connection
}

// DefaultLimits are used where nothing else is said.
var DefaultLimits = Limits{MaxPacket: 256<<10 + 1024, MaxReadAhead: 32 << 20, MaxUnsent: 64 << 20, WriteTimeout: 10 * time.Second}

// Packet is what is sent: its bytes in two parts, of which the second is not copied.
type Packet interface {
	Size() int
	Bytes() (head, tail []byte)
}

// Conn is a connection that carries packets. Send may be called from anywhere; packets are taken in by one caller.
type Conn struct {
	raw     netpoll.Connection
	bounds  Limits
	lock    sync.Mutex
	wake    sync.Cond
	queue   []Packet
	unsent  int
	sending bool // a batch is on its way to the socket
	closed  error
	writing sync.Mutex // held while the socket's buffers are written to
	dead    bool       // they are gone
	gone    chan struct{}
	ended   func(why error) // called once, from elsewhere
}

// Limits are the connection's.
func (c *Conn) Limits() Limits { return c.bounds }

// newConn wraps a netpoll connection.
func newConn(raw netpoll.Connection, b Limits) *Conn {
	c := &Conn{raw: raw, bounds: b, gone: make(chan struct{})}
	c.wake.L = &c.lock
	raw.SetWriteTimeout(b.WriteTimeout)
	return c
}

// start starts to send, and has ended called when the connection ends, however that comes.
func (c *Conn) start(ended func(error)) {
	c.lock.Lock()
	c.ended = ended
	why := c.closed
	c.lock.Unlock()
	if why != nil { // it ended before it began
		go ended(why)
		return
	}
	// netpoll takes a connection's buffers away when that ends, whoever writes to them. The callback that was added last
	// runs before that is done: it waits for the writer, whose flush has been broken off by then.
	c.raw.AddCloseCallback(func(netpoll.Connection) error {
		c.writing.Lock()
		c.dead = true
		c.writing.Unlock()
		c.Close(ErrPeerClosed)
		return nil
	})
	if !c.raw.IsActive() { // it ended before the callback stood
		c.writing.Lock()
		c.dead = true
		c.writing.Unlock()
		c.Close(ErrPeerClosed)
		return
	}
	go c.sender()
}

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.gone }

// RemoteAddr is the peer's address.
func (c *Conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }

// Err is the reason for which the connection was closed.
func (c *Conn) Err() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.closed
}

// Send queues a packet. It does not wait; false tells that the connection is closed.
func (c *Conn) Send(p Packet) bool {
	c.lock.Lock()
	if c.closed != nil {
		c.lock.Unlock()
		return false
	}
	c.queue = append(c.queue, p)
	c.unsent += p.Size()
	over := c.unsent > c.bounds.MaxUnsent
	c.lock.Unlock()
	if over { // from elsewhere: the peer's Closed may want locks that the sender holds
		go c.Close(fmt.Errorf("the peer left over %d bytes unread", c.bounds.MaxUnsent))
		return false
	}
	c.wake.Signal()
	return true
}

// sender writes what is queued, all that is there at a time.
func (c *Conn) sender() {
	for {
		c.lock.Lock()
		c.sending = false
		for len(c.queue) == 0 && c.closed == nil {
			c.wake.Wait()
		}
		if c.closed != nil {
			c.lock.Unlock()
			return
		}
		batch := c.queue
		c.queue, c.unsent, c.sending = nil, 0, true
		c.lock.Unlock()
		if err := c.write(batch); err != nil {
			c.Close(err)
			return
		}
	}
}

// write hands packets to the socket.
func (c *Conn) write(batch []Packet) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.dead {
		return ErrPeerClosed
	}
	w := c.raw.Writer()
	for _, p := range batch {
		head, tail := p.Bytes()
		if _, err := w.WriteBinary(head); err != nil {
			return err
		}
		if len(tail) == 0 {
			continue
		}
		if _, err := w.WriteBinary(tail); err != nil {
			return err
		}
	}
	return w.Flush()
}

// Unsent is how many bytes wait to be handed to the socket.
func (c *Conn) Unsent() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.unsent
}

// Close closes the connection, for a reason.
func (c *Conn) Close(why error) {
	c.lock.Lock()
	if c.closed != nil {
		c.lock.Unlock()
		return
	}
	if why == nil {
		why = net.ErrClosed
	}
	c.closed = why
	close(c.gone)
	ended := c.ended
	c.lock.Unlock()
	c.wake.Broadcast()
	c.raw.Close()
	if ended != nil {
		go ended(why)
	}
}

// WaitSent waits until what was queued has been handed to the socket, or the time is up.
func (c *Conn) WaitSent(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.lock.Lock()
		done := c.closed != nil || len(c.queue) == 0 && !c.sending
		c.lock.Unlock()
		if done {
			return
		}
	}
}

// ReadAheadExceeded tells whether the peer has sent more ahead than it may. netpoll reads on while its handler waits, so a
// handler that waits has to look.
func (c *Conn) ReadAheadExceeded() bool { return c.raw.Reader().Len() > c.bounds.MaxReadAhead }

// Handler takes a connection's packets, one after the other.
type Handler interface {
	ReadPacket(netpoll.Reader) error // takes one packet, and waits for its bytes; an error closes the connection
	Closed(why error)
}

// serve hands a connection's packets to its peer until it ends.
func (c *Conn) serve(p Handler) {
	for c.raw.Reader().Len() > 0 && c.Err() == nil {
		if err := p.ReadPacket(c.raw.Reader()); err != nil {
			c.Close(err)
			return
		}
	}
}

// Server accepts connections.
type Server struct {
	loop     netpoll.EventLoop
	listener net.Listener
	lock     sync.Mutex
	conns    map[*Conn]bool
	done     chan struct{}
}

type peerKey struct{}

type served struct {
	conn *Conn
	peer Handler
}

// Listen serves connections at an address with a peer made for each, at most so many at a time (0: no limit).
func Listen(addr string, b Limits, most int, peer func(*Conn) Handler) (*Server, error) {
	l, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, conns: map[*Conn]bool{}, done: make(chan struct{})}
	s.loop, err = netpoll.NewEventLoop(
		func(ctx context.Context, raw netpoll.Connection) error {
			if v, ok := ctx.Value(peerKey{}).(*served); ok {
				v.conn.serve(v.peer)
			}
			return nil
		},
		netpoll.WithOnPrepare(func(raw netpoll.Connection) context.Context {
			c := newConn(raw, b)
			s.lock.Lock()
			full := most > 0 && len(s.conns) >= most
			if !full {
				s.conns[c] = true
			}
			s.lock.Unlock()
			if full {
				c.Close(fmt.Errorf("%d connections are open, no more are taken", most))
				return context.Background()
			}
			v := &served{c, peer(c)}
			c.start(func(why error) {
				s.lock.Lock()
				delete(s.conns, c)
				s.lock.Unlock()
				v.peer.Closed(why)
			})
			return context.WithValue(context.Background(), peerKey{}, v)
		}))
	if err != nil {
		l.Close()
		return nil, err
	}
	go func() { s.loop.Serve(l); close(s.done) }()
	return s, nil
}

// Addr is the address listened at.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Conns lists the open connections.
func (s *Server) Conns() (list []*Conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	for _, c := range s.Conns() {
		c.Close(net.ErrClosed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.loop.Shutdown(ctx)
	s.listener.Close()
}

// Dial connects to an address, with a peer made for the connection.
func Dial(addr string, b Limits, within time.Duration, peer func(*Conn) Handler) (*Conn, error) {
	raw, err := netpoll.DialConnection("tcp", addr, within)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, b)
	p := peer(c)
	c.start(p.Closed)
	if err := raw.SetOnRequest(func(context.Context, netpoll.Connection) error { c.serve(p); return nil }); err != nil {
		c.Close(err) // its peer is told
	}
	return c, nil
}
