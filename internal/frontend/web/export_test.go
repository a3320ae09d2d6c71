package web

import (
	"net"
	"time"
)

// HasUnreadBytes reports whether a connection's socket has unread bytes.
var HasUnreadBytes = hasUnreadBytes

// HasClientLeft reports whether the client has closed the connection.
var HasClientLeft = hasClientLeft

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

// ServeListener starts a server on the given listener.
var ServeListener = serveListener

// ClosingCounts returns the number of closing and of lingering connections.
func ClosingCounts(s *Server) (closing, lingering int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing, len(s.lingering)
}

// MaxLingering returns how many connections may linger at the same time.
func MaxLingering(l Limits) int { return l.maxLingering() }

// IdleCount returns the number of idle connections.
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

// ResultResponse returns the response for the result of a request.
var ResultResponse = resultResponse
