package webnode_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/backend/webnode"
)

// peer is a node whose connections the test plays by hand.
type peer struct {
	net.Listener
	t testing.TB
}

func newPeer(t testing.TB) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &peer{l, t}
}

// line is one connection at it.
type line struct {
	net.Conn
	in *bufio.Reader
}

func (p *peer) accept() *line {
	c, err := p.Accept()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	return &line{c, bufio.NewReader(c)}
}

// take reads a request; nil: the connection ended without one.
func (l *line) take() *http.Request {
	q, err := http.ReadRequest(l.in)
	if err != nil {
		return nil
	}
	return q
}

func (l *line) answer(text string) {
	_, _ = io.WriteString(l, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
}

func send(c *webnode.Client, p *peer, call node.Call) (node.Attempt, chan node.Reply) {
	done := make(chan node.Reply, 2)
	call.Op, call.Name = node.GetObject, "/api?extent=00"
	return c.Start(p.Addr().String(), &call, func(a node.Reply) { done <- a }), done
}

// TestLateSecondAnswer: a second answer that comes after the first was taken is not the next execution's. Guard: join days, "a second answer may
// come some milliseconds late".
func TestLateSecondAnswer(t *testing.T) {
	p, c := newPeer(t), client(t, 10, func(o *webnode.Options) { o.ReuseDelay = time.Hour })
	_, first := send(c, p, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	one := p.accept()
	one.take()
	one.answer("a's")
	if a := <-first; string(a.Data) != "a's" {
		t.Fatalf("%+v", a)
	}
	_, second := send(c, p, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	two := p.accept() // not on the one that has just brought an answer
	two.take()
	one.answer("a's again")
	if one.take() != nil {
		t.Error("the connection that brought too much is used again")
	}
	two.answer("b's")
	if a := <-second; string(a.Data) != "b's" {
		t.Errorf("%+v", a)
	}
}

// TestFieldsPassOn: what the call has of further fields reaches the node as it is.
func TestFieldsPassOn(t *testing.T) {
	p, c := newPeer(t), client(t, 10, nil)
	send(c, p, node.Call{IdempotencyKey: "a", Timeout: time.Minute, Headers: []string{"idempotency-key", "k 1", "x-other", ""}})
	if q := p.accept().take(); q.Header.Get("Idempotency-Key") != "k 1" || len(q.Header["X-Other"]) != 1 || q.Header.Get("X-Request-Id") != "a" {
		t.Errorf("%v", q.Header)
	}
}

// TestConnectionsThatHaveRested are used again, the one used last first.
func TestConnectionsThatHaveRested(t *testing.T) {
	p, c := newPeer(t), client(t, 10, nil)
	for i := range 3 {
		_, done := send(c, p, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
		var l *line
		if i == 0 {
			l = p.accept()
			defer func() { _ = p.Close() }()
			go func() {
				for l.take() != nil {
					l.answer("x")
				}
			}()
		}
		<-done
	}
	if open, idle := c.ConnectionCounts(); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}

// TestTimesCountAtTheWrite: a connection that comes up late takes its time off what the node is told, and past the time to begin nothing is written.
func TestTimesCountAtTheWrite(t *testing.T) {
	p, c := newPeer(t), client(t, 10, nil)
	const late = 20 * time.Millisecond
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(late) // at least
		return net.Dial(network, addr)
	})
	send(c, p, node.Call{IdempotencyKey: "a", Timeout: time.Hour, StartWithin: time.Minute})
	q := p.accept().take()
	if ms, err := strconv.ParseInt(q.Header.Get("X-Deadline-Ms"), 10, 64); err != nil || ms > (time.Hour-late).Milliseconds() || ms < time.Minute.Milliseconds() {
		t.Errorf("the node is told %d ms, %v", ms, err)
	}
	for what, call := range map[string]node.Call{"to begin": {Timeout: time.Hour, StartWithin: late}, "of the client": {Timeout: late}} {
		call.IdempotencyKey = "b"
		_, done := send(c, p, call)
		l := p.accept()
		if a := <-done; a.Outcome != node.ConnectFailed {
			t.Errorf("past the time %s: %+v", what, a)
		}
		c.Retain(nil) // closes what is idle
		if l.take() != nil {
			t.Errorf("past the time %s: it was sent", what)
		}
	}
}

// TestNodeThatIsLeft: what waits for a connection or a socket does not begin once its node is left, and is told at once; what is out goes on.
func TestNodeThatIsLeft(t *testing.T) {
	p, c := newPeer(t), client(t, 2, nil)
	_, out := send(c, p, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	first := p.accept()
	first.take()
	up := make(chan bool)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		<-up // it comes up in the end, whatever the context says
		return net.Dial(network, addr)
	})
	_, dials := send(c, p, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	_, waits := send(c, p, node.Call{IdempotencyKey: "c", Timeout: time.Minute})
	c.AbortQueued(func(addr string) bool { return addr != p.Addr().String() })
	if len(dials)+len(waits) > 0 {
		t.Error("what goes to a node that stays has ended")
	}
	c.AbortQueued(func(addr string) bool { return addr == p.Addr().String() })
	if a := <-waits; a.Outcome != node.ConnectFailed {
		t.Errorf("what waited for a socket: %+v", a)
	}
	close(up)
	if p.accept().take() != nil {
		t.Error("it was sent on a connection that came up late")
	}
	if a := <-dials; a.Outcome != node.ConnectFailed {
		t.Errorf("what waited for its connection: %+v", a)
	}
	first.answer("a's")
	if a := <-out; string(a.Data) != "a's" {
		t.Errorf("what was out: %+v", a)
	}
}

// TestCallOffAgainstWrite calls an execution off at each step before its bytes go out: nothing is written, and nothing is told.
func TestCallOffAgainstWrite(t *testing.T) {
	p, c := newPeer(t), client(t, 10, nil)
	off := make(chan node.Attempt)
	webnode.SetDial(c, func(_ context.Context, network, addr string) (net.Conn, error) {
		conn, err := net.Dial(network, addr)
		(<-off).Cancel() // between the connection and the write
		return conn, err
	})
	sent, done := send(c, p, node.Call{IdempotencyKey: "a", Timeout: time.Minute})
	off <- sent
	if p.accept().take() != nil {
		t.Error("called off before the write, it was sent")
	}
	webnode.SetDial(c, func(ctx context.Context, _, _ string) (net.Conn, error) { // never comes up
		<-ctx.Done()
		return nil, ctx.Err()
	})
	sent, late := send(c, p, node.Call{IdempotencyKey: "b", Timeout: time.Minute})
	sent.Cancel() // its dial ends with it
	for open := 1; open > 0; open, _ = c.ConnectionCounts() {
		time.Sleep(time.Millisecond)
	}
	if len(done)+len(late) > 0 {
		t.Error("what was called off has an outcome")
	}
}
