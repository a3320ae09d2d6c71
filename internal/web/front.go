// Package web is the front that takes HTTP/1.1: requests of clients become jobs of the gateway, and a job's result becomes the
// one answer. What a job deserves is the module's; this package bounds what a client can make the gateway hold.
//
// It is built on net and not on netpoll, which reads on into memory while its handler waits: 60 MB sent behind a request that
// waits would be held whole. With net the bytes stay in the socket until they are wanted.
package web

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"irispost/decide"
	"irispost/internal/gateway"
	"irispost/internal/http1"
)

// Limits bound what clients can make the gateway hold.
type Limits struct {
	Connections int
	Crowd       int           // past so many connections, those that are idle for longer than Spare go
	Bodies      int64         // bytes of all bodies held
	First       time.Duration // from connecting to the end of the first request
	Request     time.Duration // from a later request's first byte to its last
	Idle        time.Duration // between requests
	Spare       time.Duration
	Write       time.Duration // an answer that is not taken by then ends the connection
	Message     http1.Bounds
}

// Options are what a front is started with.
type Options struct {
	Name   string
	Loop   *gateway.Loop
	Terms  decide.Terms
	Limits Limits
	Log    *slog.Logger
}

// Front is a running front.
type Front struct {
	opt      Options
	known    known
	listener net.Listener
	lock     sync.Mutex
	conns    map[*conn]bool
	asked    map[string]bool // ids of requests without an answer
	bodies   int64
	count    int64
	refused  int  // connections that were turned away
	spared   int  // connections that were ended for others
	short    bool // the mode last logged
	phase    phase
	none     chan struct{} // closed when no connection can come and none is left
	turned   chan struct{} // room for those that are being turned away
}

// phase is how far the front's end has come.
type phase uint8

const (
	open    phase = iota
	leaving       // connections are taken, but the gateway is not to be put to use
	deaf          // none are taken; those that are open are served
	closing       // each is closed with its next answer
)

// connState is where a client's connection stands. Only conn.move changes it.
type connState uint8

const (
	fresh   connState = iota // has not asked anything yet
	idle                     // between requests
	reading                  // a request is coming in
	waiting                  // its job is with the gateway
	writing                  // the answer goes out
	ended
)

// conn is a client's connection. The front's lock guards state and since.
type conn struct {
	front   *Front
	raw     net.Conn
	in      *bufio.Reader
	session *gateway.Session
	state   connState
	since   time.Time // it has been in this state
	until   time.Time // the first request has to be there, while fresh
}

// Start listens at an address.
func Start(addr string, opt Options) (*Front, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	f := &Front{opt: opt, known: knownBy(opt.Terms), listener: l, conns: map[*conn]bool{}, asked: map[string]bool{},
		none: make(chan struct{}), turned: make(chan struct{}, max(opt.Limits.Connections/16, 1))}
	go f.accept()
	go f.tend()
	return f, nil
}

// Addr is the address that clients connect to.
func (f *Front) Addr() string { return f.listener.Addr().String() }

func (f *Front) accept() {
	for {
		raw, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors: those that are open have to end first
			f.opt.Log.Warn("no connection could be taken", "gateway", f.opt.Name, "why", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if c := f.admit(raw); c != nil {
			go c.serve()
			continue
		}
		select {
		case f.turned <- struct{}{}:
			go func() {
				f.turnAway(raw)
				<-f.turned
			}()
		default: // a crowd that says nothing: it has no time either
			raw.Close()
		}
	}
}

// turnAway tells a client that there is no room. A close on bytes that nobody has read would take the answer with it, and its
// request would be lost without one, so what the client sends is let go by for a moment.
func (f *Front) turnAway(raw net.Conn) {
	defer raw.Close()
	raw.SetDeadline(time.Now().Add(lastBytes))
	if _, err := raw.Write(http1.NewAnswer(503).Field("Connection", "close").Body([]byte("too many connections\n"), true)); err != nil {
		return
	}
	if t, ok := raw.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	io.CopyN(io.Discard, onlyReader{raw}, 4*f.opt.Limits.Message.Body)
}

// onlyReader hides what else a connection can do, so that nothing is spliced.
type onlyReader struct{ io.Reader }

// lastBytes is for how long a client may still send on a connection that has its last answer.
const lastBytes = 200 * time.Millisecond

// says tells whether a client's bytes wait in a connection's socket: it is neither idle nor silent then, only not read yet.
func says(raw net.Conn) bool {
	s, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	c, err := s.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	c.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err == nil && n > 0
	})
	return waits
}

