package xds

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint"
)

// Type URLs of the resources.
const (
	ClusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	wrapperType  = "type.googleapis.com/envoy.service.discovery.v3.Resource"
)

// State is how a subscription to one type of resources stands on the present stream.
type State uint8

const (
	Idle      State = iota // nothing is asked for
	Requested              // asked, and not answered
	Accepted               // the last answer is in force
	Rejected               // the last answer was refused, the one before is in force
)

// Response is an answer of the server, whole or incremental.
type Response struct {
	Type      string
	Version   string
	Nonce     string
	Resources []*anypb.Any            // whole
	Changed   []*discoveryv3.Resource // incremental
	Removed   []string                // incremental
}

// Request is what goes to the server. It stands for both forms; docs/xds.md tells what is sent of it in which.
type Request struct {
	Type                   string
	Version                string   // whole: that is in force; empty, first on a stream, so that all is sent anew
	Nonce                  string   // that it answers; empty: none
	ResourceNames          []string // whole: all that are wanted, empty for all clusters
	Subscribe, Unsubscribe []string // incremental: wanted from now on, no longer wanted
	KnownNames             []string // incremental, first on a stream: names that are there, of which all is wanted anew
	RejectReason           string   // why the update with the nonce is refused; empty: it is accepted, or there was none
}

// Outcome is what follows from an event.
type Outcome struct {
	Requests []Request
	List     *endpoint.List // nil: nothing new
	Rejected error          // an update that cannot be used
	Notes    []string       // for the log
}

// subscription is one type of resources.
type subscription struct {
	kind     string
	state    State
	since    int64
	version  string // in force
	nonce    string // last one of the stream
	names    []string
	answered bool // in this session's life
	late     bool // told that the first answer does not come
}

// resource is what a name stands for at the server.
type resource struct {
	expires int64 // 0: never
	heard   int64
	name    string
	body    []byte      // as it came
	cluster *Cluster    // of a cluster
	nodes   *Assignment // of an assignment
}

// table are resources by name.
type table map[string]*resource

// Session is the client's side of the protocol over a source's life, over many streams. It is pure: what comes in are
// events with their time, what goes out are requests and lists.
type Session struct {
	incremental bool
	wanted      []string // clusters; empty: all
	fetch       int64    // how long a first answer may take, and a cluster's first endpoints
	clusters    subscription
	endpoints   subscription
	have        table // clusters in force
	assigned    table // endpoints in force, by assignment
	leaving     table // clusters that were removed while others have no endpoints yet: make before break
	came        map[string]int64
	told        bool
	notes       map[string]bool // that were logged
}

// NewSession makes a session. fetch bounds the wait for first answers.
func NewSession(incremental bool, wanted []string, fetch time.Duration) *Session {
	return &Session{incremental: incremental, wanted: wanted, fetch: int64(fetch), have: table{}, assigned: table{}, leaving: table{},
		clusters: subscription{kind: ClusterType}, endpoints: subscription{kind: EndpointType}, came: map[string]int64{},
		notes: map[string]bool{}}
}

// move is the one place where a subscription's state changes.
func (s *subscription) move(now int64, to State) { s.state, s.since = to, now }

// OpenStream begins a stream.
func (s *Session) OpenStream(now int64) []Request {
	s.clusters.move(now, Idle)
	s.endpoints.move(now, Idle)
	s.clusters.nonce, s.endpoints.nonce, s.clusters.late = "", "", false
	s.clusters.names, s.endpoints.names = nil, nil
	out := []Request{s.ask(now, &s.clusters, s.wanted, "")}
	if names := s.services(); len(names) > 0 {
		out = append(out, s.ask(now, &s.endpoints, names, ""))
	}
	return out
}

// ask makes the request that wants these names, or that answers an update, or both.
func (s *Session) ask(now int64, sub *subscription, names []string, refusal string) Request {
	r := Request{Type: sub.kind, Nonce: sub.nonce, RejectReason: refusal}
	first := sub.state == Idle
	if s.incremental {
		for _, name := range names {
			if !slices.Contains(sub.names, name) {
				r.Subscribe = append(r.Subscribe, name)
			}
		}
		for _, name := range sub.names {
			if !slices.Contains(names, name) {
				r.Unsubscribe = append(r.Unsubscribe, name)
			}
		}
		if first {
			r.KnownNames = slices.Sorted(maps.Keys(s.of(sub)))
		}
	} else if r.ResourceNames = names; !first {
		r.Version = sub.version
	}
	if first { // with no version: a server that began anew may have given the same one to something else
		sub.move(now, Requested)
	}
	sub.names = names
	return r
}

