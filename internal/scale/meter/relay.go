package meter

import (
	"io"
	"net"
	"sync"
)

// Relay passes the bytes of connections on to an address and counts them: In is what went there, Out what came back.
type Relay struct {
	Bytes
	listener net.Listener
	to       string
	lock     sync.Mutex
	open     map[net.Conn]bool
	closed   bool
	done     sync.WaitGroup
}

// NewRelay starts a relay to an address; host is where it listens, at a port that is free.
func NewRelay(host, to string) (*Relay, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, open: map[net.Conn]bool{}}
	r.done.Go(r.accept)
	return r, nil
}

// Addr is where the relay is entered.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Close ends it, and its connections.
func (r *Relay) Close() {
	r.lock.Lock()
	r.closed = true
	_ = r.listener.Close()
	for c := range r.open {
		_ = c.Close()
	}
	r.lock.Unlock()
	r.done.Wait()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.serve(c) })
	}
}

// hold keeps a connection for Close to end; false: it is closed already.
func (r *Relay) hold(c net.Conn) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.open[c] = true
	return true
}

func (r *Relay) drop(c net.Conn) {
	_ = c.Close()
	r.lock.Lock()
	delete(r.open, c)
	r.lock.Unlock()
}

func (r *Relay) serve(in net.Conn) {
	if !r.hold(in) {
		return
	}
	defer r.drop(in)
	out, err := net.Dial("tcp", r.to)
	if err != nil || !r.hold(out) {
		return
	}
	defer r.drop(out)
	counted := Count(in, &r.Bytes)
	var both sync.WaitGroup
	both.Go(func() { pass(out, counted) })
	both.Go(func() { pass(counted, out) })
	both.Wait()
}

// pass passes one direction on: its end as an end, a break as a break of both.
func pass(to, from net.Conn) {
	if _, err := io.Copy(onlyWriter{to}, onlyReader{from}); err != nil {
		_ = to.Close()
		_ = from.Close()
		return
	}
	if c, is := to.(*Conn); is {
		to = c.Conn
	}
	_ = to.(*net.TCPConn).CloseWrite()
}

// onlyReader and onlyWriter hide that the kernel could copy by itself, past the counters.
type (
	onlyReader struct{ io.Reader }
	onlyWriter struct{ io.Writer }
)
