package rig

import (
	"context"
	"net"
	"sync"
	"time"
)

// Link is a TCP proxy to one address that can inject faults. As each link has its own address, every pair of processes
// can have a link of its own.
type Link struct {
	listener    net.Listener
	target      string
	latency     time.Duration
	closed      chan struct{}
	cancelDials context.CancelFunc
	running     sync.WaitGroup // goroutines of accept and serve

	mutex       sync.Mutex // guards the fields below and connection.dataLost of each connection
	fault       Fault
	connections map[*connection]bool
}

// NewLink starts a link to an address, without latency.
func NewLink(target string) (*Link, error) { return NewLinkWithLatency(target, 0) }

// NewLinkWithLatency starts a link that delays each byte by latency, in either direction. The delays of consecutive
// chunks do not add up as long as at most maxDelayedChunks are in transit.
func NewLinkWithLatency(target string, latency time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	link := &Link{
		listener:    listener,
		target:      target,
		latency:     latency,
		closed:      make(chan struct{}),
		cancelDials: cancel,
		connections: map[*connection]bool{},
	}
	link.running.Add(1)
	go link.accept(ctx)
	return link, nil
}

// Addr returns the address that clients of the link dial.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetFault replaces the link's fault; the zero Fault makes the link healthy. Connections that have lost bytes are
// reset when the link becomes healthy: their receivers would take later bytes for the lost ones.
func (l *Link) SetFault(fault Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.fault = fault
	healthy := fault == Fault{}
	for c := range l.connections {
		if fault.Reset || c.dataLost && healthy {
			c.reset()
		}
	}
}

// Close cancels outstanding dials, resets all connections and waits until they have ended.
func (l *Link) Close() {
	close(l.closed) // before the connections are reset, so that register resets later ones
	l.cancelDials()
	_ = l.listener.Close() // the link is ending, so there is nothing to do about an error
	l.mutex.Lock()
	for c := range l.connections {
		c.reset()
	}
	l.mutex.Unlock()
	l.running.Wait()
}

// accept accepts connections and serves them until the link is closed. ctx ends their dials.
func (l *Link) accept(ctx context.Context) {
	defer l.running.Done()
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.serve(ctx, client.(*net.TCPConn))
		}()
	}
}

// serve forwards the bytes of one connection until both directions have ended. ctx ends its dial.
func (l *Link) serve(ctx context.Context, client *net.TCPConn) {
	c := &connection{link: l, client: client}
	if l.currentFault().Reset {
		c.reset()
		return
	}
	server, err := new(net.Dialer).DialContext(ctx, "tcp", l.target)
	if err != nil {
		c.reset()
		return
	}
	c.server = server.(*net.TCPConn)
	if !l.register(c) {
		return
	}

	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		c.copy(c.server, c.client, func(f Fault) bool { return f.DropForward })
	}()
	go func() {
		defer directions.Done()
		c.copy(c.client, c.server, func(f Fault) bool { return f.DropReturn })
	}()
	directions.Wait()

	c.close()
	l.mutex.Lock()
	delete(l.connections, c)
	l.mutex.Unlock()
}

// register adds a connection to those that Close and SetFault reset. If the link was closed or given a fault with
// Reset during the dial, it resets the connection instead and returns false.
func (l *Link) register(c *connection) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isClosed() || l.fault.Reset {
		c.reset()
		return false
	}
	l.connections[c] = true
	return true
}

func (l *Link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *Link) currentFault() Fault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault
}
