// Package webnode is how a gateway talks HTTP/1.1 to storage nodes: one execution at a time on a connection, connections that
// are kept, and what each execution came to. It sends nothing twice.
//
// It is built on net and not on netpoll, which reads on into memory while nobody takes what it read: an answer that says it
// has 3 GB has to stay in the socket.
package webnode

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"irispost/internal/http1"
	"irispost/internal/node"
)

// Options are what a client is started with.
type Options struct {
	Host    string        // named in requests
	Connect time.Duration // a connection that is not up by then has failed
	Idle    time.Duration // a connection that nobody has used for so long is closed
	Rest    time.Duration // one that has brought an answer is not used again sooner
	Most    int           // connections open at a time, to all nodes
	Bounds  http1.Bounds
	Long    int64 // the longest body that is taken past the bound, which some nodes send
	LongAll int64 // bytes of such bodies in memory at a time
}

// Client holds a gateway's connections to its nodes.
type Client struct {
	opt    Options
	lock   sync.Mutex
	free   map[string][]*link // idle, the last used at the end
	open   int                // links that hold a socket
	coming map[*link]bool     // those that are dialling
	wait   []*Sent            // that have no socket yet
	late   atomic.Int64
	long   atomic.Int64 // bytes of long bodies in memory
	closed chan struct{}
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewClient makes a client.
func NewClient(opt Options) *Client {
	c := &Client{opt: opt, free: map[string][]*link{}, coming: map[*link]bool{}, closed: make(chan struct{}), dial: (&net.Dialer{}).DialContext}
	go c.sweep()
	return c
}

// linkState is where a connection to a node stands. Only link.move changes it.
type linkState uint8

const (
	dialling linkState = iota
	writing            // an execution's bytes are on their way
	waiting            // they are written; the answer is awaited
	idle
	ended
)

// link is one connection to a node. It serves one execution at a time. The client's lock guards it.
type link struct {
	client *Client
	addr   string
	state  linkState
	conn   net.Conn
	out    *Sent
	since  time.Time // it has been idle
	cancel context.CancelFunc
	wrote  chan struct{} // closed when the execution's bytes are with the socket, or won't be
}

// Sent is an execution that is out, or waits for a socket.
type Sent struct {
	client *Client
	addr   string
	call   *node.Call
	link   *link
	began  time.Time // the call's times count from then
	until  time.Time // it waits for a socket no longer
	done   func(node.Answer)
	over   bool
}

// move is the one place where a link changes state; the lock is held.
func (l *link) move(to linkState) {
	c := l.client
	if l.state == idle {
		list := c.free[l.addr]
		for i, o := range list {
			if o == l {
				list = append(list[:i], list[i+1:]...)
				break
			}
		}
		if c.free[l.addr] = list; len(list) == 0 {
			delete(c.free, l.addr)
		}
	}
	l.state = to
	delete(c.coming, l)
	switch to {
	case idle:
		l.out, l.since = nil, time.Now()
		c.free[l.addr] = append(c.free[l.addr], l)
	case ended:
		c.open--
		l.cancel()
		if l.conn != nil {
			l.conn.Close()
		}
	}
}

// end ends a link, unless it has ended; the lock is held.
func (l *link) end() {
	if l.state != ended {
		l.move(ended)
		l.client.admit()
	}
}

// Start sends an execution. done is called at most once, from elsewhere, and not after CallOff.
func (c *Client) Start(addr string, call *node.Call, done func(node.Answer)) node.Sending {
	s := &Sent{client: c, addr: addr, call: call, done: done, began: time.Now()}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.start(s)
	return s
}

// start begins an execution, or has it wait for a socket; the lock is held.
func (c *Client) start(s *Sent) {
	if !c.begin(s) {
		s.until = time.Now().Add(c.opt.Connect)
		c.wait = append(c.wait, s)
	}
}

// begin gives an execution a link, if there is one to be had; the lock is held.
func (c *Client) begin(s *Sent) bool {
	if l := c.rested(s.addr); l != nil {
		l.move(writing)
		l.out, l.wrote, s.link = s, make(chan struct{}), l
		go l.reuse(s)
		return true
	}
	if c.open >= c.opt.Most && !c.spare() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.opt.Connect)
	l := &link{client: c, addr: s.addr, out: s, cancel: cancel, wrote: make(chan struct{})}
	s.link = l
	c.open++
	c.coming[l] = true
	go l.dial(ctx)
	return true
}

// rested is the idle connection to a node that was used last, of those that have rested; nil: none; the lock is held.
//
// Guard: a node may send a second answer some milliseconds after the first. On a connection that is in use again by then it would be taken for
// the next execution's.
func (c *Client) rested(addr string) *link {
	list := c.free[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if time.Since(list[i].since) >= c.opt.Rest {
			return list[i]
		}
	}
	return nil
}

