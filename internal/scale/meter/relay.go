package meter

import (
	"io"
	"net"
	"sync"
)

// Relay forwards the bytes of connections to an address and counts them: In is what went there, Out what came back.
type Relay struct {
	Bytes
	listener net.Listener
	target   string
	running  sync.WaitGroup // the goroutines that accept and serve

	lock   sync.Mutex // guards all below
	open   map[net.Conn]bool
	closed bool
}

// NewRelay starts a relay to an address. It listens on a free port of a host.
func NewRelay(host, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	relay := &Relay{listener: listener, target: target, open: map[net.Conn]bool{}}
	relay.running.Go(relay.accept)
	return relay, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends the relay and its connections, and waits until its goroutines have ended.
func (r *Relay) Close() {
	r.lock.Lock()
	r.closed = true
	_ = r.listener.Close() // a second Close returns an error that says so
	for conn := range r.open {
		_ = conn.Close() // its goroutine sees the end
	}
	r.lock.Unlock()
	r.running.Wait()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.serve(conn) })
	}
}

// track registers a connection for Close to end. After Close it closes the connection and returns false.
func (r *Relay) track(conn net.Conn) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.closed {
		_ = conn.Close()
		return false
	}
	r.open[conn] = true
	return true
}

// untrack closes a connection and forgets it.
func (r *Relay) untrack(conn net.Conn) {
	_ = conn.Close()
	r.lock.Lock()
	delete(r.open, conn)
	r.lock.Unlock()
}

func (r *Relay) serve(incoming net.Conn) {
	if !r.track(incoming) {
		return
	}
	defer r.untrack(incoming)
	outgoing, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(outgoing) {
		return
	}
	defer r.untrack(outgoing)
	counted := Count(incoming, &r.Bytes)
	var both sync.WaitGroup
	both.Go(func() { forward(outgoing, counted) })
	both.Go(func() { forward(counted, outgoing) })
	both.Wait()
}

// forward copies one direction. The end of a stream is passed on as an end; an error breaks both connections.
func forward(to, from net.Conn) {
	if _, err := io.Copy(onlyWriter{to}, onlyReader{from}); err != nil {
		_ = to.Close()
		_ = from.Close()
		return
	}
	if counted, ok := to.(*Conn); ok {
		to = counted.Conn
	}
	_ = to.(*net.TCPConn).CloseWrite() // it fails where the other side has broken the connection
}

// onlyReader and onlyWriter hide the methods by which io.Copy would let the kernel copy, past the counters.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)
