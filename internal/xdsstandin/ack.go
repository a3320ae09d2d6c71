package xdsstandin

import (
	"fmt"
	"slices"
	"time"
)

// Ack is a client's acknowledgement or rejection of an update. The command xds-standin prints it with its field names.
type Ack struct {
	Client  string // Node.id
	Type    string
	Version string // state of the world: that the client has in force
	Nonce   string
	Refusal string // why the client rejects the update; empty: it has accepted it
}

// Acks returns what clients have acknowledged or rejected so far.
func (s *Server) Acks() []Ack {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.acks)
}

// WaitForAcks waits until a condition holds of the acknowledgements; the error says what there is after the timeout.
func (s *Server) WaitForAcks(timeout time.Duration, condition func([]Ack) bool) error {
	wake := time.AfterFunc(timeout, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.changed.Broadcast()
	})
	defer wake.Stop()
	end := time.Now().Add(timeout)
	s.lock.Lock()
	defer s.lock.Unlock()
	for !condition(s.acks) {
		if time.Now().After(end) {
			return fmt.Errorf("it does not come about within %v: %+v", timeout, s.acks)
		}
		s.changed.Wait()
	}
	return nil
}

// Streams returns how many streams are open, and how many were opened in all.
func (s *Server) Streams() (open, opened int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.streams), s.openedCount
}
