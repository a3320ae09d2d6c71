package xds

import (
	"bytes"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// responseReader reads a response into a separate set of resources, so that a response with an error has no effect.
type responseReader struct {
	session  *Session
	sub      *subscription
	now      int64
	out      *Outcome
	old      resources            // those in force
	byHash   map[uint64]*resource // those in force, by a hash of their bodies
	next     resources            // those in force once the response is accepted
	seen     map[string]bool      // names in the response
	problems resourceReader
}

// read returns the resources that are in force once a response is accepted, or the errors of the response.
func (s *Session) read(now int64, sub *subscription, response Response, out *Outcome) (resources, error) {
	old := s.inForce(sub)
	r := &responseReader{
		session: s,
		sub:     sub,
		now:     now,
		out:     out,
		old:     old,
		byHash:  make(map[uint64]*resource, len(old)),
		next:    resources{},
		seen:    map[string]bool{},
	}
	if s.incremental || sub == &s.endpointSub { // a resource that is missing from the response stays in force
		r.next = maps.Clone(old)
	}
	for _, res := range old {
		r.byHash[xxhash.Sum64(res.body)] = res
	}
	for _, body := range response.Resources {
		r.addAny(body)
	}
	for _, wrapper := range response.Changed {
		r.addWrapped(wrapper)
	}
	for _, name := range response.Removed { // may name resources that are unknown
		delete(r.next, name)
	}
	return r.next, r.problems.err()
}

// addAny reads a resource of a state-of-the-world response. It may be wrapped in a Resource to give it a time to
// live.
func (r *responseReader) addAny(body *anypb.Any) {
	if body.GetTypeUrl() != wrapperType {
		r.add("", body, 0)
		return
	}
	wrapper := &discoveryv3.Resource{}
	if err := body.UnmarshalTo(wrapper); err != nil {
		r.problems.addError("a resource", "%v", err)
		return
	}
	r.addWrapped(wrapper)
}

// addWrapped reads a Resource, which has a name and may have a time to live.
func (r *responseReader) addWrapped(wrapper *discoveryv3.Resource) {
	r.add(wrapper.GetName(), wrapper.GetResource(), wrapper.GetTtl().AsDuration())
}

// add reads a resource. The name is empty if only the body has it. A resource without a body is a heartbeat.
func (r *responseReader) add(name string, body *anypb.Any, ttl time.Duration) {
	res := &resource{receivedAt: r.now}
	if ttl > 0 {
		res.expiresAt = r.now + int64(ttl)
	}
	if body == nil {
		r.addHeartbeat(name, res)
		return
	}
	if err := r.parse(body, res); err != nil {
		r.problems.addError(fmt.Sprintf("resource %q", name), "%v", err)
		return
	}
	if name != "" && name != res.name {
		r.problems.addError(fmt.Sprintf("resource %q", name), "its body has the name %q", res.name)
	} else if r.seen[res.name] {
		r.problems.addError(fmt.Sprintf("resource %q", res.name), "it appears twice in the response")
	}
	r.seen[res.name] = true
	if !r.session.subscribesTo(r.sub, res.name) {
		r.out.addNote(fmt.Sprintf("%s %q ignored: not subscribed", typeName(r.sub.typeURL), res.name))
		return
	}
	r.next[res.name] = res
}

// addHeartbeat renews the time to live of a resource and keeps its content.
func (r *responseReader) addHeartbeat(name string, res *resource) {
	old := r.old[name]
	if old == nil {
		r.out.addNote(fmt.Sprintf("heartbeat for unknown resource %q ignored", name))
		return
	}
	res.name, res.body, res.cluster, res.assignment = name, old.body, old.cluster, old.assignment
	r.next[name] = res
}

// parse reads a resource's body. If a resource in force has the same body, its parsed content is reused.
func (r *responseReader) parse(body *anypb.Any, res *resource) error {
	value := body.GetValue()
	res.body = value
	same := r.byHash[xxhash.Sum64(value)]
	if same != nil && bytes.Equal(same.body, value) && body.GetTypeUrl() == r.sub.typeURL {
		res.name, res.cluster, res.assignment = same.name, same.cluster, same.assignment
		return nil
	}
	if body.GetTypeUrl() != r.sub.typeURL {
		return fmt.Errorf("it has type %q instead of %q", body.GetTypeUrl(), r.sub.typeURL)
	}
	if r.sub.typeURL == ClusterType {
		return res.parseCluster(value)
	}
	return res.parseAssignment(value)
}

func (res *resource) parseCluster(body []byte) error {
	m := &clusterv3.Cluster{}
	if err := proto.Unmarshal(body, m); err != nil {
		return err
	}
	c, err := ReadCluster(m)
	res.name, res.cluster = c.Name, c
	return err
}

func (res *resource) parseAssignment(body []byte) error {
	m := &endpointv3.ClusterLoadAssignment{}
	if err := proto.Unmarshal(body, m); err != nil {
		return err
	}
	a, err := ReadAssignment(m)
	res.name, res.assignment = a.Name, a
	return err
}
