// Package webnode is how a gateway talks HTTP/1.1 to storage nodes: one execution at a time on a connection, connections that
// are kept, and what each execution came to. It sends nothing twice.
//
// It is built on net and not on netpoll, which reads on into memory while nobody takes what it read: an answer that says it
// has 3 GB has to stay in the socket.
package webnode

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/http1"
)

// Options are what a client is started with.
type Options struct {
	Host           string        // named in requests
	ConnectTimeout time.Duration // a connection that is not up by then has failed
	IdleTimeout    time.Duration // a connection that nobody has used for so long is closed
	ReuseDelay     time.Duration // one that has brought an answer is not used again sooner
	MaxConnections int           // connections open at a time, to all nodes
	Bounds         http1.Limits
	MaxLongBody    int64 // the longest body that is taken past the bound, which some nodes send
	LongBodyBudget int64 // bytes of such bodies in memory at a time
}

// Client holds a gateway's connections to its nodes.
type Client struct {
	opt    Options
	lock   sync.Mutex
	free   map[string][]*link // idle, the last used at the end
	open   int                // links that hold a socket
	coming map[*link]bool     // those that are dialling
	wait   []*Attempt         // that have no socket yet
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

const (
	dialling linkState = iota
	writing            // an execution's bytes are on their way
	waiting            // they are written; the answer is awaited
	idle
	ended
)

// Start sends an execution. done is called at most once, from elsewhere, and not after CallOff.
func (c *Client) Start(addr string, call *node.Call, done func(node.Reply)) node.Attempt {
	s := &Attempt{client: c, addr: addr, call: call, done: done, began: time.Now()}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.start(s)
	return s
}

// start begins an execution, or has it wait for a socket; the lock is held.
func (c *Client) start(s *Attempt) {
	if !c.begin(s) {
		s.until = time.Now().Add(c.opt.ConnectTimeout)
		c.wait = append(c.wait, s)
	}
}

// begin gives an execution a link, if there is one to be had; the lock is held.
func (c *Client) begin(s *Attempt) bool {
	if l := c.rested(s.addr); l != nil {
		l.move(writing)
		l.out, l.wrote, s.link = s, make(chan struct{}), l
		go l.reuse(s)
		return true
	}
	if c.open >= c.opt.MaxConnections && !c.spare() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.opt.ConnectTimeout)
	l := &link{client: c, addr: s.addr, out: s, cancel: cancel, wrote: make(chan struct{})}
	s.link = l
	c.open++
	c.coming[l] = true
	go l.dial(ctx)
	return true
}

// admit starts those that wait for a socket, in order; the lock is held.
func (c *Client) admit() {
	for len(c.wait) > 0 && (c.wait[0].over || c.begin(c.wait[0])) {
		c.wait = c.wait[1:]
	}
}

// LateReplies counts the answers that came after their execution was given up, and were dropped.
func (c *Client) LateReplies() int64 { return c.late.Load() }

// ConnectionCounts tells how many connections are open or come up, and how many of them are idle.
func (c *Client) ConnectionCounts() (open, idle int) {
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
	c.Retain(nil)
}
