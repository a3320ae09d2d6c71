package web

import (
	"time"
)

// minEvictInterval is the least time between two looks for connections to close.
const minEvictInterval = 10 * time.Millisecond

// servingCount is the number of connections that are not on their way out. The caller holds the lock.
func (s *Server) servingCount() int { return len(s.conns) - len(s.lingering) - s.closing }

// evictLoop closes the connections that have been idle for longest while the server is crowded. Clients hold only so
// many connections, and those that asked once and stay connected would keep the others out.
func (s *Server) evictLoop() {
	ticker := time.NewTicker(max(s.opt.Limits.EvictionIdleTimeout/8, minEvictInterval))
	defer ticker.Stop()
	rejectedBefore := 0
	for {
		select {
		case <-s.drained:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for s.servingCount() > s.opt.Limits.EvictionThreshold && s.evict(now, s.opt.Limits.EvictionIdleTimeout) {
			}
			s.logShortage(rejectedBefore)
			rejectedBefore = s.rejected
			s.mu.Unlock()
		}
	}
}

// evict closes one connection that has been in its state for at least minIdle: one that has sent no request yet if
// there is any, else the one that has been idle for longest. It returns false if none can be closed now. The caller
// holds the lock.
func (s *Server) evict(now time.Time, minIdle time.Duration) bool {
	if s.closeLimitReached(now) {
		return false
	}
	var victim *conn
	for c := range s.conns {
		if c.state > stateIdle || now.Sub(c.since) < minIdle {
			continue
		}
		if (victim == nil || c.evictedBefore(victim)) && !hasUnreadBytes(c.raw) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	s.evicted++
	victim.transition(stateClosing)
	return true
}

// closeLimitReached reports whether so many connections are on their way out that no further one should be. One that has
// lingered for a while may be cut short for another. The caller holds the lock.
func (s *Server) closeLimitReached(now time.Time) bool {
	if s.closing+len(s.lingering) < s.opt.Limits.maxLingering() {
		return false
	}
	return len(s.lingering) == 0 || now.Sub(s.lingering[0].since) < lingerTimeout/8
}

// evictedBefore reports whether a connection is a better one to close than another.
func (c *conn) evictedBefore(other *conn) bool {
	if c.state != other.state {
		return c.state < other.state
	}
	return c.since.Before(other.since)
}

// logShortage logs when the server begins or ceases to reject connections, by the count of those rejected at the last
// call. The caller holds the lock.
func (s *Server) logShortage(rejectedBefore int) {
	short := s.rejected > rejectedBefore
	if short == s.loggedShortage {
		return
	}
	s.loggedShortage = short
	var inState [stateClosed + 1]int
	for c := range s.conns {
		inState[c.state]++
	}
	s.opt.Logger.Info("connection shortage changed", "gateway", s.opt.GatewayName, "short", short, "open", len(s.conns),
		"silent", inState[stateNew], "idle", inState[stateIdle], "rejected", s.rejected, "evicted", s.evicted)
}