func (s *Session) of(sub *subscription) table {
	if sub == &s.clusters {
		return s.have
	}
	return s.assigned
}

// services are the names of the assignments that the clusters in force need, in order.
func (s *Session) services() (names []string) {
	for _, t := range []table{s.have, s.leaving} {
		for _, r := range t {
			if c := r.cluster; c.ServiceName != "" && !slices.Contains(names, c.ServiceName) {
				names = append(names, c.ServiceName)
			}
		}
	}
	slices.Sort(names)
	return names
}

// HandleResponse takes in an answer of the server.
func (s *Session) HandleResponse(now int64, u Response) (out Outcome) {
	var sub *subscription
	switch u.Type {
	case ClusterType:
		sub = &s.clusters
	case EndpointType:
		sub = &s.endpoints
	}
	if sub == nil || sub.state == Idle {
		out.Notes = append(out.Notes, fmt.Sprintf("an update of type %q that nobody asked for is let be", u.Type))
		return out
	}
	sub.nonce = u.Nonce
	next, err := s.read(now, sub, u, &out)
	if err == nil {
		err = s.fits(sub, next)
	}
	if err != nil {
		sub.move(now, Rejected)
		out.Rejected = fmt.Errorf("%s, version %q: %w", short(u.Type), u.Version, err)
		out.Requests = append(out.Requests, s.ask(now, sub, sub.names, err.Error()))
		return out
	}
	sub.version, sub.answered = u.Version, true
	sub.move(now, Accepted)
	if sub == &s.clusters {
		s.replace(now, next)
	} else {
		s.assigned = next
	}
	out.Requests = append(out.Requests, s.ask(now, sub, sub.names, ""))
	s.follow(now, &out)
	return out
}

func short(kind string) string {
	if kind == ClusterType {
		return "clusters"
	}
	return "endpoints"
}

// read reads an update whole, into a table of its own: nothing of one that is wrong anywhere counts.
func (s *Session) read(now int64, sub *subscription, u Response, out *Outcome) (table, error) {
	r := &reading{}
	old := s.of(sub)
	next := table{}
	if s.incremental || sub == &s.endpoints { // what an answer leaves out stays
		next = maps.Clone(old)
	}
	seen := map[string]bool{}
	same := map[uint64]*resource{} // by what they came as, so that what is sent again as it was is not read again
	for _, res := range old {
		same[xxhash.Sum64(res.body)] = res
	}
	one := func(name string, body *anypb.Any, ttl time.Duration) {
		res := &resource{heard: now}
		if ttl > 0 {
			res.expires = now + int64(ttl)
		}
		if body == nil { // a sign of life: the resource is as it was
			was := old[name]
			if was == nil {
				out.Notes = append(out.Notes, fmt.Sprintf("a sign of life of %q, which is not known, is let be", name))
				return
			}
			res.cluster, res.nodes, res.name, res.body = was.cluster, was.nodes, name, was.body
			next[name] = res
			return
		}
		var own string
		var err error
		if was := same[xxhash.Sum64(body.GetValue())]; was != nil && bytes.Equal(was.body, body.GetValue()) && body.GetTypeUrl() == sub.kind {
			own, res.cluster, res.nodes = was.name, was.cluster, was.nodes
		} else {
			own, err = s.resource(sub, body, res, r)
		}
		res.name, res.body = own, body.GetValue()
		switch {
		case err != nil:
			r.refuse(fmt.Sprintf("resource %q", name), "%v", err)
			return
		case name != "" && name != own:
			r.refuse(fmt.Sprintf("resource %q", name), "it calls itself %q", own)
		case seen[own]:
			r.refuse(fmt.Sprintf("resource %q", own), "it is there twice")
		}
		seen[own] = true
		if !s.wants(sub, own) {
			out.Notes = append(out.Notes, fmt.Sprintf("%s %q, which nobody asked for, is let be", short(sub.kind), own))
			return
		}
		next[own] = res
	}
	for _, body := range u.Resources {
		if body.GetTypeUrl() == wrapperType {
			w := &discoveryv3.Resource{}
			if err := body.UnmarshalTo(w); err != nil {
				r.refuse("a resource", "%v", err)
				continue
			}
			one(w.GetName(), w.GetResource(), w.GetTtl().AsDuration())
			continue
		}
		one("", body, 0)
	}
	for _, w := range u.Changed {
		one(w.GetName(), w.GetResource(), w.GetTtl().AsDuration())
	}
	for _, name := range u.Removed { // one that was never seen is no trouble
		delete(next, name)
	}
	return next, r.err()
}

