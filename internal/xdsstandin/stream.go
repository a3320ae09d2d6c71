package xdsstandin

import (
	"slices"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var (
	errStreamCut     = status.Error(codes.Unavailable, "the stand-in cuts the stream")
	errStreamRefused = status.Error(codes.Unavailable, "the stand-in refuses streams")
)

// stream is a client's stream. The server's lock guards it.
type stream struct {
	nodeID          string // Node.id of the client
	cut             bool   // by the server
	ended           bool   // by the client
	responseCount   int
	heartbeatType   string // heartbeats of this type are due; empty: none
	unrequestedType string // this type is sent without a request; empty: none
	subscriptions   map[string]*subscription
}

// subscription is what a stream wants of a type.
type subscription struct {
	wildcard     bool // all resources
	names        map[string]bool
	sentVersions map[string]int // incremental: by name
	sentVersion  int            // state of the world: the version that was sent last
	changed      bool           // state of the world: names were added
	nonce        string         // of the last response
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

// protocol is how one of the two forms of xDS receives and sends on a stream.
type protocol struct {
	// receive takes in one request.
	receive func() error
	// prepare returns how to send what the client has to get of a type; nil: nothing. The lock is held.
	prepare func(resourceType string, sub *subscription) (send func() error)
}

// serveStream serves a stream until it ends; newProtocol gets it.
func (s *Server) serveStream(newProtocol func(*stream) protocol) error {
	st, err := s.openStream()
	if err != nil {
		return err
	}
	defer s.closeStream(st)
	form := newProtocol(st)
	go func() {
		for form.receive() == nil {
		}
		s.received(st, "", func() { st.ended = true })
	}()
	for {
		send, delay, err := s.nextResponse(st, form)
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

// received changes a stream's state under the lock, after a request. An empty nodeID leaves the known one.
func (s *Server) received(st *stream, nodeID string, change func()) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if nodeID != "" {
		st.nodeID = nodeID
	}
	change()
	s.changed.Broadcast()
}

// nextResponse waits until something has to be sent, and returns how and after which delay; a nil function says that
// the stream ends.
func (s *Server) nextResponse(st *stream, form protocol) (send func() error, delay time.Duration, err error) {
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
			if send := s.prepareType(st, form, resourceType); send != nil {
				return send, s.faults.delay, nil
			}
		}
		s.changed.Wait()
	}
}

// prepareType returns how to send what a stream has to get of a type; nil: nothing. The lock is held.
func (s *Server) prepareType(st *stream, form protocol, resourceType string) (send func() error) {
	sub := st.subscriptions[resourceType]
	if st.unrequestedType == resourceType {
		sub = newSubscription()
		sub.wildcard = true
		sub.changed = true
	}
	if sub == nil || s.faults.silent {
		return nil
	}
	send = form.prepare(resourceType, sub)
	if st.heartbeatType == resourceType {
		st.heartbeatType = ""
	}
	if st.unrequestedType == resourceType {
		st.unrequestedType = ""
	}
	return send
}

// nextNonce is the nonce of a stream's next response. The lock is held.
func (s *Server) nextNonce(st *stream) string {
	st.responseCount++
	if s.faults.sameNonce {
		return "same"
	}
	return strconv.Itoa(st.responseCount)
}

// wantedNames returns the names of a type that a stream wants and that exist, in order. The lock is held.
func (s *Server) wantedNames(resourceType string, sub *subscription) (names []string) {
	for name := range s.resources[resourceType] {
		if sub.wildcard || sub.names[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// CutStreams ends all streams without notice.
func (s *Server) CutStreams() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for st := range s.streams {
		st.cut = true
	}
	s.changed.Broadcast()
}
