package webnode

import (
	"time"

	"irispost/internal/backend/node"
)

// rested is the idle connection to a node that was used last, of those that have rested; nil: none; the lock is held.
//
// Guard: a node may send a second answer some milliseconds after the first. On a connection that is in use again by then it would be taken for
// the next execution's.
func (c *Client) rested(addr string) *link {
	list := c.free[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if time.Since(list[i].since) >= c.opt.ReuseDelay {
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

// sweep is the periodic work: it closes what has been idle for too long and fails what has waited too long for a socket.
func (c *Client) sweep() {
	tick := time.NewTicker(max(min(c.opt.IdleTimeout, c.opt.ConnectTimeout)/4, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-tick.C:
		}
		now := time.Now()
		var failed []*Attempt
		c.lock.Lock()
		for addr := range c.free {
			for list := c.free[addr]; len(list) > 0 && now.Sub(list[0].since) > c.opt.IdleTimeout; list = c.free[addr] {
				list[0].end()
			}
		}
		for len(c.wait) > 0 && (c.wait[0].over || now.After(c.wait[0].until)) {
			failed = append(failed, c.wait[0])
			c.wait = c.wait[1:]
		}
		c.lock.Unlock()
		for _, s := range failed {
			s.finish(node.Reply{Outcome: node.ConnectFailed, Message: "no socket was free"})
		}
	}
}

// AbortQueued ends what waits for a connection to a node that is left, or for a socket to go there.
func (c *Client) AbortQueued(left func(addr string) bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	wait := c.wait
	c.wait = nil
	for _, s := range wait {
		if left(s.addr) {
			go s.finish(node.Reply{Outcome: node.ConnectFailed, Message: "the node is left"})
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

// Retain closes the idle connections to nodes that are not named.
func (c *Client) Retain(addrs map[string]bool) {
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
