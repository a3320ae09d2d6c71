// Package webnode is a gateway's client of the storage nodes that speak HTTP/1.1: it keeps connections, sends one
// attempt at a time on each, and reports the outcome. It never sends an attempt twice. Package serve makes a Client,
// and the gateway's loop calls it through the interface gateway.NodeClient.
//
// A Client owns its connections, with a goroutine each that reads, and the attempts that wait for a connection; one
// mutex guards them all.
//
// It is built on net and not on netpoll, which reads on into memory while nobody takes what it read: a response that
// claims to have 3 GB has to stay in the socket.
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
	Host           string        // Host field of requests
	ConnectTimeout time.Duration // for a connection to come up, and for an attempt to wait until one may be opened
	IdleTimeout    time.Duration // an idle connection is closed after it
	ReuseDelay     time.Duration // a connection that brought a response is not reused sooner
	MaxConnections int           // open at a time, to all nodes
	ResponseLimits http1.Limits  // of one response
	MaxLongBody    int64         // longest body accepted over ResponseLimits, in bytes; some nodes send such
	LongBodyBudget int64         // bytes of all such bodies in memory at a time
}

// Client holds a gateway's connections to its storage nodes.
type Client struct {
	opt           Options
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	closed        chan struct{}
	lateReplies   atomic.Int64
	longBodyBytes atomic.Int64 // of long bodies that are in memory

	mu        sync.Mutex         // guards all below, each connection's state and each attempt's
	idle      map[string][]*conn // by address, the one used last at the end
	openConns int                // including those that are being dialed
	dialing   map[*conn]bool
	waiting   []*Attempt // that have no connection yet, the first one first
}

// NewClient makes a client and starts its periodic work.
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

// Start sends an attempt to the node at an address. done is called at most once, on another goroutine, and not after
// the attempt is cancelled.
func (c *Client) Start(addr string, call *node.Call, done func(node.Reply)) node.Attempt {
	a := &Attempt{client: c, addr: addr, call: call, done: done, startedAt: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startOrWait(a)
	return a
}

// startOrWait gives an attempt a connection, or has it wait for one. The caller holds the lock.
func (c *Client) startOrWait(attempt *Attempt) {
	if !c.assignConn(attempt) {
		attempt.waitUntil = time.Now().Add(c.opt.ConnectTimeout)
		c.waiting = append(c.waiting, attempt)
	}
}

// assignConn gives an attempt an idle connection, or else a new one. It returns false if neither can be had. The caller
// holds the lock.
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

// startWaiting starts attempts that wait for a connection, in order, while there are connections to be had. The caller
// holds the lock.
func (c *Client) startWaiting() {
	for len(c.waiting) > 0 && (c.waiting[0].finished || c.assignConn(c.waiting[0])) {
		c.waiting = c.waiting[1:]
	}
}

// LateReplies returns how many replies arrived after their attempt had timed out, and were discarded.
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

// Close closes idle connections and stops the periodic work. Attempts in flight go on.
func (c *Client) Close() {
	close(c.closed)
	c.Retain(nil)
}
