package node

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/sftp"
)

// Client holds a gateway's connections to its nodes.
type Client struct {
	bounds  sftp.Limits
	connect time.Duration // longest wait for a connection
	each    int           // connections to a node
	log     *slog.Logger
	lock    sync.Mutex
	links   map[string][]*link
	turn    uint
	closed  bool
	late    atomic.Int64
	reports atomic.Bool // one that does not count was told
}

// NewClient makes a client that waits so long for a connection, and has so many to a node.
func NewClient(connect time.Duration, each int, b sftp.Limits, log *slog.Logger) *Client {
	return &Client{bounds: b, connect: connect, each: max(each, 1), log: log, links: map[string][]*link{}}
}

// LateReplies counts the answers that came after their execution was given up, and were dropped.
func (c *Client) LateReplies() int64 { return c.late.Load() }

// linkState is where a connection to a node stands. Only link.move changes it.
type linkState uint8

const (
	dialling linkState = iota
	greeting           // connected, the node's VERSION is awaited
	open
	ended
)

// link is one connection to a node.
type link struct {
	client *Client
	addr   string
	lock   sync.Mutex
	state  linkState
	conn   *sftp.Conn
	next   uint32
	out    map[uint32]*PendingCall
	wait   []*PendingCall // until the link is open
}

// Attempt is an execution on its way, to whoever started it.
type Attempt interface {
	Cancel() // ends the wait, and lets the node know where the protocol can tell it
}

// PendingCall is an execution that is out.
type PendingCall struct {
	link *link
	call *Call
	id   uint32
	done func(Reply)
	over bool
}

// Start sends an execution. done is called once, from elsewhere, unless Forget or CallOff comes first.
func (c *Client) Start(addr string, call *Call, done func(Reply)) Attempt {
	s := &PendingCall{call: call, done: done}
	c.lock.Lock()
	list := c.links[addr]
	c.turn++
	var l *link
	if len(list) < c.each && !c.closed {
		l = &link{client: c, addr: addr, out: map[uint32]*PendingCall{}}
		c.links[addr] = append(list, l)
		go l.dial()
	} else if len(list) > 0 {
		l = list[c.turn%uint(len(list))]
	}
	c.lock.Unlock()
	if l == nil || !l.start(s) {
		go done(Reply{Outcome: ConnectFailed, Message: "the connection has just ended"})
	}
	return s
}

// start queues or sends; false tells that the link has ended.
func (l *link) start(s *PendingCall) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	s.link = l
	switch l.state {
	case ended:
		return false
	case open:
		l.send(s)
	default:
		l.wait = append(l.wait, s)
	}
	return true
}

// send writes an execution; the lock is held.
func (l *link) send(s *PendingCall) {
	l.next++
	s.id = l.next
	l.out[s.id] = s
	l.conn.Send(s.call.Packet(s.id)) // a connection that is closed has its executions ended by Closed
}

// Abandon ends the wait for an execution: its answer will be dropped.
func (s *PendingCall) Abandon() { s.drop(false) }

// Cancel ends the wait and asks the node to drop the execution, if it has not begun it.
func (s *PendingCall) Cancel() { s.drop(true) }

func (s *PendingCall) drop(tell bool) {
	if s.link == nil {
		return
	}
	l := s.link
	l.lock.Lock()
	defer l.lock.Unlock()
	if s.over {
		return
	}
	s.over = true
	if s.id == 0 {
		return // not sent yet: move looks at over
	}
	if delete(l.out, s.id); tell {
		l.next++
		l.conn.Send(CancelPacket(l.next, s.id, s.call))
	}
}

// move changes the link's state, and returns whose wait ends by it.
func (l *link) move(to linkState) (failed []*PendingCall) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.state == ended {
		return nil
	}
	l.state = to
	switch to {
	case open:
		for _, s := range l.wait {
			if !s.over {
				l.send(s)
			}
		}
		l.wait = nil
	case ended:
		for _, s := range l.wait {
			if !s.over {
				s.over = true
				failed = append(failed, s)
			}
		}
		for _, s := range l.out {
			s.over = true
			failed = append(failed, s)
		}
		l.wait, l.out = nil, map[uint32]*PendingCall{}
	}
	return failed
}

