// Package xdsstandin implements a small xDS management server for tests, scenarios and demonstrations. It serves nodes
// as clusters and endpoints over aggregated streams, in both the state-of-the-world and the incremental variant, and
// injects faults on command.
//
// A Server owns its nodes, resources and streams, which one lock guards. Each stream has two goroutines: one receives
// requests, the other waits until a response is due and sends it.
package xdsstandin

import (
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
)

// Largest gRPC messages, in bytes.
const (
	maxReceivedSize = 64 << 20
	maxSentSize     = 1 << 30
)

// resourceTypes lists the types that are served, in the order in which they are sent on a stream.
var resourceTypes = []string{xds.ClusterType, xds.EndpointType}

// Server is a running management server.
type Server struct {
	clusterCount int // a node belongs to the cluster with the index shard % clusterCount

	lock         sync.Mutex // guards the fields below
	changed      *sync.Cond // signals changes of the fields below, and acknowledgements
	address      string
	grpcServer   *grpc.Server
	nodes        []endpoint.Node
	resources    resourcesByType
	versions     map[string]int // by type: the version that is served
	lastVersions map[string]int // by type: the latest version that was assigned
	history      []snapshot     // earlier states, oldest first
	acks         []Ack
	streams      map[*stream]bool
	openedCount  int // number of streams opened since the start
	faults       faults
}

// faults holds the faults that are injected.
type faults struct {
	delay         time.Duration // before each response
	refuseStreams bool          // new streams fail
	sameNonce     bool          // all responses have the same nonce
	silent        bool          // no responses are sent
}

// Start starts a server that serves nodes in the given number of clusters. A single cluster is named storage; several
// are named storage-0, storage-1 and so on.
func Start(address string, clusters int, nodes ...endpoint.Node) (*Server, error) {
	s := &Server{
		clusterCount: max(clusters, 1),
		nodes:        nodes,
		streams:      map[*stream]bool{},
		versions:     map[string]int{},
		lastVersions: map[string]int{},
		resources:    newResources(),
	}
	s.changed = sync.NewCond(&s.lock)
	s.lock.Lock()
	s.rebuild()
	s.lock.Unlock()
	return s, s.listen(address)
}

func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	grpcServer := grpc.NewServer(grpc.MaxRecvMsgSize(maxReceivedSize), grpc.MaxSendMsgSize(maxSentSize))
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(grpcServer, s)
	s.lock.Lock()
	s.address = listener.Addr().String()
	s.grpcServer = grpcServer
	s.lock.Unlock()
	go func() { _ = grpcServer.Serve(listener) }() // it returns when the server is stopped
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.address
}

// Close stops the server and ends all streams.
func (s *Server) Close() {
	s.lock.Lock()
	grpcServer := s.grpcServer
	s.lock.Unlock()
	grpcServer.Stop()
	s.changed.Broadcast()
}

// Restart stops the server and starts it again at the same address. Versions start from the beginning.
func (s *Server) Restart() error {
	s.Close()
	s.lock.Lock()
	clear(s.versions)
	clear(s.lastVersions)
	for resourceType := range s.resources {
		s.resources[resourceType] = map[string]resource{}
	}
	s.history = nil
	s.rebuild()
	address := s.address
	s.lock.Unlock()
	return s.listen(address)
}

// UpdateNodes replaces the nodes by the result of change, which receives a copy of them.
func (s *Server) UpdateNodes(change func([]endpoint.Node) []endpoint.Node) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.nodes = change(slices.Clone(s.nodes))
	s.rebuild()
}

// Nodes returns a copy of the nodes, including removed ones.
func (s *Server) Nodes() []endpoint.Node {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.nodes)
}

// clusterName returns the name of the cluster with an index.
func (s *Server) clusterName(index int) string {
	if s.clusterCount == 1 {
		return "storage"
	}
	return "storage-" + strconv.Itoa(index)
}
