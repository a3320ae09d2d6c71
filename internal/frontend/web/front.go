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
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/scheduler"
)

// Limits bound what clients can make the gateway hold.
type Limits struct {
	MaxConnections      int
	CrowdedConnections  int           // past so many connections, those that are idle for longer than Spare go
	MaxBodyBytes        int64         // bytes of all bodies held
	FirstRequestTimeout time.Duration // from connecting to the end of the first request
	RequestTimeout      time.Duration // from a later request's first byte to its last
	IdleTimeout         time.Duration // between requests
	CrowdedIdleTimeout  time.Duration
	WriteTimeout        time.Duration // an answer that is not taken by then ends the connection
	Message             http1.Limits
}

// Options are what a front is started with.
type Options struct {
	GatewayName string
	Loop        *gateway.Loop
	Settings    scheduler.Settings
	Limits      Limits
	Logger      *slog.Logger
}

// Server is a running front.
type Server struct {
	opt       Options
	known     known
	listener  net.Listener
	lock      sync.Mutex
	conns     map[*conn]bool
	asked     map[string]bool // ids of requests without an answer
	bodies    int64
	count     int64
	refused   int  // connections that were turned away
	spared    int  // connections that were ended for others
	short     bool // the mode last logged
	phase     phase
	dismissed int           // connections that are to go
	lingers   []*conn       // those that linger, the first for longest
	none      chan struct{} // closed when no connection can come and none is left
	heard     chan struct{} // closed when none is taken any more
}

// phase is how far the front's end has come.
type phase uint8

const (
	open    phase = iota
	leaving       // connections are taken, but the gateway is not to be put to use
	deaf          // none are taken; those that are open are served
	closing       // each is closed with its next answer
	over          // what has not come in whole by now is told so
)

// connState is where a client's connection stands. Only conn.move changes it.
type connState uint8

const (
	fresh     connState = iota // has not asked anything yet
	idle                       // between requests
	dismissed                  // it is to go, unless a request has come in
	reading                    // a request is coming in
	waiting                    // its job is with the gateway
	writing                    // the answer goes out
	lingering                  // nothing is sent any more, and what comes is dropped
	ended
)

// conn is a client's connection. The front's lock guards state and since.
type conn struct {
	front   *Server
	raw     net.Conn
	ahead   ahead
	in      *bufio.Reader
	session *gateway.Session
	state   connState
	since   time.Time // it has been in this state
	until   time.Time // the first request has to be there, while fresh
}

// Start listens at an address.
func Start(addr string, opt Options) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return startOn(l, opt), nil
}

func startOn(l net.Listener, opt Options) *Server {
	f := &Server{opt: opt, known: knownBy(opt.Settings), listener: l, conns: map[*conn]bool{}, asked: map[string]bool{},
		none: make(chan struct{}), heard: make(chan struct{})}
	go f.accept()
	go f.tend()
	return f
}

// Addr is the address that clients connect to.
func (f *Server) Addr() string { return f.listener.Addr().String() }

func (f *Server) accept() {
	defer close(f.heard)
	for short := false; ; {
		raw, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) || isTimeout(err) { // Stop sets a time, after which nothing waits there
			return
		}
		if short != (err != nil) {
			short = err != nil
			f.opt.Logger.Warn(fmt.Sprintf("no connection can be taken: %t", short), "gateway", f.opt.GatewayName, "why", err)
		}
		if err != nil { // out of descriptors: those that are open have to end first
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if c, taken := f.admit(raw); taken {
			go c.serve()
		} else {
			go c.linger()
		}
	}
}

// admit takes a connection in, if there is room or one that can go. One for which there is none is told so, and lingers.
func (f *Server) admit(raw net.Conn) (c *conn, taken bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	now := time.Now()
	f.count++
	taken = f.phase < deaf && (f.serving() < f.opt.Limits.MaxConnections || f.spare(now, f.opt.Limits.CrowdedIdleTimeout/8))
	c = &conn{front: f, raw: raw, since: now, session: gateway.NewSession(f.opt.GatewayName + "/" + strconv.FormatInt(f.count, 10)),
		until: now.Add(f.opt.Limits.FirstRequestTimeout)}
	c.ahead = ahead{raw: raw, most: f.opt.Limits.Message.MaxBodyBytes + int64(f.opt.Limits.Message.MaxHeadBytes), book: f.book}
	raw.SetReadDeadline(c.until) // before anybody can dismiss it
	c.in = bufio.NewReaderSize(&c.ahead, http1.MaxLineBytes)
	f.conns[c] = true
	if !taken {
		f.refused++
		raw.SetWriteDeadline(now.Add(lastBytes)) // nothing is in the socket yet, so it does not wait
		raw.Write(http1.NewResponse(503).Field("Connection", "close").Body([]byte("too many connections\n"), true))
		c.move(lingering)
	}
	return c, taken
}

