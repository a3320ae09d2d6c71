package web

import (
	"slices"
	"time"
)

// connState is the state of a client connection. Only conn.transition changes it. The order of the constants matters:
// in states up to stateIdle, the connection has no request.
type connState uint8

const (
	stateNew       connState = iota // no request has arrived yet
	stateIdle                       // between requests
	stateClosing                    // about to be closed, unless a request has arrived
	stateReading                    // a request is being read
	stateWaiting                    // the request is submitted to the gateway's loop
	stateWriting                    // the response is being written
	stateLingering                  // the sending side is closed, and received data is discarded
	stateClosed
)

func (s connState) String() string {
	return [...]string{"new", "idle", "closing", "reading", "waiting", "writing", "lingering", "closed"}[s]
}

// transition changes the state of a connection; nothing else does. It returns false, and changes nothing, if the
// connection is closed, or if it is lingering and the new state is not stateClosed. The caller holds the server's
// lock.
func (c *conn) transition(to connState) bool {
	s := c.server
	if c.state == stateClosed || c.state == stateLingering && to != stateClosed {
		return false
	}
	if to == stateIdle && s.phase >= phaseClosing {
		to = stateClosing
	}
	switch c.state {
	case stateClosing:
		s.closing--
	case stateLingering:
		s.lingering = slices.DeleteFunc(s.lingering, func(other *conn) bool { return other == c })
	}
	c.state, c.since = to, time.Now()
	switch to {
	case stateClosing:
		s.closing++
		_ = c.raw.SetReadDeadline(pastDeadline) // wakes awaitRequest
	case stateLingering:
		s.lingering = append(s.lingering, c)
		if s.phase < phaseNotAccepting && len(s.lingering) > s.opt.Limits.maxLingering() {
			s.lingering[0].transition(stateClosed) // it has lingered longest
		}
	case stateClosed:
		_ = c.raw.Close()
		delete(s.conns, c)
		if s.phase >= phaseNotAccepting && len(s.conns) == 0 {
			close(s.drained)
		}
	}
	return true
}

// setState is transition for callers that do not hold the server's lock.
func (c *conn) setState(to connState) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.transition(to)
}
