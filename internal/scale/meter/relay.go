package meter

import (
	"io"
	"net"
	"sync"
)

// Relay forwards the bytes of connections to an address and counts them: In is what went there, Out what came back.
type Relay struct {
	Counter
	listener   net.Listener
	target     string
	goroutines sync.WaitGroup

	mutex  sync.Mutex // guards what follows
	open   map[net.Conn]bool
	closed bool
}

// NewRelay starts a relay to an address; host is where it listens, at a free port.
func NewRelay(host, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, open: map[net.Conn]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Addr is the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends the relay and its connections, and returns once its goroutines have ended.
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

// track has Close close a connection too. If the relay is closed already, the connection is, and it returns false.
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

// closeTracked closes a connection that was tracked.
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

// forward forwards one direction: its end as an end, an error as one of both directions.
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

// onlyReader and onlyWriter hide that the kernel could copy by itself, past the counters.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)
