// Package xdsstandin is a small xDS management server for tests, scenarios and demonstrations: it serves nodes as
// clusters and endpoints over aggregated streams, state-of-the-world and incremental, and has faults on command.
//
// A Server owns its nodes, resources and streams, all under one lock. Each stream has two goroutines: one receives
// requests, and one waits for what has to be sent.
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

// Largest messages, in bytes.
const (
	maxReceivedSize = 64 << 20
	maxSentSize     = 1 << 30
)

// resourceTypes are the types that are served, in the order in which a stream gets them.
var resourceTypes = []string{xds.ClusterType, xds.EndpointType}

// Server is a running management server.
type Server struct {
	clusterCount int // clusters that the nodes are spread over, by their shards

	lock         sync.Mutex // guards what follows
	changed      *sync.Cond // something changed, or a client has acknowledged
	address      string
	grpcServer   *grpc.Server
	nodes        []endpoint.Node
	resources    resourcesByType
	versions     map[string]int // by type
	lastVersions map[string]int // the largest version given to anything of a type
	history      []snapshot     // what was served before, the latest last
	acks         []Ack
	streams      map[*stream]bool
	openedCount  int // of streams
	faults       faults
}

// faults are the faults in force.
type faults struct {
	delay         time.Duration // before each response
	refuseStreams bool
	sameNonce     bool // all responses have one nonce
	silent        bool // nothing is sent
}

// Start starts a server that serves nodes in so many clusters, called storage or storage-0, storage-1 ...
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

// Addr returns the address that it serves at.
func (s *Server) Addr() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.address
}

// Close stops it and ends all streams.
func (s *Server) Close() {
	s.lock.Lock()
	grpcServer := s.grpcServer
	s.lock.Unlock()
	grpcServer.Stop()
	s.changed.Broadcast()
}

// Restart stops it and starts it at the same address, with versions that begin anew.
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

// UpdateNodes changes the nodes. change gets a copy.
func (s *Server) UpdateNodes(change func([]endpoint.Node) []endpoint.Node) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.nodes = change(slices.Clone(s.nodes))
	s.rebuild()
}

// Nodes returns the nodes as they are served.
func (s *Server) Nodes() []endpoint.Node {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.nodes)
}

// clusterName is the name of a cluster.
func (s *Server) clusterName(index int) string {
	if s.clusterCount == 1 {
		return "storage"
	}
	return "storage-" + strconv.Itoa(index)
}
