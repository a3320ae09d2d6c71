package webnode

import (
	"slices"
	"time"

	"irispost/internal/backend/node"
)

// reusableConn returns the most recently used connection to a node that has been idle for at least the reuse delay,
// or nil if there is none. The caller holds the lock.
//
// The delay is needed because a node may send a second response some milliseconds after the first. If the connection
// had been reused by then, that response would be taken for the next attempt's.
func (c *Client) reusableConn(addr string) *conn {
	list := c.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if time.Since(list[i].idleSince) >= c.opt.ReuseDelay {
			return list[i]
		}
	}
	return nil
}

// closeOldestIdle closes the connection that has been idle for longest, to whichever node. It returns false if no
// connection is idle. The caller holds the lock.
func (c *Client) closeOldestIdle() bool {
	var oldest *conn
	for _, list := range c.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.transition(stateClosed)
	return true
}

// minExpireInterval is the minimum time between two rounds of expireLoop.
const minExpireInterval = 10 * time.Millisecond

// expireLoop periodically closes connections that have been idle longer than IdleTimeout, and fails attempts that
// have waited for a connection longer than ConnectTimeout.
func (c *Client) expireLoop() {
	ticker := time.NewTicker(max(min(c.opt.IdleTimeout, c.opt.ConnectTimeout)/4, minExpireInterval))
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-ticker.C:
		}
		for _, attempt := range c.expire(time.Now()) {
			attempt.fail(node.ConnectFailed, "no connection became available")
		}
	}
}

// expire closes the connections that have been idle for too long. It removes the attempts whose wait is over from the
// queue and returns them.
func (c *Client) expire(now time.Time) (expired []*Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range c.idle {
		for list := c.idle[addr]; len(list) > 0 && now.Sub(list[0].idleSince) > c.opt.IdleTimeout; list = c.idle[addr] {
			list[0].close()
		}
	}
	for len(c.waiting) > 0 && (c.waiting[0].finished || now.After(c.waiting[0].waitUntil)) {
		expired = append(expired, c.waiting[0])
		c.waiting = c.waiting[1:]
	}
	return expired
}

// AbortQueued fails the attempts that wait for a connection to a node for which isExcluded returns true, and closes
// the connections to it that are being dialed. It does not block.
func (c *Client) AbortQueued(isExcluded func(addr string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.waiting
	c.waiting = nil
	for _, attempt := range waiting {
		if isExcluded(attempt.addr) {
			go attempt.fail(node.ConnectFailed, "the node takes no new requests")
		} else {
			c.waiting = append(c.waiting, attempt)
		}
	}
	for conn := range c.dialing { // last, because attempts that still wait may replace these
		if isExcluded(conn.addr) {
			conn.close() // connect fails its attempt
		}
	}
}

// Retain closes the idle connections to all nodes whose address is not in addrs.
func (c *Client) Retain(addrs map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		if addrs[addr] {
			continue
		}
		for _, conn := range slices.Clone(list) {
			conn.close()
		}
	}
}
