package web_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"irispost/internal/frontend/web"
)

// step is a step of a connection at which a test can run a hook.
type step string

const (
	stepRead       step = "read"        // bytes were read
	stepTimeout    step = "timeout"     // a read timed out
	stepCloseWrite step = "close write" // the sending side is about to be closed
)

// hookedListener is a listener whose connections run the hook at each step.
type hookedListener struct {
	net.Listener
	mu   sync.Mutex // guards all fields below
	hook func(step)
	last net.Conn // server side of the most recently accepted connection
}

// hookedConn is a connection of a hookedListener.
type hookedConn struct {
	*net.TCPConn
	listener *hookedListener
}

// startHooked starts a testbed on a hookedListener. modify, unless nil, may change its limits.
func startHooked(t testing.TB, modify func(*web.Limits)) (*testbed, *hookedListener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := generousLimits()
	if modify != nil {
		modify(&limits)
	}
	listener := &hookedListener{Listener: l}
	return startOnListener(t, listener, limits), listener
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	hooked := &hookedConn{c.(*net.TCPConn), l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = hooked
	return hooked, nil
}

// onNext makes the next connection that reaches the step run a function, once.
func (l *hookedListener) onNext(at step, run func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hook = func(reached step) {
		if reached == at {
			l.hook = nil
			run()
		}
	}
}

func (l *hookedListener) runHook(reached step) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hook != nil {
		l.hook(reached)
	}
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	switch {
	case n > 0:
		c.listener.runHook(stepRead)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.listener.runHook(stepTimeout)
	}
	return n, err
}

func (c *hookedConn) CloseWrite() error {
	c.listener.runHook(stepCloseWrite)
	return c.TCPConn.CloseWrite()
}

// TestRequestThatCrossesCloseIsServedOrNotForwarded: a request arrives while the server closes its idle connection. If
// it arrives before the sending side is closed, it is served; if later, it is not forwarded. The connection ends with
// an EOF and not with a reset, so that the client can tell that no further response follows.
func TestRequestThatCrossesCloseIsServedOrNotForwarded(t *testing.T) {
	for _, c := range []struct {
		at     step
		served bool
	}{{stepRead, true}, {stepTimeout, true}, {stepCloseWrite, false}} {
		t.Run(string(c.at), func(t *testing.T) { testRequestDuringClose(t, c.at, c.served) })
	}
}

func testRequestDuringClose(t *testing.T, at step, served bool) {
	b, listener := startHooked(t, nil)
	idle := b.dial(t)
	idle.send(putRequest("1"))
	idle.expect(200, "request before the shutdown")
	shutDown := func() {
		go b.Shutdown(context.Background(), 0, 0)
		for closing, lingering := 0, 0; closing+lingering == 0; closing, lingering = web.ClosingCounts(b.Server) {
			time.Sleep(time.Millisecond)
		}
	}
	if at == stepRead { // the shutdown comes after the bytes are read and before the server handles them
		listener.onNext(stepRead, shutDown)
		idle.send(putRequest("2"))
	} else {
		listener.onNext(at, func() {
			idle.send(putRequest("2"))
			for !web.HasUnreadBytes(listener.last) {
				time.Sleep(time.Millisecond)
			}
		})
		shutDown()
	}
	if served {
		idle.expect(200, "request that arrived before the close")
	}
	if err := idle.awaitEnd(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v, want EOF", err)
	}
	for conns := 1; conns > 0; conns, _ = b.Counts() {
		time.Sleep(time.Millisecond)
	}
	if n := b.nodes.count("2"); (n == 1) != served {
		t.Errorf("the second request was forwarded %d times, want once if it is served, else never", n)
	}
}

// TestFirstRequestAtDeadlineIsServed: a request that arrives just as the timeout for the first request expires is
// served.
func TestFirstRequestAtDeadlineIsServed(t *testing.T) {
	b, listener := startHooked(t, func(l *web.Limits) { l.FirstRequestTimeout = 30 * time.Millisecond })
	ready := make(chan *client, 1)
	listener.onNext(stepTimeout, func() {
		c := <-ready
		c.send(putRequest("1"))
		for !web.HasUnreadBytes(listener.last) {
			time.Sleep(time.Millisecond)
		}
	})
	c := b.dial(t)
	ready <- c
	c.expect(200, "first request at the deadline")
}

// TestLastResponseIsNotLostByClose: the client gets the last response on a connection, followed by an EOF, even if it
// keeps sending. Closing a socket with unread bytes would reset the connection and lose the response.
func TestLastResponseIsNotLostByClose(t *testing.T) {
	b := start(t, generousLimits())
	for _, last := range []string{
		"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"GET / HTTP/9\r\n\r\n",
		"PUT /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n",
	} {
		c := b.dial(t)
		c.send(last + string(make([]byte, 20_000))) // more than the server reads together with the head
		if status, _ := c.read(); status == 0 {
			t.Errorf("%q: got no response, want one", last[:12])
		}
		if err := c.awaitEnd(); !errors.Is(err, io.EOF) {
			t.Errorf("%q: the connection ended with %v, want EOF", last[:12], err)
		}
	}
}

// TestLingeringIsBounded: the number of rejected connections that linger is limited, no matter how many are rejected.
// Each of them gets a response.
func TestLingeringIsBounded(t *testing.T) {
	limits := generousLimits()
	limits.MaxConnections = 8
	b := start(t, limits)
	b.nodes.setHolding(true)
	for i := range 8 {
		b.dial(t).send(putRequest(string(rune('a' + i))))
	}
	for requests := 0; requests < 8; _, requests = b.Counts() {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		b.dial(t).expect(503, "connection above the limit")
		if conns, _ := b.Counts(); conns > 8+web.MaxLingering(limits) {
			t.Fatalf("%d connections are open, want at most 8 plus those that may linger", conns)
		}
	}
}

// TestReadAheadWithoutMemoryEndsConnection: data that a client sends while its request is in flight is buffered only
// while there is memory for it. Otherwise it is discarded and not forwarded, and the connection is closed after the
// pending response.
func TestReadAheadWithoutMemoryEndsConnection(t *testing.T) {
	b, listener := startHooked(t, func(l *web.Limits) { l.MaxBodyBytes = 6 })
	b.nodes.setHolding(true)
	c := b.dial(t)
	c.send(putRequest("x"))
	<-b.nodes.heldIDs
	read := make(chan bool)
	listener.onNext(stepRead, func() { close(read) })
	c.send(putRequest("y"))
	<-read
	b.nodes.attempt("x").serve()
	c.expect(200, "response that was pending")
	if err := c.awaitEnd(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v, want EOF", err)
	}
	if n := b.nodes.count("y"); n > 0 {
		t.Errorf("the discarded request was forwarded %d times, want 0", n)
	}
}
