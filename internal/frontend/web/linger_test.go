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

// step is a point in the life of a connection at which a test can have something happen.
type step string

const (
	stepRead       step = "read"        // bytes were read
	stepTimeout    step = "timeout"     // a read timed out
	stepCloseWrite step = "close write" // the sending side is about to be closed
)

// hookedListener is a listener whose connections run a hook at a step.
type hookedListener struct {
	net.Listener
	mu   sync.Mutex // guards all below
	hook func(step)
	last net.Conn // the server's side of the newest connection
}

// hookedConn is a connection of a hookedListener.
type hookedConn struct {
	*net.TCPConn
	listener *hookedListener
}

// startHooked starts a testbed on a hookedListener, with limits that change may lower.
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

// onNext has the next connection that reaches a step run a function, once.
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

// TestRequestThatCrossesCloseIsServedOrNotForwarded has a request arrive just when its idle connection is to be closed,
// in each order. What has arrived by then is served; what arrives after the sending side is closed is not forwarded.
// The connection is not reset, so that the client knows.
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
	idle.expect(200, "before")
	shutDown := func() {
		go b.Shutdown(context.Background(), 0, 0)
		for closing, lingering := 0, 0; closing+lingering == 0; closing, lingering = web.ClosingCounts(b.Server) {
			time.Sleep(time.Millisecond)
		}
	}
	if at == stepRead { // the bytes are read, and the shutdown comes before the server knows of them
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
		idle.expect(200, "a request that had arrived")
	}
	if err := idle.awaitEnd(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ends with %v", err)
	}
	for conns := 1; conns > 0; conns, _ = b.Counts() {
		time.Sleep(time.Millisecond)
	}
	if n := b.nodes.count("2"); (n == 1) != served {
		t.Errorf("the request was forwarded %d times", n)
	}
}

// TestFirstRequestAtDeadlineIsServed: a request that arrives as its connection times out without one is served.
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
	c.expect(200, "a request at the last moment")
}

// TestLastResponseIsNotLostByClose: the close of a connection does not destroy its last response, whatever the client
// still sends.
func TestLastResponseIsNotLostByClose(t *testing.T) {
	b := start(t, generousLimits())
	for _, last := range []string{
		"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"GET / HTTP/9\r\n\r\n",
		"PUT /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n",
	} {
		c := b.dial(t)
		c.send(last + string(make([]byte, 20_000))) // more than is read with the head
		if status, _ := c.read(); status == 0 {
			t.Errorf("%q: no response", last[:12])
		}
		if err := c.awaitEnd(); !errors.Is(err, io.EOF) {
			t.Errorf("%q: the connection ends with %v", last[:12], err)
		}
	}
}

// TestLingeringIsBounded: however many connections are rejected, only so many are held open for them; each gets its
// response.
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
		b.dial(t).expect(503, "one too many")
		if conns, _ := b.Counts(); conns > 8+web.MaxLingering(limits) {
			t.Fatalf("%d connections are held", conns)
		}
	}
}

// TestReadAheadWithoutMemoryEndsConnection: what a client sends while its request is in flight is buffered only while
// there is memory for it. Past that the connection ends with the response that is due, and what was discarded is not
// forwarded.
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
	c.expect(200, "the response that is due")
	if err := c.awaitEnd(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ends with %v", err)
	}
	if n := b.nodes.count("y"); n > 0 {
		t.Errorf("what was discarded was forwarded %d times", n)
	}
}
