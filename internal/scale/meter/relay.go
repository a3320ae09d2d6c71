package meter

import (
	"io"
	"net"
	"sync"
)

// Relay forwards connections to a target address. It counts the bytes sent to the target as In, and those back as Out.
type Relay struct {
	Counter
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mutex  sync.Mutex // guards the fields below
	open   map[net.Conn]bool
	closed bool
}

// NewRelay starts a relay to a target address. It listens on a free port of host.
func NewRelay(host, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, open: map[net.Conn]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close closes the listener and all connections, and returns once the relay's goroutines have ended.
func (r *Relay) Close() {
	r.mutex.Lock()
	r.closed = true
	_ = r.listener.Close()
	for conn := range r.open {
		_ = conn.Close()
	}
	r.mutex.Unlock()
	r.goroutines.Wait()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.serve(conn) })
	}
}

// track registers a connection to be closed by Close. If the relay is already closed, it closes it and returns false.
func (r *Relay) track(conn net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		_ = conn.Close()
		return false
	}
	r.open[conn] = true
	return true
}

// closeTracked closes a connection and stops tracking it.
func (r *Relay) closeTracked(conn net.Conn) {
	_ = conn.Close()
	r.mutex.Lock()
	delete(r.open, conn)
	r.mutex.Unlock()
}

func (r *Relay) serve(in net.Conn) {
	if !r.track(in) {
		return
	}
	defer r.closeTracked(in)
	out, err := net.Dial("tcp", r.target)
	if err != nil || !r.track(out) {
		return
	}
	defer r.closeTracked(out)
	counted := CountBytes(in, &r.Counter)
	var directions sync.WaitGroup
	directions.Go(func() { forward(out, counted) })
	directions.Go(func() { forward(counted, out) })
	directions.Wait()
}

// forward copies one direction. At the end of input it closes the other connection for writing; an error closes both
// connections.
func forward(to, from net.Conn) {
	if _, err := io.Copy(onlyWriter{to}, onlyReader{from}); err != nil {
		_ = to.Close()
		_ = from.Close()
		return
	}
	if counted, ok := to.(*Conn); ok {
		to = counted.Conn
	}
	_ = to.(*net.TCPConn).CloseWrite()
}

// onlyReader and onlyWriter hide the other methods of a connection. Otherwise io.Copy would let the kernel copy the
// bytes past the counters.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)
