// Package rig puts faults between processes and checks from their records whether gateways have agreed. It is used by days and
// tests only.
package rig

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Link is the way from one process to another: an address of that pair, which passes bytes on.
type Link struct {
	listener net.Listener
	to       string
	latency  time.Duration
	lock     sync.Mutex
	fault    Fault
	pairs    map[*pair]bool
	done     sync.WaitGroup
	quit     chan struct{}
}

// Fault is what a link does to what passes.
type Fault struct {
	DropForward, DropReturn bool          // bytes in that direction are lost, and nobody is told
	Delay                   time.Duration // each piece waits so long
	Trickle                 bool          // a byte at a time
	Reset                   bool          // connections are reset, new ones too
}

// ParseFault reads a fault: "cut", "deaf" (answers are lost), "mute" (what is asked is lost), "slow SPAN", "trickle", "reset".
func ParseFault(text string) (f Fault, err error) {
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "cut":
		f.DropForward, f.DropReturn = true, true
	case "mute":
		f.DropForward = true
	case "deaf":
		f.DropReturn = true
	case "trickle":
		f.Trickle = true
	case "reset":
		f.Reset = true
	case "slow":
		f.Delay, err = time.ParseDuration(rest)
	default:
		err = fmt.Errorf("%q: a link is cut, mute, deaf, slow SPAN, trickle or reset", text)
	}
	return f, err
}

type pair struct {
	in, out *net.TCPConn
	broken  bool // bytes were lost: it ends when the link is well
}

// NewLink starts a link to an address.
func NewLink(to string) (*Link, error) { return NewLinkWithLatency(to, 0) }

// NewLinkWithLatency starts a link on which each byte is under way for so long, in either direction. What follows it does not wait for it, but
// for what is under way at once: longMost pieces.
func NewLinkWithLatency(to string, latency time.Duration) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, to: to, latency: latency, pairs: map[*pair]bool{}, quit: make(chan struct{})}
	link.done.Add(1)
	go link.accept()
	return link, nil
}

// Addr is where the link is entered.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetFault has the link be faulty from now on; the zero Fault: well again.
func (l *Link) SetFault(f Fault) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.fault = f
	for p := range l.pairs {
		if f.Reset || p.broken && f == (Fault{}) {
			p.reset()
		}
	}
}

func (p *pair) reset() {
	for _, c := range []*net.TCPConn{p.in, p.out} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// Close ends it.
func (l *Link) Close() {
	close(l.quit)
	l.listener.Close()
	l.lock.Lock()
	for p := range l.pairs {
		p.reset()
	}
	l.lock.Unlock()
	l.done.Wait()
}

func (l *Link) accept() {
	defer l.done.Done()
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.done.Add(1)
		go func() { defer l.done.Done(); l.serve(c.(*net.TCPConn)) }()
	}
}

func (l *Link) now() Fault {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.fault
}

func (l *Link) serve(in *net.TCPConn) {
	p := &pair{in: in}
	if l.now().Reset {
		p.reset()
		return
	}
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		p.reset()
		return
	}
	p.out = out.(*net.TCPConn)
	l.lock.Lock()
	l.pairs[p] = true
	l.lock.Unlock()
	defer func() {
		if !p.brokenNow(l) { // what was written to the end still comes; of a connection that was reset before nothing is left
			p.in.Close()
			p.out.Close()
		}
		p.reset()
		l.lock.Lock()
		delete(l.pairs, p)
		l.lock.Unlock()
	}()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.pass(p, p.out, p.in, func(f Fault) bool { return f.DropForward }) }()
	go func() { defer both.Done(); l.pass(p, p.in, p.out, func(f Fault) bool { return f.DropReturn }) }()
	both.Wait()
}

// pass passes bytes on in one direction.
func (l *Link) pass(p *pair, to, conn *net.TCPConn, lost func(Fault) bool) {
	from := io.Reader(conn)
	if l.latency > 0 {
		late := newLate(conn, l.latency)
		defer late.leave()
		from = late
	}
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		rest := b[:n]
		for len(rest) > 0 {
			l.lock.Lock()
			f := l.fault
			p.broken = p.broken || lost(f)
			gone := p.broken
			l.lock.Unlock()
			if gone {
				break
			}
			piece := rest
			wait := f.Delay
			if f.Trickle {
				piece, wait = rest[:1], 5*time.Millisecond
			}
			if wait > 0 {
				select {
				case <-l.quit:
					return
				case <-time.After(wait):
				}
			}
			if _, err := to.Write(piece); err != nil {
				p.reset()
				return
			}
			rest = rest[len(piece):]
		}
		if err != nil {
			if err == io.EOF && !p.brokenNow(l) {
				to.CloseWrite()
			} else if err != io.EOF {
				p.reset()
			}
			return
		}
	}
}

func (p *pair) brokenNow(l *Link) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return p.broken
}