// wants tells whether a name was asked for.
func (s *Session) wants(sub *subscription, name string) bool {
	if sub == &s.clusters {
		return len(s.wanted) == 0 || slices.Contains(s.wanted, name)
	}
	return slices.Contains(sub.names, name)
}

// resource reads one resource, and returns the name that it gives itself.
func (s *Session) resource(sub *subscription, body *anypb.Any, res *resource, r *reading) (string, error) {
	if body.GetTypeUrl() != sub.kind {
		return "", fmt.Errorf("it has type %q, %q was asked for", body.GetTypeUrl(), sub.kind)
	}
	if sub == &s.clusters {
		m := &clusterv3.Cluster{}
		if err := proto.Unmarshal(body.GetValue(), m); err != nil {
			return "", err
		}
		c, err := ReadCluster(m)
		res.cluster, r.notes = c, append(r.notes, c.Notes...)
		return c.Name, err
	}
	m := &endpointv3.ClusterLoadAssignment{}
	if err := proto.Unmarshal(body.GetValue(), m); err != nil {
		return "", err
	}
	a, err := ReadAssignment(m)
	res.nodes, r.notes = a, append(r.notes, a.Notes...)
	return a.Name, err
}

// fits tells whether a table would fit to what else is in force: no address twice, and not too much of anything.
func (s *Session) fits(sub *subscription, next table) error {
	clusters, assigned := next, s.assigned
	if sub == &s.endpoints {
		clusters, assigned = s.have, next
	}
	if len(clusters) > MaxClusters {
		return fmt.Errorf("%d clusters, more than %d", len(clusters), MaxClusters)
	}
	seen, count := map[string]string{}, 0
	for _, name := range slices.Sorted(maps.Keys(clusters)) {
		a := nodesOf(clusters[name].cluster, assigned)
		if a == nil {
			continue
		}
		if count += len(a.Nodes); count > MaxEndpoints {
			return fmt.Errorf("more than %d endpoints", MaxEndpoints)
		}
		for _, n := range a.Nodes {
			if other := seen[n.Addr]; other != "" {
				return fmt.Errorf("endpoint %s is in clusters %q and %q", n.Addr, other, name)
			}
			seen[n.Addr] = name
		}
	}
	return nil
}

// nodesOf are a cluster's nodes; nil: none are known yet.
func nodesOf(c *Cluster, assigned table) *Assignment {
	if c.Inline != nil {
		return c.Inline
	}
	if r := assigned[c.ServiceName]; r != nil {
		return r.nodes
	}
	return nil
}

// replace puts clusters in force. Those that go stay until each of the others has its endpoints.
func (s *Session) replace(now int64, next table) {
	for name, r := range s.have {
		if next[name] == nil {
			s.leaving[name] = r
		}
	}
	for name := range next {
		delete(s.leaving, name)
		if s.have[name] == nil {
			s.came[name] = now
		}
	}
	s.have = next
}

// warming tells whether a cluster still waits for its first endpoints.
func (s *Session) warming(now int64) bool {
	for name, r := range s.have {
		if nodesOf(r.cluster, s.assigned) == nil && now < s.came[name]+s.fetch {
			return true
		}
	}
	return false
}

