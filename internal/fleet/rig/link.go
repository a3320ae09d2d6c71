package rig

import (
	"net"
	"sync"
	"time"
)

// Link is a TCP proxy from one process to another, with an address of that pair, which can be made faulty.
type Link struct {
	listener net.Listener
	target   string
	latency  time.Duration
	closed   chan struct{}
	running  sync.WaitGroup // the goroutines of accept and serve

	mutex       sync.Mutex // guards what follows, and connection.dataLost of each
	fault       Fault
	connections map[*connection]bool
}

// NewLink starts a link to an address.
func NewLink(target string) (*Link, error) { return NewLinkWithLatency(target, 0) }

// NewLinkWithLatency starts a link on which each byte takes so long, in either direction. Bytes do not wait for those
// before them, as far as maxDelayedChunks chunks are under way.
func NewLinkWithLatency(target string, latency time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{
		listener:    listener,
		target:      target,
		latency:     latency,
		closed:      make(chan struct{}),
		connections: map[*connection]bool{},
	}
	link.running.Add(1)
	go link.accept()
	return link, nil
}

// Addr is the address that clients of the link dial.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetFault makes the link faulty from now on, or healthy by the zero Fault. Connections that have lost bytes are reset
// when the link gets healthy: what came later would be taken for what was lost.
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

// Close resets all connections and waits until they have ended.
func (l *Link) Close() {
	close(l.closed)
	_ = l.listener.Close() // nothing else is done with it
	l.mutex.Lock()
	for c := range l.connections {
		c.reset()
	}
	l.mutex.Unlock()
	l.running.Wait()
}

// accept serves connections until the link is closed.
func (l *Link) accept() {
	defer l.running.Done()
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.serve(client.(*net.TCPConn))
		}()
	}
}

// serve passes the bytes of one connection on until both sides have ended.
func (l *Link) serve(client *net.TCPConn) {
	c := &connection{link: l, client: client}
	if l.currentFault().Reset {
		c.reset()
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		c.reset()
		return
	}
	c.server = server.(*net.TCPConn)
	l.mutex.Lock()
	l.connections[c] = true
	l.mutex.Unlock()

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

func (l *Link) currentFault() Fault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.fault
}
