package node

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"irispost/internal/sftp"
)

// Client holds a gateway's connections to its storage nodes. Its methods may be called from any goroutine.
type Client struct {
	limits         sftp.Limits
	connectTimeout time.Duration // to connect, and again for the node's VERSION packet
	perNode        int           // maximum number of connections to a node
	log            *slog.Logger  // nil: nothing is logged

	mutex        sync.Mutex // guards the fields below; locked before a connection's mutex
	connections  map[string][]*connection
	callsStarted uint // number of calls started; selects connections in round-robin order
	closed       bool

	lateReplies         atomic.Int64
	invalidReportLogged atomic.Bool
}

// NewClient returns a client that gives up connecting after connectTimeout, and opens up to perNode connections to a
// node.
func NewClient(connectTimeout time.Duration, perNode int, limits sftp.Limits, log *slog.Logger) *Client {
	return &Client{
		limits:         limits,
		connectTimeout: connectTimeout,
		perNode:        max(perNode, 1),
		log:            log,
		connections:    map[string][]*connection{},
	}
}

// LateReplies returns how many replies arrived after their call was cancelled or abandoned, and were dropped.
func (c *Client) LateReplies() int64 { return c.lateReplies.Load() }

// Start sends a call to the node at addr. done is called once, from another goroutine, unless the call is
// cancelled or abandoned first.
func (c *Client) Start(addr string, call *Call, done func(Reply)) Attempt {
	p := &PendingCall{call: call, done: done}
	conn := c.connectionTo(addr)
	if conn == nil || !conn.start(p) {
		go done(Reply{Outcome: ConnectFailed, Message: errConnectionEnded.Error()})
	}
	return p
}

// connectionTo returns the connection for the next call to a node: a new one while there are fewer than perNode. It
// returns nil if the client is closed and has no connection to the node.
func (c *Client) connectionTo(addr string) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.connections[addr]
	c.callsStarted++
	switch {
	case len(list) < c.perNode && !c.closed:
		conn := newConnection(c, addr)
		c.connections[addr] = append(list, conn)
		go conn.dial()
		return conn
	case len(list) > 0:
		return list[c.callsStarted%uint(len(list))]
	}
	return nil
}

// remove removes a connection from the client's list, if it is there.
func (c *Client) remove(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.connections[conn.addr]
	if i := slices.Index(list, conn); i >= 0 {
		c.connections[conn.addr] = slices.Concat(list[:i], list[i+1:])
	}
}

// AbortQueued fails the calls that wait for a connection to a node for which unavailable returns true. It does not
// wait for the connection or the callers.
func (c *Client) AbortQueued(unavailable func(addr string) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for addr, list := range c.connections {
		if !unavailable(addr) {
			continue
		}
		for _, conn := range list {
			conn.abortQueued()
		}
	}
}

// Retain closes the idle connections to all nodes whose address is not in addrs.
func (c *Client) Retain(addrs map[string]bool) {
	var others []*connection
	c.mutex.Lock()
	for addr, list := range c.connections {
		if !addrs[addr] {
			others = append(others, list...)
		}
	}
	c.mutex.Unlock()
	for _, conn := range others {
		conn.closeIdle()
	}
}

// Close closes all connections. Calls in flight fail, and so do calls that are started later.
func (c *Client) Close() {
	var all []*connection
	c.mutex.Lock()
	c.closed = true
	for _, list := range c.connections {
		all = append(all, list...)
	}
	c.mutex.Unlock()
	for _, conn := range all {
		conn.shutDown()
	}
}

// logInvalidReport logs the first invalid load report of any node.
func (c *Client) logInvalidReport(addr string, err error) {
	if c.invalidReportLogged.CompareAndSwap(false, true) {
		c.log.Warn("invalid load report ignored, its reply is used; later invalid reports are not logged",
			"node", addr, "err", err)
	}
}