// follow does what follows from a change: it asks for the endpoints of clusters, lets go what is not needed any more, and
// makes the list.
func (s *Session) follow(now int64, out *Outcome) {
	if !s.warming(now) {
		clear(s.leaving)
	}
	names := s.services()
	for name := range s.assigned {
		if !slices.Contains(names, name) {
			delete(s.assigned, name)
		}
	}
	for name := range s.came {
		if s.have[name] == nil {
			delete(s.came, name)
		}
	}
	if !slices.Equal(names, s.endpoints.names) && (len(names) > 0 || s.endpoints.state != Idle) {
		out.Requests = append(out.Requests, s.ask(now, &s.endpoints, names, ""))
	}
	if !s.clusters.answered || !s.told && s.warming(now) {
		return
	}
	l := s.list(now, out)
	if !s.told && len(l.Nodes) == 0 && len(s.have) > 0 && len(s.assigned) == 0 {
		return // endpoints have never come: that is not known to be none
	}
	out.List, s.told = l, true
}

// list makes the list of all nodes, in the order of clusters and endpoints.
func (s *Session) list(now int64, out *Outcome) *endpoint.List {
	l := &endpoint.List{Version: fmt.Sprintf("c:%s e:%s", s.clusters.version, s.endpoints.version)}
	seen := map[string]bool{}
	for _, t := range []table{s.have, s.leaving} { // what comes goes before what leaves
		for _, name := range slices.Sorted(maps.Keys(t)) {
			c := t[name].cluster
			a := nodesOf(c, s.assigned)
			if a == nil {
				continue
			}
			for _, n := range a.Nodes {
				if !seen[n.Addr] {
					l.Nodes = append(l.Nodes, n)
				}
				seen[n.Addr] = true
			}
			if r := s.assigned[c.ServiceName]; c.Inline == nil && a.StaleAfter > 0 && now >= r.heard+int64(a.StaleAfter) {
				l.Stale = true
			}
			s.note(out, c.Notes)
			s.note(out, a.Notes)
		}
	}
	return l
}

// note logs what has no effect, once.
func (s *Session) note(out *Outcome, notes []string) {
	for _, n := range notes {
		if !s.notes[n] && len(s.notes) < 1000 {
			s.notes[n] = true
			out.Notes = append(out.Notes, n)
		}
	}
}

// Tick lets time pass: resources expire, and what is waited for is late.
func (s *Session) Tick(now int64) (out Outcome) {
	changed := false
	for _, t := range []table{s.have, s.assigned} {
		for _, name := range slices.Sorted(maps.Keys(t)) {
			if r := t[name]; r.expires > 0 && now >= r.expires {
				out.Notes = append(out.Notes, fmt.Sprintf("%q has expired: its time to live has passed without news", name))
				delete(t, name)
				changed = true
			}
		}
	}
	if c := &s.clusters; c.state == Requested && !c.late && now >= c.since+s.fetch {
		c.late = true
		out.Rejected = fmt.Errorf("no answer to the first request for clusters within %v", time.Duration(s.fetch))
	}
	for name, r := range s.have {
		if at := s.came[name] + s.fetch; at > s.fetch && now >= at && nodesOf(r.cluster, s.assigned) == nil {
			s.came[name] = 0
			out.Rejected = fmt.Errorf("no endpoints of cluster %q come", name)
			changed = true
		}
	}
	for _, r := range s.assigned {
		if a := r.nodes; a.StaleAfter > 0 && r.heard > 0 && now >= r.heard+int64(a.StaleAfter) {
			r.heard = -int64(a.StaleAfter) // counts as old, and is told once
			changed = true
		}
	}
	if changed {
		s.follow(now, &out)
	}
	return out
}

// NextDeadline is when Tick has something to do; 0: never.
func (s *Session) NextDeadline() (at int64) {
	sooner := func(t int64) {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	for _, t := range []table{s.have, s.assigned} {
		for name, r := range t {
			sooner(r.expires)
			if a := r.nodes; a != nil && a.StaleAfter > 0 && r.heard > 0 {
				sooner(r.heard + int64(a.StaleAfter))
			}
			if r.cluster != nil && s.came[name] > 0 && nodesOf(r.cluster, s.assigned) == nil {
				sooner(s.came[name] + s.fetch)
			}
		}
	}
	if c := &s.clusters; c.state == Requested && !c.late {
		sooner(c.since + s.fetch)
	}
	return at
}