// spare closes the connection that has been idle for longest, to whatever node.
func (c *Client) spare() bool {
	var oldest *link
	for _, list := range c.free {
		if oldest == nil || list[0].since.Before(oldest.since) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		oldest.move(ended)
	}
	return oldest != nil
}

// admit starts those that wait for a socket, in order; the lock is held.
func (c *Client) admit() {
	for len(c.wait) > 0 && (c.wait[0].over || c.begin(c.wait[0])) {
		c.wait = c.wait[1:]
	}
}

// CallOff ends the wait for an execution and closes its connection, by which the node is told.
func (s *Sent) CallOff() {
	s.client.lock.Lock()
	defer s.client.lock.Unlock()
	if s.over {
		return
	}
	s.over = true
	if s.link != nil {
		s.link.end()
	}
}

// finish ends an execution with what it came to, once.
func (s *Sent) finish(a node.Answer) {
	s.client.lock.Lock()
	over := s.over
	s.over = true
	s.client.lock.Unlock()
	switch {
	case !over:
		s.done(a)
	case a.Outcome == node.Served:
		s.client.late.Add(1)
	}
}

// dial brings a connection up and sends the execution that asked for it.
func (l *link) dial(ctx context.Context) {
	c, s := l.client, l.out
	conn, err := c.dial(ctx, "tcp", l.addr)
	c.lock.Lock()
	if err != nil || l.state == ended {
		l.end()
		c.lock.Unlock()
		if conn != nil {
			conn.Close()
		}
		s.finish(node.Answer{Outcome: node.Unconnected, Text: fmt.Sprint("no connection: ", err)})
		return
	}
	l.conn = conn
	l.move(writing)
	c.lock.Unlock()
	go l.read()
	l.write(s)
}

// reuse sends an execution on a connection that was idle, unless something has come on it meanwhile: its end, or bytes that
// nobody asked for, which would be taken for the answer. Nothing is written then, and the execution takes another.
func (l *link) reuse(s *Sent) {
	if l.clean() {
		l.write(s)
		return
	}
	c := l.client
	c.lock.Lock()
	defer c.lock.Unlock()
	l.out = nil
	l.end()
	close(l.wrote)
	if s.link = nil; !s.over {
		c.start(s)
	}
}

// clean tells that nothing waits to be read from the socket.
func (l *link) clean() bool {
	raw, err := l.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = err == syscall.EAGAIN
	})
	return clean && err == nil
}

// write sends an execution, unless its time to begin has gone by while the connection came up or was waited for.
func (l *link) write(s *Sent) {
	c, call := l.client, s.call
	gone := time.Since(s.began)
	left := call.Left - gone
	if left <= 0 || call.Within > 0 && gone >= call.Within {
		l.unused()
		s.finish(node.Answer{Outcome: node.Unconnected, Text: "its time to begin has gone by"})
		return
	}
	w := http1.NewRequest(method(call.Op), call.Name).Field("Host", c.opt.Host).Field("X-Request-Id", call.Mark).
		Field("X-Deadline-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	for i := 0; i+1 < len(call.Head); i += 2 {
		w.Field(call.Head[i], call.Head[i+1])
	}
	b := w.Body(call.Data, call.Op.Writes())
	n, err := l.conn.Write(b)
	defer close(l.wrote)
	c.lock.Lock()
	ended := l.state == ended
	switch {
	case err != nil:
		l.end()
	case !ended:
		l.move(waiting)
	}
	c.lock.Unlock()
	switch {
	case err == nil && ended:
		s.finish(node.Answer{Outcome: node.Reset, Text: "the connection ended while it was written to"})
	case err != nil: // its last byte is not written, so it never ran
		s.finish(node.Answer{Outcome: node.Unconnected, Text: fmt.Sprintf("%d of %d bytes written: %v", n, len(b), err)})
	}
}

// unused gives back a connection that nothing was written to.
func (l *link) unused() {
	c := l.client
	defer close(l.wrote)
	c.lock.Lock()
	defer c.lock.Unlock()
	if l.state != ended {
		l.move(idle)
		c.admit()
	}
}

func method(o node.Op) string {
	if o.Writes() {
		return "PUT"
	}
	return "GET"
}

// allow takes a long body in, where there is room.
func (c *Client) allow(bytes int64) bool {
	if bytes > c.opt.Long {
		return false
	}
	if c.long.Add(bytes) > c.opt.LongAll {
		c.long.Add(-bytes)
		return false
	}
	return true
}

// freed gives a long body's room back once it is out of memory, whoever held it last.
func (c *Client) freed(body []byte) {
	runtime.AddCleanup(&body[0], func(n int64) { c.long.Add(-n) }, int64(len(body)))
}

