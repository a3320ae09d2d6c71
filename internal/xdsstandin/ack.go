package xdsstandin

import (
	"fmt"
	"slices"
	"time"
)

// Ack is a client's acknowledgement (ACK) or rejection (NACK) of a response. The command "irispost xds-server" prints it
// with its field names.
type Ack struct {
	Client  string // Node.id of the client
	Type    string // type URL of the resources
	Version string // state of the world only: the version that the client uses
	Nonce   string // of the response
	Refusal string // error detail of a rejection; empty: the response is acknowledged
}

// Acks returns the acknowledgements and rejections received so far, in the order of their arrival.
func (s *Server) Acks() []Ack {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.acks)
}

// WaitForAcks waits until the condition holds for the acknowledgements received so far. If it does not hold within the
// timeout, the error lists them.
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
			return fmt.Errorf("condition not met within %v, acknowledgements received: %+v", timeout, s.acks)
		}
		s.changed.Wait()
	}
	return nil
}

// Streams returns the number of open streams and the number of streams opened since the start.
func (s *Server) Streams() (open, opened int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.streams), s.openedCount
}