// admit takes a connection in, if there is room or one that can go; else nil.
func (f *Front) admit(raw net.Conn) *conn {
	f.lock.Lock()
	defer f.lock.Unlock()
	now := time.Now()
	if len(f.conns) >= f.opt.Limits.Connections && !f.spare(now, f.opt.Limits.Spare/8) || f.phase >= deaf {
		f.refused++
		return nil
	}
	f.count++
	c := &conn{front: f, raw: raw, in: bufio.NewReaderSize(raw, http1.LineBytes), since: now,
		session: gateway.NewSession(f.opt.Name + "/" + strconv.FormatInt(f.count, 10)), until: now.Add(f.opt.Limits.First)}
	f.conns[c] = true
	return c
}

// tend is the periodic work: past the crowd, it ends what has been idle for longest. Clients hold only so many connections,
// and those who asked once and stay would keep the others out.
func (f *Front) tend() {
	tick := time.NewTicker(max(f.opt.Limits.Spare/8, 10*time.Millisecond))
	defer tick.Stop()
	refused := 0
	for {
		select {
		case <-f.none:
			return
		case now := <-tick.C:
			f.lock.Lock()
			for len(f.conns) > f.opt.Limits.Crowd && f.spare(now, f.opt.Limits.Spare) {
			}
			f.tell(refused)
			refused = f.refused
			f.lock.Unlock()
		}
	}
}

// spare ends the connection that can go best: one that has not said anything, else the one that has been idle for longest; but
// none that is younger than this.
func (f *Front) spare(now time.Time, least time.Duration) bool {
	var best *conn
	for c := range f.conns {
		if c.state > idle || now.Sub(c.since) < least {
			continue
		}
		if (best == nil || c.state < best.state || c.state == best.state && c.since.Before(best.since)) && !says(c.raw) {
			best = c
		}
	}
	if best != nil {
		f.spared++
		best.move(ended)
	}
	return best != nil
}

// tell logs when connections begin or cease to run short; the lock is held.
func (f *Front) tell(refused int) {
	if short := f.refused > refused; short != f.short {
		f.short = short
		states := map[connState]int{}
		for c := range f.conns {
			states[c.state]++
		}
		f.opt.Log.Info(fmt.Sprintf("connections run short: %t, %d open, %d silent, %d idle; %d turned away, %d ended for others",
			short, len(f.conns), states[fresh], states[idle], f.refused, f.spared), "gateway", f.opt.Name)
	}
}

// enter counts a request in, unless its id is open or the memory for bodies is used up.
func (f *Front) enter(id string, size int64) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.asked[id] {
		return &http1.Error{Status: 409, Why: "a request of this id is open"}
	}
	if f.bodies+size > f.opt.Limits.Bodies {
		return &http1.Error{Status: 503, Why: "too many bytes are held"}
	}
	f.asked[id] = true
	f.bodies += size
	return nil
}

func (f *Front) leave(id string, size int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.asked, id)
	f.bodies -= size
}

// Figures tells how many connections are open, and how many requests without an answer.
func (f *Front) Figures() (conns, requests int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.conns), len(f.asked)
}

// Stop ends the front: for so long connections are still taken, and those that are open are served for so long, since their
// clients have nowhere else to go; then each is closed with its answer, and what is idle at once. At the context's end the
// gateway's loop is stopped, which writes off what it holds.
func (f *Front) Stop(ctx context.Context, taken, served time.Duration) {
	began := time.Now()
	f.lock.Lock()
	again := f.phase > open
	f.phase = max(f.phase, leaving)
	f.lock.Unlock()
	if again {
		<-f.none
		return
	}
	rest(ctx, taken, nil)
	f.listener.Close()
	f.lock.Lock()
	f.phase = deaf
	left := len(f.conns)
	f.lock.Unlock()
	if left == 0 {
		close(f.none)
		return
	}
	rest(ctx, served-time.Since(began), f.none)
	f.lock.Lock()
	f.phase = closing
	for c := range f.conns {
		if c.state <= idle && !says(c.raw) { // what has come in already gets its answer, and then the close
			c.move(ended)
		}
	}
	f.lock.Unlock()
	select {
	case <-f.none:
		return
	case <-ctx.Done():
	}
	f.opt.Loop.Stop()
	rest(context.Background(), 50*time.Millisecond, f.none) // the last answers go out
	f.lock.Lock()
	defer f.lock.Unlock()
	for c := range f.conns {
		c.move(ended)
	}
}

// rest waits for a while, or until the context or the channel ends it.
func rest(ctx context.Context, d time.Duration, done <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	case <-done:
	}
}
