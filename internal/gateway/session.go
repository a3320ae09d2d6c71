package gateway

import "irispost/scheduler"

// Session groups the requests of one client connection, which are cancelled when the session is closed.
type Session struct {
	Name     string
	requests map[*request]bool // in flight; owned by the loop
	closed   bool              // owned by the loop
}

// NewSession returns a session. Its name must be unique among all sessions of the installation, because it is part of
// request IDs.
func NewSession(name string) *Session { return &Session{Name: name, requests: map[*request]bool{}} }

// CloseSession cancels the requests of a session whose client has disconnected.
func (l *Loop) CloseSession(s *Session) {
	l.post(func(now scheduler.Time) {
		s.closed = true
		cancelled := make([]*request, 0, len(s.requests))
		for r := range s.requests {
			cancelled = append(cancelled, r)
		}
		sortRequests(cancelled)
		for _, r := range cancelled {
			l.cancelRequest(now, r)
		}
	})
}

// cancelRequest ends a request whose client has left.
func (l *Loop) cancelRequest(now scheduler.Time, r *request) {
	if r.finished {
		return
	}
	l.scheduler.clientCancelled(now, r.scheduled)
	l.finish(r, Result{State: scheduler.RequestClientCancelled})
}
