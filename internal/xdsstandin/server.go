// Package xdsstandin is a small xDS management server for tests, days and demonstrations: it serves nodes as clusters and
// endpoints over aggregated streams, whole and incremental, and misbehaves in the ways that it is told to.
package xdsstandin

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
)

// Ack is a client's word on an update.
type Ack struct {
	Client  string // Node.id
	Type    string
	Version string // whole form: that the client has in force
	Nonce   string
	Refusal string // empty: accepted
}

// entry is a resource with its version.
type entry struct {
	version int
	body    *anypb.Any
	ttl     time.Duration
}

// Server is a running stand-in.
type Server struct {
	lock      sync.Mutex
	cond      *sync.Cond // something changed, or somebody answered
	addr      string
	grpc      *grpc.Server
	nodes     []endpoint.Node
	parts     int // clusters that the nodes are spread over
	resources map[string]map[string]entry
	versions  map[string]int // by type
	seen      map[string]int // largest version given to anything of a type, so that a restart can begin anew
	earlier   []state
	answers   []Ack
	streams   map[*client]bool
	opened    int
	fault     faults
}

// state is what was served at a time.
type state struct {
	resources map[string]map[string]entry
	versions  map[string]int
}

// faults are the troubles in force.
type faults struct {
	slow   time.Duration // before each answer
	refuse bool          // streams
	nonce  bool          // one and the same nonce for all answers
	muted  bool          // nothing goes out
}

// Start starts a stand-in that serves nodes in so many clusters, called storage or storage-0, storage-1 ...
func Start(addr string, parts int, nodes ...endpoint.Node) (*Server, error) {
	s := &Server{parts: max(parts, 1), nodes: nodes, streams: map[*client]bool{}, versions: map[string]int{}, seen: map[string]int{},
		resources: map[string]map[string]entry{xds.ClusterType: {}, xds.EndpointType: {}}}
	s.cond = sync.NewCond(&s.lock)
	s.lock.Lock()
	s.build()
	s.lock.Unlock()
	return s, s.listen(addr)
}

func (s *Server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	g := grpc.NewServer(grpc.MaxRecvMsgSize(64<<20), grpc.MaxSendMsgSize(1<<30))
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(g, s)
	s.lock.Lock()
	s.addr, s.grpc = l.Addr().String(), g
	s.lock.Unlock()
	go func() { _ = g.Serve(l) }()
	return nil
}

// Addr is the address that it serves at.
func (s *Server) Addr() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.addr
}

// Close stops it.
func (s *Server) Close() {
	s.lock.Lock()
	g := s.grpc
	s.lock.Unlock()
	g.Stop()
	s.cond.Broadcast()
}

// Restart stops it and starts it at the same address, with versions begun anew.
func (s *Server) Restart() error {
	s.Close()
	s.lock.Lock()
	clear(s.versions)
	clear(s.seen)
	for kind := range s.resources {
		s.resources[kind] = map[string]entry{}
	}
	s.earlier = nil
	s.build()
	addr := s.addr
	s.lock.Unlock()
	return s.listen(addr)
}

// UpdateNodes changes the nodes.
func (s *Server) UpdateNodes(change func([]endpoint.Node) []endpoint.Node) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.nodes = change(slices.Clone(s.nodes))
	s.build()
}

// name is a cluster's.
func (s *Server) name(part int) string {
	if s.parts == 1 {
		return "storage"
	}
	return "storage-" + strconv.Itoa(part)
}

// build makes the resources of the nodes; the lock is held.
func (s *Server) build() {
	next := map[string]map[string]proto.Message{xds.ClusterType: {}, xds.EndpointType: {}}
	for part := range s.parts {
		var mine []endpoint.Node
		for _, n := range s.nodes {
			if n.Shard%s.parts == part {
				mine = append(mine, n)
			}
		}
		name := s.name(part)
		next[xds.ClusterType][name] = Cluster(name)
		next[xds.EndpointType][name] = Assignment(name, mine)
	}
	s.put(next)
}

// put makes these the resources, with new versions for what differs; the lock is held.
func (s *Server) put(next map[string]map[string]proto.Message) {
	s.remember()
	for kind, list := range next {
		now, changed := s.resources[kind], false
		for name, m := range list {
			body := pack(m)
			if old, there := now[name]; there && old.ttl == 0 && proto.Equal(old.body, body) {
				continue
			}
			now[name], changed = entry{s.seen[kind] + 1, body, 0}, true
		}
		for name := range now {
			if list[name] == nil {
				delete(now, name)
				changed = true
			}
		}
		if changed {
			s.seen[kind]++
			s.versions[kind] = s.seen[kind]
		}
	}
	s.cond.Broadcast()
}

// remember notes what is served; the lock is held.
func (s *Server) remember() {
	s.earlier = append(s.earlier, state{map[string]map[string]entry{xds.ClusterType: maps.Clone(s.resources[xds.ClusterType]),
		xds.EndpointType: maps.Clone(s.resources[xds.EndpointType])}, maps.Clone(s.versions)})
	if len(s.earlier) > 16 {
		s.earlier = s.earlier[1:]
	}
}

