package manager

import (
	"context"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
)

// subscriber passes the reports of one source to the Manager's goroutine.
type subscriber struct {
	manager *Manager
	ctx     context.Context // ends with the Manager; the methods of endpoint.Subscriber take no context
	source  *membership.Source
	cache   chan endpoint.List // holds at most the latest list, for writeCache
}

// OnUpdate implements endpoint.Subscriber.
func (s *subscriber) OnUpdate(list endpoint.List) {
	m := s.manager
	m.post(s.ctx, func() {
		s.source.Receive(m.opt.Now(), list)
		m.markReported(s.source)
	})
	if m.opt.Dir == "" {
		return
	}
	select {
	case <-s.cache: // drop a list that is not written yet, it is out of date
	default:
	}
	s.cache <- list
}

// OnRejected implements endpoint.Subscriber.
func (s *subscriber) OnRejected(err error) {
	m := s.manager
	m.post(s.ctx, func() {
		s.source.Reject(m.opt.Now(), err.Error())
		m.markReported(s.source)
	})
}

// OnLink implements endpoint.Subscriber.
func (s *subscriber) OnLink(up bool, reason string) {
	m := s.manager
	m.post(s.ctx, func() {
		if up {
			s.source.LinkUp(m.opt.Now())
		} else {
			s.source.LinkDown(m.opt.Now(), reason)
		}
	})
}
