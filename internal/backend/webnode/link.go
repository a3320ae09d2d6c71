package webnode

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"irispost/internal/backend/node"
)

// linkState is where a connection to a node stands. Only link.move changes it.
type linkState uint8

// link is one connection to a node. It serves one execution at a time. The client's lock guards it.
type link struct {
	client *Client
	addr   string
	state  linkState
	conn   net.Conn
	out    *Attempt
	since  time.Time // it has been idle
	cancel context.CancelFunc
	wrote  chan struct{} // closed when the execution's bytes are with the socket, or won't be
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
		s.finish(node.Reply{Outcome: node.ConnectFailed, Message: fmt.Sprint("no connection: ", err)})
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
func (l *link) reuse(s *Attempt) {
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