// end takes the link away and ends what waits on it.
func (l *link) end(why error) {
	c := l.client
	c.lock.Lock()
	for i, o := range c.links[l.addr] {
		if o == l {
			c.links[l.addr] = append(append([]*link(nil), c.links[l.addr][:i]...), c.links[l.addr][i+1:]...)
			break
		}
	}
	c.lock.Unlock()
	for _, s := range l.move(ended) {
		a := Reply{Outcome: ConnectFailed, Message: why.Error()}
		if s.id > 0 {
			a.Outcome = ConnectionReset
		}
		s.done(a)
	}
}

// dial connects and greets.
func (l *link) dial() {
	conn, err := sftp.Dial(l.addr, l.client.bounds, l.client.connect, func(c *sftp.Conn) sftp.Peer {
		l.lock.Lock()
		l.conn = c
		l.lock.Unlock()
		return l
	})
	if err != nil {
		l.end(err)
		return
	}
	l.move(greeting)
	conn.Send(sftp.New(sftp.Init, sftp.ProtocolVersion))
	time.AfterFunc(l.client.connect, func() {
		l.lock.Lock()
		silent := l.state == greeting
		l.lock.Unlock()
		if silent {
			conn.Close(errors.New("the node does not greet"))
		}
	})
}

// Packet takes in a packet of the node's.
func (l *link) Packet(f sftp.Frame) error {
	switch f.Type {
	case sftp.Version:
		_, r := f.ID()
		for r.More() {
			if name := r.Text(); name == ExecExtension {
				l.move(open)
				return nil
			}
			r.Text()
		}
		return fmt.Errorf("%s does not offer %s", l.addr, ExecExtension)
	case sftp.ExtendedReply:
		id, r := f.ID()
		a, err := DecodeReply(r)
		if err != nil {
			return fmt.Errorf("answer of %s: %w", l.addr, err)
		}
		if a.ReportErr != nil && l.client.reports.CompareAndSwap(false, true) {
			l.client.log.Warn("a load report does not count, the answer does; further ones are not told", "node", l.addr, "why", a.ReportErr)
		}
		l.answer(id, a)
		return nil
	case sftp.Status: // a node that could not read the call has not run it, but this is not proven
		id, r := f.ID()
		l.answer(id, Reply{Outcome: Failed, Message: fmt.Sprint(sftp.Code(r.Uint32()), " ", r.Text())})
		return nil
	}
	return fmt.Errorf("%s sends packets of type %d", l.addr, f.Type)
}

func (l *link) answer(id uint32, a Reply) {
	l.lock.Lock()
	s := l.out[id]
	if s != nil {
		s.over = true
		delete(l.out, id)
	}
	l.lock.Unlock()
	if s == nil {
		l.client.late.Add(1)
		return
	}
	s.done(a)
}

// Closed ends the link.
func (l *link) Closed(why error) {
	if l.client.log != nil {
		l.client.log.Debug("connection to a node ended", "node", l.addr, "why", why)
	}
	l.end(why)
}

// AbortQueued ends the wait of what waits for a connection to a node that is left.
func (c *Client) AbortQueued(left func(addr string) bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for addr, list := range c.links {
		if !left(addr) {
			continue
		}
		for _, l := range list {
			l.lock.Lock()
			wait := l.wait
			l.wait = nil
			for _, s := range wait {
				if !s.over {
					s.over = true
					go s.done(Reply{Outcome: ConnectFailed, Message: "the node is left"})
				}
			}
			l.lock.Unlock()
		}
	}
}

// Retain closes the connections to nodes that are not named.
func (c *Client) Retain(addrs map[string]bool) {
	c.lock.Lock()
	var drop []*link
	for addr, list := range c.links {
		if !addrs[addr] {
			drop = append(drop, list...)
		}
	}
	c.lock.Unlock()
	for _, l := range drop {
		l.lock.Lock()
		conn, idle := l.conn, len(l.out)+len(l.wait) == 0
		l.lock.Unlock()
		if conn != nil && idle {
			conn.Close(errors.New("the node is no longer listed"))
		}
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.lock.Lock()
	c.closed = true
	var all []*link
	for _, list := range c.links {
		all = append(all, list...)
	}
	c.lock.Unlock()
	for _, l := range all {
		l.lock.Lock()
		conn := l.conn
		l.lock.Unlock()
		if conn != nil {
			conn.Close(errors.New("the gateway ends"))
		}
		l.end(errors.New("the gateway ends"))
	}
}