// serving is the number of connections that are not on their way out; the lock is held.
func (f *Server) serving() int { return len(f.conns) - len(f.lingers) - f.dismissed }

// tend is the periodic work: past the crowd, it ends what has been idle for longest. Clients hold only so many connections,
// and those who asked once and stay would keep the others out.
func (f *Server) tend() {
	tick := time.NewTicker(max(f.opt.Limits.CrowdedIdleTimeout/8, 10*time.Millisecond))
	defer tick.Stop()
	refused := 0
	for {
		select {
		case <-f.none:
			return
		case now := <-tick.C:
			f.lock.Lock()
			for f.serving() > f.opt.Limits.CrowdedConnections && f.spare(now, f.opt.Limits.CrowdedIdleTimeout) {
			}
			f.tell(refused)
			refused = f.refused
			f.lock.Unlock()
		}
	}
}

// spare dismisses the connection that can go best: one that has not said anything, else the one that has been idle for longest; but
// none that is younger than this. false tells that none can go now, or that too many are just going.
func (f *Server) spare(now time.Time, least time.Duration) bool {
	if f.dismissed+len(f.lingers) >= f.opt.Limits.lingering() && (len(f.lingers) == 0 || now.Sub(f.lingers[0].since) < lastBytes/8) {
		return false
	}
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
		best.move(dismissed)
	}
	return best != nil
}

// tell logs when connections begin or cease to run short; the lock is held.
func (f *Server) tell(refused int) {
	if short := f.refused > refused; short != f.short {
		f.short = short
		states := map[connState]int{}
		for c := range f.conns {
			states[c.state]++
		}
		f.opt.Logger.Info(fmt.Sprintf("connections run short: %t, %d open, %d silent, %d idle; %d turned away, %d ended for others",
			short, len(f.conns), states[fresh], states[idle], f.refused, f.spared), "gateway", f.opt.GatewayName)
	}
}

// enter counts a request in, unless its id is open or the memory for bodies is used up.
func (f *Server) enter(id string, size int64) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.asked[id] {
		return &http1.Error{Status: 409, Reason: "a request of this id is open"}
	}
	if f.bodies+size > f.opt.Limits.MaxBodyBytes {
		return &http1.Error{Status: 503, Reason: "too many bytes are held"}
	}
	f.asked[id] = true
	f.bodies += size
	return nil
}

// book takes room for bytes, or gives it back. false tells that there is none.
func (f *Server) book(bytes int64) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	if bytes > 0 && f.bodies+bytes > f.opt.Limits.MaxBodyBytes {
		return false
	}
	f.bodies += bytes
	return true
}

func (f *Server) leave(id string, size int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.asked, id)
	f.bodies -= size
}

// Counts tells how many connections are open, and how many requests without an answer.
func (f *Server) Counts() (conns, requests int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.conns), len(f.asked)
}

// Shutdown ends the front: for so long connections are still taken, and those that are open are served for so long, since their
// clients have nowhere else to go; then each is closed with its answer, and what is idle at once. At the context's end the
// gateway's loop is stopped, which writes off what it holds.
func (f *Server) Shutdown(ctx context.Context, taken, served time.Duration) {
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
	if t, ok := f.listener.(interface{ SetDeadline(time.Time) error }); ok { // those that wait to be taken are, since its close would reset them
		t.SetDeadline(time.Now().Add(lastBytes / 10))
		<-f.heard
	}
	f.listener.Close()
	f.lock.Lock()
	f.phase = deaf
	if len(f.conns) == 0 {
		close(f.none)
		f.lock.Unlock()
		return
	}
	f.lock.Unlock()
	rest(ctx, served-time.Since(began), f.none)
	f.lock.Lock()
	f.phase = closing
	for c := range f.conns {
		if c.state <= idle {
			c.move(dismissed)
		}
	}
	f.lock.Unlock()
	select {
	case <-f.none:
		return
	case <-ctx.Done():
	}
	f.opt.Loop.Stop()
	f.lock.Lock()
	f.phase = over
	for c := range f.conns {
		if c.state == reading { // a close now would leave one whose last byte has just come without an answer
			c.raw.SetReadDeadline(time.Unix(1, 0))
		}
	}
	f.lock.Unlock()
	rest(context.Background(), lastBytes/2, f.none) // the last answers go out
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
