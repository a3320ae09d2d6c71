// Package webnode is the gateway's client for storage nodes that speak HTTP/1.1. It keeps connections, sends one
// attempt at a time on each, and reports the outcome. It never sends an attempt twice. Package serve creates the
// Client, and the gateway's loop calls it through the interface gateway.NodeClient.
//
// A Client owns its connections, each with a goroutine that reads, and the attempts that wait for a connection. One
// mutex guards them all.
//
// It uses package net and not netpoll, because netpoll reads into memory even while nobody consumes what it has read.
// A response that claims to have 3 GB must stay in the socket.
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

// Options configure a Client.
type Options struct {
	Host           string        // Host header of requests
	ConnectTimeout time.Duration // for a dial, and for an attempt to wait until a connection may be opened
	IdleTimeout    time.Duration // an idle connection is closed after this time
	ReuseDelay     time.Duration // minimum time between the response and the reuse of a connection
	MaxConnections int           // maximum number of open connections to all nodes
	ResponseLimits http1.Limits  // for one response
	MaxLongBody    int64         // maximum bytes of a long body, which is one over ResponseLimits; some nodes send them
	LongBodyBudget int64         // maximum bytes of all long bodies in memory
}

// Client holds a gateway's connections to its storage nodes.
type Client struct {
	opt           Options
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	closed        chan struct{}
	lateReplies   atomic.Int64
	longBodyBytes atomic.Int64 // bytes of the long bodies in memory

	mu        sync.Mutex         // guards the fields below and the state of connections and attempts
	idle      map[string][]*conn // by address, the most recently used last
	openConns int                // including those that are being dialed
	dialing   map[*conn]bool
	waiting   []*Attempt // attempts without a connection, oldest first
}

// NewClient returns a client and starts the goroutine that expires idle connections and waiting attempts.
func NewClient(opt Options) *Client {
	c := &Client{
		opt:     opt,
		dial:    (&net.Dialer{}).DialContext,
		closed:  make(chan struct{}),
		idle:    map[string][]*conn{},
		dialing: map[*conn]bool{},
	}
	go c.expireLoop()
	return c
}

// Start sends an attempt to the node at addr. done is called at most once, on another goroutine, and not after the
// attempt is cancelled.
func (c *Client) Start(addr string, call *node.Call, done func(node.Reply)) node.Attempt {
	a := &Attempt{client: c, addr: addr, call: call, done: done, startedAt: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startOrWait(a)
	return a
}

// startOrWait assigns a connection to an attempt, or queues the attempt until one is available. The caller holds the
// lock.
func (c *Client) startOrWait(attempt *Attempt) {
	if !c.assignConn(attempt) {
		attempt.waitUntil = time.Now().Add(c.opt.ConnectTimeout)
		c.waiting = append(c.waiting, attempt)
	}
}

// assignConn assigns an idle connection to an attempt, or else a new one. It returns false if neither is available.
// The caller holds the lock.
func (c *Client) assignConn(attempt *Attempt) bool {
	if idle := c.reusableConn(attempt.addr); idle != nil {
		idle.transition(stateWriting)
		idle.attempt, idle.written, attempt.conn = attempt, make(chan struct{}), idle
		go idle.reuse(attempt)
		return true
	}
	if c.openConns >= c.opt.MaxConnections && !c.closeOldestIdle() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.opt.ConnectTimeout)
	fresh := &conn{client: c, addr: attempt.addr, attempt: attempt, cancelDial: cancel, written: make(chan struct{})}
	attempt.conn = fresh
	c.openConns++
	c.dialing[fresh] = true
	go fresh.connect(ctx)
	return true
}

// startWaiting starts attempts that wait for a connection, in order, while connections are available. The caller
// holds the lock.
func (c *Client) startWaiting() {
	for len(c.waiting) > 0 && (c.waiting[0].finished || c.assignConn(c.waiting[0])) {
		c.waiting = c.waiting[1:]
	}
}

// LateReplies returns how many replies arrived after their attempt was finished, and were dropped.
func (c *Client) LateReplies() int64 { return c.lateReplies.Load() }

// ConnectionCounts returns how many connections are open or being dialed, and how many of them are idle.
func (c *Client) ConnectionCounts() (open, idle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		idle += len(list)
	}
	return c.openConns, idle
}

// Close closes the idle connections and stops the goroutine that NewClient started. Attempts in flight continue.
func (c *Client) Close() {
	close(c.closed)
	c.Retain(nil)
}
