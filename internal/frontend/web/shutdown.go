package web

import (
	"context"
	"time"
)

// phase is how far the shutdown of a server has come. The order of the constants counts.
type phase uint8

const (
	phaseServing      phase = iota
	phaseDraining           // connections are accepted, but health checks fail
	phaseNotAccepting       // none are accepted; those that are open are served
	phaseClosing            // each connection is closed after its next response
	phaseDeadline           // requests that are not complete by now are rejected
)

func (p phase) String() string {
	return [...]string{"serving", "draining", "not accepting", "closing", "deadline"}[p]
}

// pastDeadline is a deadline that wakes a read at once.
var pastDeadline = time.Unix(1, 0)

// Shutdown ends the server gracefully. Connections are accepted for acceptFor, since clients still come until they
// know; those that are open are served for serveFor, since their clients have nowhere else to go. Then each is closed
// after its response, and idle ones at once. When the context ends, the loop is stopped, which fails the requests in
// flight.
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
	wait(context.Background(), lingerTimeout/2, s.drained) // the last responses go out
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.transition(stateClosed)
	}
}

// stopAccepting closes the listener. It returns false if no connection is left.
func (s *Server) stopAccepting() bool {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok {
		// Connections that wait to be accepted are accepted first: closing the listener would reset them.
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

// closeIdle has each connection close after its next response, and those without a request at once.
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

// rejectIncomplete rejects requests that are still being read. Closing their connections instead would leave a request
// whose last byte has just arrived without a response.
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

// wait waits for a duration, or until the context or the channel ends it.
func wait(ctx context.Context, d time.Duration, done <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	case <-done:
	}
}
