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

// sentPollInterval is how often WaitSent checks the queue.
const sentPollInterval = time.Millisecond

// Packet is a packet to send. Its bytes come in two parts, so that a payload need not be copied behind the header.
type Packet interface {
	Size() int // total length of both parts in bytes
	Bytes() (head, tail []byte)
}

// Handler reads a connection's packets, one at a time.
type Handler interface {
	// ReadPacket reads one packet and blocks until it has arrived in full. An error closes the connection.
	ReadPacket(netpoll.Reader) error
	// Closed is called once, on its own goroutine, when the connection has been closed.
	Closed(reason error)
}

// Conn is a connection that carries packets. Its methods may be called from any goroutine. Packets are read by one
// goroutine at a time.
type Conn struct {
	raw    netpoll.Connection
	limits Limits
	done   chan struct{} // closed when the connection is closed

	mutex    sync.Mutex // guards the fields below, up to onClosed
	wake     sync.Cond  // signalled when queue or err changes
	queue    []Packet
	unsent   int         // bytes of the packets in the queue
	sending  bool        // a batch is being written to the socket
	err      error       // why the connection was closed; nil while it is open
	onClosed func(error) // called once, on its own goroutine

	writeMutex sync.Mutex // held while writing to netpoll's buffers; guards released
	released   bool       // netpoll reclaims the buffers; they must not be written to
}

// newConn wraps a netpoll connection. Nothing is sent before start is called.
func newConn(raw netpoll.Connection, limits Limits) *Conn {
	c := &Conn{raw: raw, limits: limits, done: make(chan struct{})}
	c.wake.L = &c.mutex
	_ = raw.SetWriteTimeout(limits.WriteTimeout) // netpoll only stores the value; it never returns an error
	return c
}

// start starts the goroutine that sends. onClosed is called once when the connection is closed, whatever the reason.
func (c *Conn) start(onClosed func(error)) {
	c.mutex.Lock()
	c.onClosed = onClosed
	reason := c.err
	c.mutex.Unlock()
	if reason != nil { // it was closed before start
		go onClosed(reason)
		return
	}
	// When a connection ends, netpoll reclaims its buffers even if another goroutine is writing to them. The callback
	// that was added last runs before that, so it waits for the writer, whose flush netpoll has aborted by then.
	_ = c.raw.AddCloseCallback(func(netpoll.Connection) error { // never returns an error
		c.release()
		return nil
	})
	if !c.raw.IsActive() { // it ended before the callback was added, so the callback may not run
		c.release()
		return
	}
	go c.sendLoop()
}

// release waits until nobody writes to the buffers that netpoll is about to reclaim, prevents further writes, and
// closes the connection.
func (c *Conn) release() {
	c.writeMutex.Lock()
	c.released = true
	c.writeMutex.Unlock()
	c.Close(ErrPeerClosed)
}

// Limits returns the connection's limits.
func (c *Conn) Limits() Limits { return c.limits }

// Done returns a channel that is closed when the connection is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }

// Err returns the reason why the connection was closed, or nil while it is open.
func (c *Conn) Err() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}

// Close closes the connection. Err then returns the reason, or net.ErrClosed if the reason is nil. Only the first
// call has an effect.
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
	_ = c.raw.Close() // an error is of no use: the connection is not used again
	if onClosed != nil {
		go onClosed(reason)
	}
}

// ReadAheadExceeded reports whether more than MaxReadAhead bytes have arrived that the handler has not read yet.
// netpoll continues to read from the socket while a handler blocks, so a handler that blocks has to check this.
func (c *Conn) ReadAheadExceeded() bool { return c.raw.Reader().Len() > c.limits.MaxReadAhead }

// readLoop has the handler read the packets that have arrived.
func (c *Conn) readLoop(h Handler) {
	for c.raw.Reader().Len() > 0 && c.Err() == nil {
		if err := h.ReadPacket(c.raw.Reader()); err != nil {
			c.Close(err)
			return
		}
	}
}

// Send queues a packet and does not block. It returns false if the connection is closed, or if it has to be closed
// because more than MaxUnsent bytes would be queued.
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
	if exceeded { // on another goroutine, since Close may need locks that the caller holds
		go c.Close(fmt.Errorf("the peer left over %d bytes unread", c.limits.MaxUnsent))
		return false
	}
	c.wake.Signal()
	return true
}

// Unsent returns how many queued bytes have not been taken for writing to the socket.
func (c *Conn) Unsent() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.unsent
}

// WaitSent waits until all queued packets have been written to the socket, the connection is closed, or the timeout
// has passed.
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

// sendLoop writes the queued packets in batches until the connection is closed.
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

// nextBatch waits until the queue has packets and takes all of them. It returns nil if the connection is closed.
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

// write writes packets to the socket and flushes them.
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
