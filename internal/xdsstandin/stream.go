package xdsstandin

import (
	"slices"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var (
	errStreamCut     = status.Error(codes.Unavailable, "stream cut by fault injection")
	errStreamRefused = status.Error(codes.Unavailable, "stream refused by fault injection")
)

// stream is the state of a client's stream. The server's lock guards it.
type stream struct {
	nodeID          string // Node.id of the client
	cut             bool   // the server is to end it
	ended           bool   // the client has ended it
	responseCount   int
	heartbeatType   string // type for which heartbeats are due; empty: none
	unrequestedType string // type that is due to be sent without a subscription; empty: none
	subscriptions   map[string]*subscription
}

// subscription is a stream's subscription to a type and what was sent for it.
type subscription struct {
	wildcard     bool            // subscribed to all resources
	names        map[string]bool // names of the subscribed resources
	sentVersions map[string]int  // incremental: version that was sent last, by name
	sentVersion  int             // state of the world: the version that was sent last
	changed      bool            // state of the world: a response is due although the version is the same
	nonce        string          // of the latest response
}

func newSubscription() *subscription {
	return &subscription{names: map[string]bool{}, sentVersions: map[string]int{}}
}

func (st *stream) subscription(resourceType string) *subscription {
	if st.subscriptions[resourceType] == nil {
		st.subscriptions[resourceType] = newSubscription()
	}
	return st.subscriptions[resourceType]
}

// protocol receives and sends on a stream in one of the two variants of xDS.
type protocol struct {
	// receive waits for a request and handles it.
	receive func() error
	// prepare returns a function that sends the next response of a type, or nil if none is due. The caller holds the
	// server's lock.
	prepare func(resourceType string, sub *subscription) (send func() error)
}

// serveStream serves a stream until it ends. newProtocol returns the protocol for the stream's state.
func (s *Server) serveStream(newProtocol func(*stream) protocol) error {
	st, err := s.openStream()
	if err != nil {
		return err
	}
	defer s.closeStream(st)
	variant := newProtocol(st)
	go func() {
		for variant.receive() == nil {
		}
		s.updateStream(st, "", func() { st.ended = true })
	}()
	for {
		send, delay, err := s.nextResponse(st, variant)
		if send == nil {
			return err
		}
		time.Sleep(delay)
		if err := send(); err != nil {
			return err
		}
	}
}

func (s *Server) openStream() (*stream, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.faults.refuseStreams {
		return nil, errStreamRefused
	}
	st := &stream{subscriptions: map[string]*subscription{}}
	s.streams[st] = true
	s.openedCount++
	return st, nil
}

func (s *Server) closeStream(st *stream) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.streams, st)
	s.changed.Broadcast()
}

// updateStream sets a stream's node ID, unless nodeID is empty, and calls change, both under the lock.
func (s *Server) updateStream(st *stream, nodeID string, change func()) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if nodeID != "" {
		st.nodeID = nodeID
	}
	change()
	s.changed.Broadcast()
}

// nextResponse waits until a response is due and returns the function that sends it and the delay before it. If the
// stream is to end, the function is nil.
func (s *Server) nextResponse(st *stream, variant protocol) (send func() error, delay time.Duration, err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for {
		switch {
		case st.cut:
			return nil, 0, errStreamCut
		case st.ended:
			return nil, 0, nil
		}
		for _, resourceType := range resourceTypes {
			if send := s.prepareType(st, variant, resourceType); send != nil {
				return send, s.faults.delay, nil
			}
		}
		s.changed.Wait()
	}
}

// prepareType returns a function that sends the next response of a type on a stream, or nil if none is due. The caller
// holds the lock.
func (s *Server) prepareType(st *stream, variant protocol, resourceType string) (send func() error) {
	sub := st.subscriptions[resourceType]
	if st.unrequestedType == resourceType {
		sub = newSubscription()
		sub.wildcard = true
		sub.changed = true
	}
	if sub == nil || s.faults.silent {
		return nil
	}
	send = variant.prepare(resourceType, sub)
	if st.heartbeatType == resourceType {
		st.heartbeatType = ""
	}
	if st.unrequestedType == resourceType {
		st.unrequestedType = ""
	}
	return send
}

// nextNonce returns the nonce of a stream's next response. The caller holds the lock.
func (s *Server) nextNonce(st *stream) string {
	st.responseCount++
	if s.faults.sameNonce {
		return "same"
	}
	return strconv.Itoa(st.responseCount)
}

// wantedNames returns the sorted names of the existing resources of a type to which a stream is subscribed. The caller
// holds the lock.
func (s *Server) wantedNames(resourceType string, sub *subscription) (names []string) {
	for name := range s.resources[resourceType] {
		if sub.wildcard || sub.names[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// CutStreams ends all streams with the status Unavailable.
func (s *Server) CutStreams() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for st := range s.streams {
		st.cut = true
	}
	s.changed.Broadcast()
}