// read takes in what the node sends, for as long as the connection lasts.
func (l *link) read() {
	c := l.client
	r := bufio.NewReaderSize(l.conn, http1.LineBytes)
	for {
		_, err := r.Peek(1)
		c.lock.Lock()
		if err == nil && l.state == writing { // an answer can be here before who wrote is back from the socket
			wrote := l.wrote
			c.lock.Unlock()
			<-wrote
			c.lock.Lock()
		}
		s, state := l.out, l.state
		if err != nil || state != waiting { // the end, or bytes that nobody waits for
			l.end()
			c.lock.Unlock()
			if state == waiting { // else who writes finds the link ended
				s.finish(node.Answer{Outcome: node.Reset, Text: err.Error()})
			}
			return
		}
		c.lock.Unlock()
		asked := int64(0)
		bounds := c.opt.Bounds
		bounds.Most = c.opt.Long
		bounds.Long = func(bytes int64) bool {
			ok := c.allow(bytes)
			if ok {
				asked = bytes
			}
			return ok
		}
		a, err := http1.ReadAnswer(r, bounds)
		switch {
		case asked > 0 && err == nil:
			c.long.Add(int64(len(a.Body)) - asked) // where its length was not stated, the most was asked for
			c.freed(a.Body)
		case asked > 0:
			c.long.Add(-asked)
		}
		answer := outcome(a, err)
		c.lock.Lock()
		switch {
		case l.state == ended:
		case err != nil || a.Close || r.Buffered() > 0: // what comes after an answer is nobody's
			l.end()
		default:
			l.move(idle)
			c.admit()
		}
		over := l.state == ended
		c.lock.Unlock()
		s.finish(answer)
		if over {
			return
		}
	}
}

// outcome reads what an execution came to.
func outcome(a *http1.Answer, err error) node.Answer {
	if err != nil {
		var wrong *http1.Error
		if errors.As(err, &wrong) {
			return node.Answer{Outcome: node.Erred, Text: "a spoilt answer: " + err.Error()}
		}
		return node.Answer{Outcome: node.Reset, Text: err.Error()}
	}
	never, _ := a.Fields.Get("x-not-run")
	n := node.Answer{Outcome: node.Erred, Text: fmt.Sprintf("status %d", a.Status)}
	switch {
	case a.Status == 200:
		n = node.Answer{Outcome: node.Served, Data: a.Body}
	case a.Status == 503 && never == "1":
		n.Outcome = node.Full
	case a.Status == 504 && never == "1":
		n.Outcome = node.Moot
	}
	if v, ok := a.Fields.Get("x-served-elsewhere"); ok {
		if f, err := strconv.ParseFloat(v, 64); err == nil && f > 0 && f < 1e12 { // one that can't be read changes nothing
			n.Others = f
		}
	}
	return n
}

// sweep is the periodic work: it closes what has been idle for too long and fails what has waited too long for a socket.
func (c *Client) sweep() {
	tick := time.NewTicker(max(min(c.opt.Idle, c.opt.Connect)/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-tick.C:
		}
		now := time.Now()
		var failed []*Sent
		c.lock.Lock()
		for addr := range c.free {
			for list := c.free[addr]; len(list) > 0 && now.Sub(list[0].since) > c.opt.Idle; list = c.free[addr] {
				list[0].end()
			}
		}
		for len(c.wait) > 0 && (c.wait[0].over || now.After(c.wait[0].until)) {
			failed = append(failed, c.wait[0])
			c.wait = c.wait[1:]
		}
		c.lock.Unlock()
		for _, s := range failed {
			s.finish(node.Answer{Outcome: node.Unconnected, Text: "no socket was free"})
		}
	}
}

// Leave ends what waits for a connection to a node that is left, or for a socket to go there.
func (c *Client) Leave(left func(addr string) bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	wait := c.wait
	c.wait = nil
	for _, s := range wait {
		if left(s.addr) {
			go s.finish(node.Answer{Outcome: node.Unconnected, Text: "the node is left"})
		} else {
			c.wait = append(c.wait, s)
		}
	}
	for l := range c.coming { // last, since others take their sockets
		if left(l.addr) {
			l.end() // dial tells
		}
	}
}

// Keep closes the idle connections to nodes that are not named.
func (c *Client) Keep(addrs map[string]bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for addr, list := range c.free {
		if !addrs[addr] {
			for _, l := range append([]*link(nil), list...) {
				l.end()
			}
		}
	}
}

// Late counts the answers that came after their execution was given up, and were dropped.
func (c *Client) Late() int64 { return c.late.Load() }

// Open tells how many connections are open or come up, and how many of them are idle.
func (c *Client) Open() (open, idle int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, list := range c.free {
		idle += len(list)
	}
	return c.open, idle
}

// Close closes what is idle and stops the periodic work; executions that are out go on.
func (c *Client) Close() {
	close(c.closed)
	c.Keep(nil)
}
