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

// responseReader reads a response into resources of its own, so that nothing of one with an error counts.
type responseReader struct {
	session *Session
	sub     *subscription
	now     int64
	out     *Outcome
	old     resources            // in force
	bySum   map[uint64]*resource // those by a hash of their bodies
	next    resources            // with the response
	seen    map[string]bool
	reading reading
}

// read returns the resources that are in force once a response is accepted, or what is wrong with it.
func (s *Session) read(now int64, sub *subscription, response Response, out *Outcome) (resources, error) {
	old := s.inForce(sub)
	r := &responseReader{
		session: s,
		sub:     sub,
		now:     now,
		out:     out,
		old:     old,
		bySum:   make(map[uint64]*resource, len(old)),
		next:    resources{},
		seen:    map[string]bool{},
	}
	if s.incremental || sub == &s.endpointSub { // a resource that the response leaves out stays
		r.next = maps.Clone(old)
	}
	for _, res := range old {
		r.bySum[xxhash.Sum64(res.body)] = res
	}
	for _, body := range response.Resources {
		r.addAny(body)
	}
	for _, wrapper := range response.Changed {
		r.addWrapped(wrapper)
	}
	for _, name := range response.Removed { // that may be one that was never there
		delete(r.next, name)
	}
	return r.next, r.reading.err()
}

// addAny reads a resource of the state of the world, which may be wrapped to have a time to live.
func (r *responseReader) addAny(body *anypb.Any) {
	if body.GetTypeUrl() != wrapperType {
		r.add("", body, 0)
		return
	}
	wrapper := &discoveryv3.Resource{}
	if err := body.UnmarshalTo(wrapper); err != nil {
		r.reading.addError("a resource", "%v", err)
		return
	}
	r.addWrapped(wrapper)
}

func (r *responseReader) addWrapped(wrapper *discoveryv3.Resource) {
	r.add(wrapper.GetName(), wrapper.GetResource(), wrapper.GetTtl().AsDuration())
}

// add reads a resource. Its name is empty if it only has the one that it gives itself; without a body it is a
// heartbeat.
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
		r.reading.addError(fmt.Sprintf("resource %q", name), "%v", err)
		return
	}
	if name != "" && name != res.name {
		r.reading.addError(fmt.Sprintf("resource %q", name), "it calls itself %q", res.name)
	} else if r.seen[res.name] {
		r.reading.addError(fmt.Sprintf("resource %q", res.name), "it is there twice")
	}
	r.seen[res.name] = true
	if !r.session.wants(r.sub, res.name) {
		r.out.addNote(fmt.Sprintf("%s %q ignored: not subscribed", typeName(r.sub.typeURL), res.name))
		return
	}
	r.next[res.name] = res
}

// addHeartbeat renews a resource, which is as it was.
func (r *responseReader) addHeartbeat(name string, res *resource) {
	old := r.old[name]
	if old == nil {
		r.out.addNote(fmt.Sprintf("heartbeat of unknown resource %q ignored", name))
		return
	}
	res.name, res.body, res.cluster, res.assignment = name, old.body, old.cluster, old.assignment
	r.next[name] = res
}

// parse reads a resource's body, unless it is the same as that of one in force.
func (r *responseReader) parse(body *anypb.Any, res *resource) error {
	value := body.GetValue()
	res.body = value
	same := r.bySum[xxhash.Sum64(value)]
	if same != nil && bytes.Equal(same.body, value) && body.GetTypeUrl() == r.sub.typeURL {
		res.name, res.cluster, res.assignment = same.name, same.cluster, same.assignment
		return nil
	}
	if body.GetTypeUrl() != r.sub.typeURL {
		return fmt.Errorf("it has type %q, %q was asked for", body.GetTypeUrl(), r.sub.typeURL)
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
