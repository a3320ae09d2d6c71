package xds

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// subscription is the state of the subscription to one resource type.
type subscription struct {
	typeURL         string
	state           State
	since           int64    // when state was set
	version         string   // of the response in force
	nonce           string   // of the last response on the stream
	names           []string // of the resources requested on the stream
	everAccepted    bool     // a response was accepted since the session began
	reportedOverdue bool     // the first response was reported as overdue
}

// setState sets the state and the time of the change. All state changes go through it.
func (s *subscription) setState(now int64, to State) { s.state, s.since = to, now }

// resource is a resource as the server sent it, with its parsed content.
type resource struct {
	name       string
	body       []byte
	receivedAt int64
	expiresAt  int64       // when its time to live ends; 0: never
	cluster    *Cluster    // if it is a cluster
	assignment *Assignment // if it is an assignment
}

// resources maps names to resources.
type resources map[string]*resource

// Session is the client side of the protocol. It outlives streams: a source has one Session for all its streams. It
// does no I/O and reads no clock: its methods take events with their time in nanoseconds and return requests and
// lists. It must be used by one goroutine only.
type Session struct {
	incremental  bool
	wanted       []string // names of the clusters subscribed to; empty: all
	fetchTimeout int64    // for the first response of a stream and for a cluster's first endpoints

	clusterSub  subscription
	endpointSub subscription

	clusters     resources        // clusters in force
	assignments  resources        // assignments in force
	removed      resources        // clusters kept while new ones wait for endpoints (make before break)
	addedAt      map[string]int64 // when each cluster was added; 0 if its endpoints were reported as missing
	listReported bool             // a list was reported
	loggedNotes  map[string]bool  // notes already logged
}

// maxLoggedNotes limits how many different notes are logged.
const maxLoggedNotes = 1000

// NewSession returns a session that subscribes to the wanted clusters, or to all if wanted is empty. fetchTimeout
// limits the wait for first responses.
func NewSession(incremental bool, wanted []string, fetchTimeout time.Duration) *Session {
	return &Session{
		incremental:  incremental,
		wanted:       wanted,
		fetchTimeout: int64(fetchTimeout),
		clusterSub:   subscription{typeURL: ClusterType},
		endpointSub:  subscription{typeURL: EndpointType},
		clusters:     resources{},
		assignments:  resources{},
		removed:      resources{},
		addedAt:      map[string]int64{},
		loggedNotes:  map[string]bool{},
	}
}

// OpenStream starts a new stream and returns its first requests.
func (s *Session) OpenStream(now int64) []Request {
	for _, sub := range []*subscription{&s.clusterSub, &s.endpointSub} {
		sub.setState(now, Idle)
		sub.nonce, sub.names = "", nil
	}
	s.clusterSub.reportedOverdue = false
	requests := []Request{s.request(now, &s.clusterSub, s.wanted, "")}
	if names := s.serviceNames(); len(names) > 0 {
		requests = append(requests, s.request(now, &s.endpointSub, names, ""))
	}
	return requests
}

// request returns a request that subscribes to the names and acknowledges the last response, or rejects it if there
// is a rejectReason.
func (s *Session) request(now int64, sub *subscription, names []string, rejectReason string) Request {
	r := Request{Type: sub.typeURL, Nonce: sub.nonce, RejectReason: rejectReason}
	first := sub.state == Idle
	switch {
	case s.incremental:
		r.Subscribe = difference(names, sub.names)
		r.Unsubscribe = difference(sub.names, names)
		if first {
			r.KnownNames = slices.Sorted(maps.Keys(s.inForce(sub)))
		}
	case first:
		// No version is sent, as a restarted server may use the version in force for different content.
		r.ResourceNames = names
	default:
		r.ResourceNames = names
		r.Version = sub.version
	}
	if first {
		sub.setState(now, Requested)
	}
	sub.names = names
	return r
}

// difference returns the names that are not among the others.
func difference(names, others []string) (rest []string) {
	for _, name := range names {
		if !slices.Contains(others, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

// inForce returns the resources in force of a subscription's type.
func (s *Session) inForce(sub *subscription) resources {
	if sub == &s.clusterSub {
		return s.clusters
	}
	return s.assignments
}

// serviceNames returns the sorted names of the assignments that the clusters need.
func (s *Session) serviceNames() (names []string) {
	for _, clusters := range []resources{s.clusters, s.removed} {
		for _, r := range clusters {
			if name := r.cluster.ServiceName; name != "" && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// HandleResponse processes a response, which is accepted or rejected as a whole.
func (s *Session) HandleResponse(now int64, response Response) (out Outcome) {
	sub := s.subscription(response.Type)
	if sub == nil || sub.state == Idle {
		out.addNote(fmt.Sprintf("response of type %q ignored: not subscribed", response.Type))
		return out
	}
	sub.nonce = response.Nonce
	next, err := s.read(now, sub, response, &out)
	if err == nil {
		err = s.checkConsistency(sub, next)
	}
	if err != nil {
		sub.setState(now, Rejected)
		out.Rejected = fmt.Errorf("%s, version %q: %w", typeName(response.Type), response.Version, err)
		out.Requests = append(out.Requests, s.request(now, sub, sub.names, err.Error()))
		return out
	}
	sub.version, sub.everAccepted = response.Version, true
	sub.setState(now, Accepted)
	if sub == &s.clusterSub {
		s.replaceClusters(now, next)
	} else {
		s.assignments = next
	}
	out.Requests = append(out.Requests, s.request(now, sub, sub.names, ""))
	s.update(now, &out)
	return out
}

// subscription returns the subscription to a resource type, or nil if there is none.
func (s *Session) subscription(typeURL string) *subscription {
	switch typeURL {
	case ClusterType:
		return &s.clusterSub
	case EndpointType:
		return &s.endpointSub
	}
	return nil
}

// subscribesTo reports whether a resource is subscribed to.
func (s *Session) subscribesTo(sub *subscription, name string) bool {
	if sub == &s.clusterSub {
		return len(s.wanted) == 0 || slices.Contains(s.wanted, name)
	}
	return slices.Contains(sub.names, name)
}
