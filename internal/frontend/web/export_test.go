package web

import (
	"net"
	"time"
)

// HasUnreadBytes is hasUnreadBytes.
var HasUnreadBytes = hasUnreadBytes

// EvictOne gives these connections to a server, the first one idle for longest, and has it evict one. It returns the
// index of the evicted connection, or -1 if there is none.
func EvictOne(raws ...net.Conn) int {
	s := &Server{conns: map[*conn]bool{}, drained: make(chan struct{})}
	now := time.Now()
	var all []*conn
	for i, raw := range raws {
		c := &conn{server: s, raw: raw, state: stateIdle, since: now.Add(time.Duration(i-len(raws)) * time.Second)}
		all = append(all, c)
		s.conns[c] = true
	}
	s.evict(now, 0)
	for i, c := range all {
		if c.state == stateClosing {
			return i
		}
	}
	return -1
}

// ServeListener starts a server on a listener.
var ServeListener = serveListener

// ClosingCounts returns how many connections are closing, and how many linger.
func ClosingCounts(s *Server) (closing, lingering int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing, len(s.lingering)
}

// MaxLingering is how many may linger.
func MaxLingering(l Limits) int { return l.maxLingering() }

// IdleCount returns how many connections are idle.
func IdleCount(s *Server) int { return countInState(s, stateIdle) }

// IsReading reports whether a request is being read.
func IsReading(s *Server) bool { return countInState(s, stateReading) > 0 }

func countInState(s *Server, state connState) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.state == state {
			count++
		}
	}
	return count
}

// ResultResponse is the response for a request's result.
var ResultResponse = resultResponse
