package testkit

import (
	"context"

	"irispost/internal/endpoint"
)

// ListSource is an endpoint source whose lists a test provides.
type ListSource struct {
	first   endpoint.List
	updates chan endpoint.List // unbuffered, so that a send returns only once Run has received the list
}

func newListSource(first endpoint.List) *ListSource {
	return &ListSource{first: first, updates: make(chan endpoint.List)}
}

// Run passes the first list and then the updates to the subscriber, until the context is done.
func (s *ListSource) Run(ctx context.Context, to endpoint.Subscriber) error {
	to.OnLink(true, "")
	to.OnUpdate(s.first)
	for {
		select {
		case <-ctx.Done():
			return nil
		case list := <-s.updates:
			to.OnUpdate(list)
		}
	}
}