// Revert goes back to what was served before the last change, with the versions that it had, and cuts the streams: as a
// replica does that lags behind.
func (s *Server) Revert() {
	s.lock.Lock()
	if n := len(s.earlier); n > 0 {
		s.resources, s.versions = s.earlier[n-1].resources, s.earlier[n-1].versions
		s.earlier = s.earlier[:n-1]
	}
	s.lock.Unlock()
	s.CutStreams()
}

// SendUnrequested sends all resources of a type to each stream, whether it wants them or not.
func (s *Server) SendUnrequested(kind string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.streams {
		c.blurt = kind
	}
	s.cond.Broadcast()
}

func pack(m proto.Message) *anypb.Any {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // a message of our own that cannot be written
	}
	return &anypb.Any{TypeUrl: "type.googleapis.com/" + string(m.ProtoReflect().Descriptor().FullName()), Value: b}
}

// Cluster is a cluster whose endpoints come on the same stream.
func Cluster(name string) *clusterv3.Cluster {
	return &clusterv3.Cluster{Name: name, ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{EdsConfig: &corev3.ConfigSource{
			ResourceApiVersion: corev3.ApiVersion_V3, ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}}}
}

var statuses = map[endpoint.Health]corev3.HealthStatus{endpoint.Ready: corev3.HealthStatus_HEALTHY, endpoint.Draining: corev3.HealthStatus_DRAINING,
	endpoint.Unhealthy: corev3.HealthStatus_UNHEALTHY}

// Assignment is a cluster's nodes as endpoints. One that is gone is left out.
func Assignment(name string, nodes []endpoint.Node) *endpointv3.ClusterLoadAssignment {
	a := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	type place struct {
		zone     string
		priority int
	}
	at := map[place]*endpointv3.LocalityLbEndpoints{}
	for _, n := range nodes {
		if n.Health == endpoint.Removed {
			continue
		}
		l := at[place{n.Zone, n.Priority}]
		if l == nil {
			l = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: n.Zone}, Priority: uint32(n.Priority)}
			at[place{n.Zone, n.Priority}] = l
			a.Endpoints = append(a.Endpoints, l)
		}
		l.LbEndpoints = append(l.LbEndpoints, Endpoint(n))
	}
	return a
}

// Endpoint is a node as an endpoint.
func Endpoint(n endpoint.Node) *endpointv3.LbEndpoint {
	host, port, _ := net.SplitHostPort(n.Addr)
	number, _ := strconv.Atoi(port)
	own := map[string]*structpb.Value{"shard": structpb.NewNumberValue(float64(n.Shard))}
	if n.StartedAt > 0 {
		own["born"] = structpb.NewStringValue(time.Unix(0, n.StartedAt).UTC().Format(time.RFC3339Nano))
	}
	e := &endpointv3.LbEndpoint{HealthStatus: statuses[n.Health],
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Hostname: n.Name, Address: &corev3.Address{
			Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: host,
				PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(number)}}}}}},
		Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{xds.MetadataKey: {Fields: own}}}}
	if n.Weight > 0 {
		e.LoadBalancingWeight = wrapperspb.UInt32(uint32(n.Weight))
	}
	return e
}

// PutResources puts resources of a type in force as they are, right or wrong; those that it does not name stay. A message of nil
// removes one.
func (s *Server) PutResources(kind string, list map[string]proto.Message) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.remember()
	s.seen[kind]++
	s.versions[kind] = s.seen[kind]
	for name, m := range list {
		if m == nil {
			delete(s.resources[kind], name)
			continue
		}
		body, raw := m.(*anypb.Any)
		if !raw {
			body = pack(m)
		}
		s.resources[kind][name] = entry{s.seen[kind], body, 0}
	}
	s.cond.Broadcast()
}

// SetTTL gives all resources of a type a time to live. Those that are renewed get signs of life.
func (s *Server) SetTTL(kind string, ttl time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.seen[kind]++
	s.versions[kind] = s.seen[kind]
	for name, e := range s.resources[kind] {
		e.ttl, e.version = ttl, s.seen[kind]
		s.resources[kind][name] = e
	}
	s.cond.Broadcast()
}

// SendHeartbeats sends signs of life of all resources of a type to each stream.
func (s *Server) SendHeartbeats(kind string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.streams {
		c.beat = kind
	}
	s.cond.Broadcast()
}

// Acks are the clients' words so far.
func (s *Server) Acks() []Ack {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.answers)
}

// WaitForAcks waits until a condition holds of the clients' words.
func (s *Server) WaitForAcks(within time.Duration, holds func([]Ack) bool) error {
	late := time.AfterFunc(within, func() { s.lock.Lock(); s.cond.Broadcast(); s.lock.Unlock() })
	defer late.Stop()
	end := time.Now().Add(within)
	s.lock.Lock()
	defer s.lock.Unlock()
	for !holds(s.answers) {
		if time.Now().After(end) {
			return fmt.Errorf("it does not come about within %v: %+v", within, s.answers)
		}
		s.cond.Wait()
	}
	return nil
}

// Streams tells how many streams are open, and how many were opened.
func (s *Server) Streams() (open, opened int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.streams), s.opened
}

// durationOf is a time to live as the wire has it; none where there is none.
func durationOf(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}
