package web

import (
	"context"
	"time"
)

// phase is the phase of a server's shutdown. The order of the constants matters.
type phase uint8

const (
	phaseServing      phase = iota
	phaseDraining           // connections are accepted, but health checks fail
	phaseNotAccepting       // no connections are accepted, but open ones are served
	phaseClosing            // each connection is closed after its next response
	phaseDeadline           // requests that have not been received completely are rejected
)

func (p phase) String() string {
	return [...]string{"serving", "draining", "not accepting", "closing", "deadline"}[p]
}

// pastDeadline is a deadline in the past, which interrupts a pending read at once.
var pastDeadline = time.Unix(1, 0)

// Shutdown shuts the server down gracefully. It accepts connections for acceptFor, because clients keep connecting
// until they learn of the shutdown, and serves open connections for serveFor, because their clients have no other
// gateway to go to. Then it closes idle connections at once and the others after their next response. When the context
// ends, it stops the loop, which fails the requests in flight. Both durations start with the call.
func (s *Server) Shutdown(ctx context.Context, acceptFor, serveFor time.Duration) {
	startTime := time.Now()
	s.mu.Lock()
	alreadyStarted := s.phase > phaseServing
	s.phase = max(s.phase, phaseDraining)
	s.mu.Unlock()
	if alreadyStarted {
		<-s.drained
		return
	}
	wait(ctx, acceptFor, nil)
	if !s.stopAccepting() {
		return
	}
	wait(ctx, serveFor-time.Since(startTime), s.drained)
	s.closeIdle()
	select {
	case <-s.drained:
		return
	case <-ctx.Done():
	}
	s.opt.Loop.Stop()
	s.rejectIncomplete()
	wait(context.Background(), lingerTimeout/2, s.drained) // lets the last responses be sent
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.transition(stateClosed)
	}
}

// stopAccepting closes the listener. It returns false if no connection is open.
func (s *Server) stopAccepting() bool {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		// Accept the connections that are already pending: closing the listener would reset them.
		_ = l.SetDeadline(time.Now().Add(lingerTimeout / 10))
		<-s.acceptDone
	}
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phaseNotAccepting
	if len(s.conns) == 0 {
		close(s.drained)
		return false
	}
	return true
}

// closeIdle closes connections without a request at once, and makes the others close after their next response.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phaseClosing
	for c := range s.conns {
		if c.state <= stateIdle {
			c.transition(stateClosing)
		}
	}
}

// rejectIncomplete rejects requests that are still being read. If it closed their connections instead, a request whose
// last byte has just arrived would get no response.
func (s *Server) rejectIncomplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phaseDeadline
	for c := range s.conns {
		if c.state == stateReading {
			_ = c.raw.SetReadDeadline(pastDeadline)
		}
	}
}

// wait returns after the duration, or earlier when the context ends or done is closed.
func wait(ctx context.Context, d time.Duration, done <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	case <-done:
	}
}
