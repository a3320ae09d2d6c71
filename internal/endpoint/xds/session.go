package xds

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// subscription is the subscription to one type of resources.
type subscription struct {
	typeURL  string
	state    State
	since    int64    // of state
	version  string   // in force
	nonce    string   // of the stream's last response
	names    []string // requested
	answered bool     // there was a good response since the session began
	overdue  bool     // it was reported that the first response is
}

// setState is the one place where a subscription's state changes.
func (s *subscription) setState(now int64, to State) { s.state, s.since = to, now }

// resource is a resource as the server sent it, and what was read of it.
type resource struct {
	name       string
	body       []byte
	receivedAt int64
	expiresAt  int64       // 0: never
	cluster    *Cluster    // of a cluster
	assignment *Assignment // of an assignment
}

// resources are resources by name.
type resources map[string]*resource

// Session is the client's side of the protocol over all streams of a source. It is pure: it takes events with their
// time in nanoseconds, and returns requests and lists. It belongs to one goroutine.
type Session struct {
	incremental  bool
	wanted       []string // clusters; empty: all
	fetchTimeout int64    // for a first response, and for a cluster's first endpoints

	clusterSub  subscription
	endpointSub subscription

	clusters    resources        // in force
	assignments resources        // in force
	removed     resources        // clusters removed while others wait for endpoints: make before break
	addedAt     map[string]int64 // when a cluster was added; 0: its endpoints were reported as missing
	listed      bool             // there was a list
	noted       map[string]bool  // notes that were logged
}

// maxNoted bounds how many different notes are logged.
const maxNoted = 1000

// NewSession returns a session for these clusters, or for all where there are none. fetchTimeout bounds the wait for
// first responses.
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
		noted:        map[string]bool{},
	}
}

// OpenStream begins a stream, and returns its first requests.
func (s *Session) OpenStream(now int64) []Request {
	for _, sub := range []*subscription{&s.clusterSub, &s.endpointSub} {
		sub.setState(now, Idle)
		sub.nonce, sub.names = "", nil
	}
	s.clusterSub.overdue = false
	requests := []Request{s.request(now, &s.clusterSub, s.wanted, "")}
	if names := s.serviceNames(); len(names) > 0 {
		requests = append(requests, s.request(now, &s.endpointSub, names, ""))
	}
	return requests
}

// request returns a request for these names, which also answers the last response: with a reason it rejects that.
func (s *Session) request(now int64, sub *subscription, names []string, rejectReason string) Request {
	r := Request{Type: sub.typeURL, Nonce: sub.nonce, RejectReason: rejectReason}
	first := sub.state == Idle
	switch {
	case s.incremental:
		r.Subscribe = without(names, sub.names)
		r.Unsubscribe = without(sub.names, names)
		if first {
			r.KnownNames = slices.Sorted(maps.Keys(s.inForce(sub)))
		}
	case first:
		// Without a version: a server that restarted may have given the one in force to something else.
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

// without returns the names that others don't have.
func without(names, others []string) (rest []string) {
	for _, name := range names {
		if !slices.Contains(others, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

// inForce returns the resources in force of a type.
func (s *Session) inForce(sub *subscription) resources {
	if sub == &s.clusterSub {
		return s.clusters
	}
	return s.assignments
}

// serviceNames returns the names of the assignments that the clusters need, in order.
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

// HandleResponse takes in a response: it is accepted completely, or rejected.
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
	sub.version, sub.answered = response.Version, true
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

// subscription returns the subscription to a type; nil: there is none.
func (s *Session) subscription(typeURL string) *subscription {
	switch typeURL {
	case ClusterType:
		return &s.clusterSub
	case EndpointType:
		return &s.endpointSub
	}
	return nil
}

// wants tells whether a resource was requested.
func (s *Session) wants(sub *subscription, name string) bool {
	if sub == &s.clusterSub {
		return len(s.wanted) == 0 || slices.Contains(s.wanted, name)
	}
	return slices.Contains(sub.names, name)
}
