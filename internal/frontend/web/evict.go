package web

import (
	"time"
)

// minEvictInterval is the minimum interval between two checks for connections to evict.
const minEvictInterval = 10 * time.Millisecond

// servingCount returns the number of connections that are neither closing nor lingering. The caller holds the lock.
func (s *Server) servingCount() int { return len(s.conns) - len(s.lingering) - s.closing }

// evictLoop closes the connections that have been idle longest while there are more than EvictionThreshold. The number
// of connections is limited, so clients that stay connected after a single request would keep others out.
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

// evict closes one connection that has been idle, or open without a request, for at least minIdle. It prefers
// connections that have not sent any request, and among equals the one that has waited longest. It returns false if no
// connection can be closed now. The caller holds the lock.
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

// closeLimitReached reports whether too many connections are closing or lingering to close another. The limit does not
// apply if the oldest lingering connection has lingered for a while, as it may be closed early to make room. The
// caller holds the lock.
func (s *Server) closeLimitReached(now time.Time) bool {
	if s.closing+len(s.lingering) < s.opt.Limits.maxLingering() {
		return false
	}
	return len(s.lingering) == 0 || now.Sub(s.lingering[0].since) < lingerTimeout/8
}

// evictedBefore reports whether c should be evicted rather than other.
func (c *conn) evictedBefore(other *conn) bool {
	if c.state != other.state {
		return c.state < other.state
	}
	return c.since.Before(other.since)
}

// logShortage logs when the server starts or stops rejecting connections. rejectedBefore is the number of connections
// that had been rejected at the last call. The caller holds the lock.
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
