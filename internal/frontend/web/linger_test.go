package web_test

import (
	"bufio"
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

// stage is a listener whose connections stop at a step, so that a test can have something happen just there.
type stage struct {
	net.Listener
	lock sync.Mutex
	step func(what string) // "read": bytes were read; "late": a read timed out; "end": sending is about to end
	last net.Conn          // the gateway's side of the connection that came last
}

type player struct {
	*net.TCPConn
	stage *stage
}

// staged starts a front on a stage, with other limits than usual.
func staged(t testing.TB, change func(*web.Limits)) (*town, *stage) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	most, on := limits(), &stage{Listener: l}
	if change != nil {
		change(&most)
	}
	return startOn(t, on, most), on
}

func (s *stage) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p := &player{c.(*net.TCPConn), s}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.last = p
	return p, nil
}

// at has the next such step call what, once.
func (s *stage) at(step string, what func()) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.step = func(now string) {
		if now == step {
			s.step = nil
			what()
		}
	}
}

func (s *stage) come(what string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.step != nil {
		s.step(what)
	}
}

func (p *player) Read(b []byte) (int, error) {
	n, err := p.TCPConn.Read(b)
	switch {
	case n > 0:
		p.stage.come("read")
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.stage.come("late")
	}
	return n, err
}

func (p *player) CloseWrite() error {
	p.stage.come("end")
	return p.TCPConn.CloseWrite()
}

// end tells how a connection ends, after what is left to read.
func (c *client) end() (err error) {
	for err == nil {
		_, err = c.in.ReadByte()
	}
	return err
}

// TestEndsThatCross has a request come in just when its resting connection is to go, in each order. Guard: what has come in by then is served; what
// comes after sending has ended is not sent on, and the connection is not reset, so that its client knows.
func TestEndsThatCross(t *testing.T) {
	for _, c := range []struct {
		step   string
		served bool
	}{{"read", true}, {"late", true}, {"end", false}} {
		t.Run(c.step, func(t *testing.T) {
			w, on := staged(t, nil)
			rests := w.dial(t)
			rests.send(ask("1"))
			rests.expect(200, "before")
			stop := func() {
				go w.Shutdown(context.Background(), 0, 0)
				for d, l := 0, 0; d+l == 0; d, l = web.ClosingCounts(w.Server) {
					time.Sleep(time.Millisecond)
				}
			}
			if c.step == "read" { // its bytes are read, and the end comes before anybody knows
				on.at("read", stop)
				rests.send(ask("2"))
			} else {
				on.at(c.step, func() {
					rests.send(ask("2"))
					for !web.HasUnreadBytes(on.last) {
						time.Sleep(time.Millisecond)
					}
				})
				stop()
			}
			if c.served {
				rests.expect(200, "a request that had come in")
			}
			if err := rests.end(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ends with %v", err)
			}
			for conns := 1; conns > 0; conns, _ = w.Counts() {
				time.Sleep(time.Millisecond)
			}
			if w.nodes.lock.Lock(); (w.nodes.seen["2"] == 1) != c.served {
				t.Errorf("it was sent on %d times", w.nodes.seen["2"])
			}
			w.nodes.lock.Unlock()
		})
	}
}

// TestFirstRequestAtTheLastMoment: one that comes as its connection has said nothing for too long is served.
func TestFirstRequestAtTheLastMoment(t *testing.T) {
	w, on := staged(t, func(l *web.Limits) { l.FirstRequestTimeout = 30 * time.Millisecond })
	ready := make(chan *client, 1)
	on.at("late", func() {
		c := <-ready
		c.send(ask("1"))
		for !web.HasUnreadBytes(on.last) {
			time.Sleep(time.Millisecond)
		}
	})
	c := w.dial(t)
	ready <- c
	c.expect(200, "a request at the last moment")
}

// TestLastAnswerArrives: a connection that ends with an answer does not take it along, whatever its client still sends.
func TestLastAnswerArrives(t *testing.T) {
	w := start(t, limits())
	for _, last := range []string{
		"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
		"GET / HTTP/9\r\n\r\n",
		"PUT /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n",
	} {
		c := w.dial(t)
		c.send(last + string(make([]byte, 20_000))) // more than is read with the head
		if status, _, _ := c.read(); status == 0 {
			t.Errorf("%q: no answer", last[:12])
		}
		if err := c.end(); !errors.Is(err, io.EOF) {
			t.Errorf("%q: the connection ends with %v", last[:12], err)
		}
	}
}

// TestLingeringIsBounded: however many are turned away, only so many connections are held for them; each has its answer.
func TestLingeringIsBounded(t *testing.T) {
	l := limits()
	l.MaxConnections = 8
	w := start(t, l)
	w.nodes.hold = true
	for i := range 8 {
		w.dial(t).send(ask(string(rune('a' + i))))
	}
	for requests := 0; requests < 8; _, requests = w.Counts() {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		c, err := net.Dial("tcp", w.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		(&client{c, bufio.NewReader(c), t}).expect(503, "one too many")
		if conns, _ := w.Counts(); conns > 8+web.MaxLingering(l) {
			t.Fatalf("%d connections are held", conns)
		}
	}
}

// TestNoRoomAhead: what a client sends before its turn is held only while there is room; past that the connection ends with the answer that is due, in order,
// and what was dropped is not sent on.
func TestNoRoomAhead(t *testing.T) {
	w, on := staged(t, func(l *web.Limits) { l.MaxBodyBytes = 6 })
	w.nodes.hold = true
	c := w.dial(t)
	c.send(ask("x"))
	<-w.nodes.more
	read := make(chan bool)
	on.at("read", func() { close(read) })
	c.send(ask("y"))
	<-read
	w.nodes.out["x"].serve()
	c.expect(200, "what is due")
	if err := c.end(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ends with %v", err)
	}
	w.nodes.lock.Lock()
	defer w.nodes.lock.Unlock()
	if w.nodes.seen["y"] != 0 {
		t.Error("what was dropped was sent on")
	}
}
