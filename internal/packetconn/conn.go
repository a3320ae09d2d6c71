package packetconn

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

// ErrPeerClosed means that the peer has closed the connection.
var ErrPeerClosed = errors.New("the peer closed the connection")

// sentPollInterval is how often WaitSent looks at the queue.
const sentPollInterval = time.Millisecond

// Packet is what is sent: its bytes in two parts, of which the second is not copied.
type Packet interface {
	Size() int // length of both parts in bytes
	Bytes() (head, tail []byte)
}

// Handler takes a connection's packets, one after the other.
type Handler interface {
	// ReadPacket reads one packet and waits for its bytes. An error closes the connection.
	ReadPacket(netpoll.Reader) error
	// Closed is called once when the connection has ended, on a goroutine of its own.
	Closed(reason error)
}

// Conn is a connection that carries packets. Its methods may be called from any goroutine; packets are read by one
// caller.
type Conn struct {
	raw    netpoll.Connection
	limits Limits
	done   chan struct{} // closed when the connection is

	mutex    sync.Mutex // guards what follows
	wake     sync.Cond  // the queue or err has changed
	queue    []Packet
	unsent   int         // bytes in the queue
	sending  bool        // a batch is on its way to the socket
	err      error       // why the connection was closed; nil: it is open
	onClosed func(error) // called once, on a goroutine of its own

	writeMutex sync.Mutex // held while the socket's buffers are written to; it guards released
	released   bool       // netpoll has taken the buffers away
}

// newConn wraps a netpoll connection. Start begins to send.
func newConn(raw netpoll.Connection, limits Limits) *Conn {
	c := &Conn{raw: raw, limits: limits, done: make(chan struct{})}
	c.wake.L = &c.mutex
	_ = raw.SetWriteTimeout(limits.WriteTimeout) // netpoll only notes it and returns no error
	return c
}

// start starts to send, and has onClosed called when the connection ends, in whatever way that comes.
func (c *Conn) start(onClosed func(error)) {
	c.mutex.Lock()
	c.onClosed = onClosed
	reason := c.err
	c.mutex.Unlock()
	if reason != nil { // it ended before it began
		go onClosed(reason)
		return
	}
	// netpoll takes a connection's buffers away when that ends, whoever writes to them. The callback that was added last
	// runs before that is done: it waits for the writer, whose flush has been broken off by then.
	_ = c.raw.AddCloseCallback(func(netpoll.Connection) error { // netpoll returns no error
		c.release()
		return nil
	})
	if !c.raw.IsActive() { // it ended before the callback was added
		c.release()
		return
	}
	go c.sendLoop()
}

// release keeps the writer off the buffers that netpoll takes away, and closes the connection.
func (c *Conn) release() {
	c.writeMutex.Lock()
	c.released = true
	c.writeMutex.Unlock()
	c.Close(ErrPeerClosed)
}

// Limits are the connection's.
func (c *Conn) Limits() Limits { return c.limits }

// Done is closed when the connection is.
func (c *Conn) Done() <-chan struct{} { return c.done }

// RemoteAddr is the peer's address.
func (c *Conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }

// Err is the reason for which the connection was closed; nil while it is open.
func (c *Conn) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}

// Close closes the connection for a reason; nil stands for net.ErrClosed. Only the first call has an effect.
func (c *Conn) Close(reason error) {
	c.mutex.Lock()
	if c.err != nil {
		c.mutex.Unlock()
		return
	}
	if reason == nil {
		reason = net.ErrClosed
	}
	c.err = reason
	close(c.done)
	onClosed := c.onClosed
	c.mutex.Unlock()
	c.wake.Broadcast()
	_ = c.raw.Close() // the connection is given up, whatever its state
	if onClosed != nil {
		go onClosed(reason)
	}
}

// ReadAheadExceeded tells whether the peer has sent more ahead of what is read than it may. netpoll reads on while
// its handler waits, so a handler that waits has to look.
func (c *Conn) ReadAheadExceeded() bool { return c.raw.Reader().Len() > c.limits.MaxReadAhead }

// readLoop hands the packets that have come to the handler.
func (c *Conn) readLoop(h Handler) {
	for c.raw.Reader().Len() > 0 && c.Err() == nil {
		if err := h.ReadPacket(c.raw.Reader()); err != nil {
			c.Close(err)
			return
		}
	}
}

// Send queues a packet. It does not block; false if the connection is closed.
func (c *Conn) Send(packet Packet) bool {
	c.mutex.Lock()
	if c.err != nil {
		c.mutex.Unlock()
		return false
	}
	c.queue = append(c.queue, packet)
	c.unsent += packet.Size()
	exceeded := c.unsent > c.limits.MaxUnsent
	c.mutex.Unlock()
	if exceeded { // on a goroutine of its own, since Closed may want locks that the caller holds
		go c.Close(fmt.Errorf("the peer left over %d bytes unread", c.limits.MaxUnsent))
		return false
	}
	c.wake.Signal()
	return true
}

// Unsent is how many bytes wait to be handed to the socket.
func (c *Conn) Unsent() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unsent
}

// WaitSent waits until what was queued has been handed to the socket, the connection is closed, or the time is up.
func (c *Conn) WaitSent(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(sentPollInterval) {
		c.mutex.Lock()
		sent := c.err != nil || len(c.queue) == 0 && !c.sending
		c.mutex.Unlock()
		if sent {
			return
		}
	}
}

// sendLoop writes what is queued, all that is there at a time, until the connection is closed.
func (c *Conn) sendLoop() {
	for {
		batch := c.nextBatch()
		if batch == nil {
			return
		}
		if err := c.write(batch); err != nil {
			c.Close(err)
			return
		}
	}
}

// nextBatch waits for packets in the queue and takes all; nil if the connection is closed.
func (c *Conn) nextBatch() []Packet {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sending = false
	for len(c.queue) == 0 && c.err == nil {
		c.wake.Wait()
	}
	if c.err != nil {
		return nil
	}
	batch := c.queue
	c.queue = nil
	c.unsent = 0
	c.sending = true
	return batch
}

// write hands packets to the socket.
func (c *Conn) write(batch []Packet) error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if c.released {
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
