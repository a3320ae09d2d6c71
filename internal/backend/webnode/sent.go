package webnode

import (
	"time"

	"irispost/internal/backend/node"
)

// Attempt is an execution that is out, or waits for a socket.
type Attempt struct {
	client *Client
	addr   string
	call   *node.Call
	link   *link
	began  time.Time // the call's times count from then
	until  time.Time // it waits for a socket no longer
	done   func(node.Reply)
	over   bool
}

// Cancel ends the wait for an execution and closes its connection, by which the node is told.
func (s *Attempt) Cancel() {
	s.client.lock.Lock()
	defer s.client.lock.Unlock()
	if s.over {
		return
	}
	s.over = true
	if s.link != nil {
		s.link.end()
	}
}

// finish ends an execution with what it came to, once.
func (s *Attempt) finish(a node.Reply) {
	s.client.lock.Lock()
	over := s.over
	s.over = true
	s.client.lock.Unlock()
	switch {
	case !over:
		s.done(a)
	case a.Outcome == node.Executed:
		s.client.late.Add(1)
	}
}
