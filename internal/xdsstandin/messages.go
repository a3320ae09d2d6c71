package xdsstandin

import (
	"net"
	"strconv"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
)

const typeURLPrefix = "type.googleapis.com/"

// Keys of an endpoint's metadata.
const (
	metadataShard     = "shard"
	metadataStartedAt = "born"
)

// pack wraps a message in an Any. The encoding is deterministic, so that equal messages have equal bytes.
func pack(message proto.Message) *anypb.Any {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err) // all messages are built in this package or by tests, and can be encoded
	}
	return &anypb.Any{TypeUrl: typeURLPrefix + string(message.ProtoReflect().Descriptor().FullName()), Value: value}
}

// protoTTL returns the protobuf form of a time to live, or nil if it is 0.
func protoTTL(ttl time.Duration) *durationpb.Duration {
	if ttl == 0 {
		return nil
	}
	return durationpb.New(ttl)
}

// Cluster returns an EDS cluster whose endpoints are sent on the same aggregated stream.
func Cluster(name string) *clusterv3.Cluster {
	sameStream := &corev3.ConfigSource{
		ResourceApiVersion:    corev3.ApiVersion_V3,
		ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}},
	}
	return &clusterv3.Cluster{
		Name:                 name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: sameStream},
	}
}

var healthStatuses = map[endpoint.Health]corev3.HealthStatus{
	endpoint.Ready:     corev3.HealthStatus_HEALTHY,
	endpoint.Draining:  corev3.HealthStatus_DRAINING,
	endpoint.Unhealthy: corev3.HealthStatus_UNHEALTHY,
}

// Assignment returns a cluster's nodes as endpoints, grouped by zone and priority. Removed nodes are omitted.
func Assignment(name string, nodes []endpoint.Node) *endpointv3.ClusterLoadAssignment {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	type localityKey struct {
		zone     string
		priority int
	}
	localities := map[localityKey]*endpointv3.LocalityLbEndpoints{}
	for _, node := range nodes {
		if node.Health == endpoint.Removed {
			continue
		}
		key := localityKey{node.Zone, node.Priority}
		locality := localities[key]
		if locality == nil {
			locality = &endpointv3.LocalityLbEndpoints{
				Locality: &corev3.Locality{Zone: node.Zone},
				Priority: uint32(node.Priority),
			}
			localities[key] = locality
			assignment.Endpoints = append(assignment.Endpoints, locality)
		}
		locality.LbEndpoints = append(locality.LbEndpoints, Endpoint(node))
	}
	return assignment
}

// Endpoint returns a node as an endpoint. A port that cannot be parsed becomes 0.
func Endpoint(node endpoint.Node) *endpointv3.LbEndpoint {
	message := &endpointv3.LbEndpoint{
		HealthStatus: healthStatuses[node.Health],
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{
			Endpoint: &endpointv3.Endpoint{Hostname: node.Name, Address: socketAddress(node.Addr)},
		},
		Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{xds.MetadataKey: metadata(node)}},
	}
	if node.Weight > 0 {
		message.LoadBalancingWeight = wrapperspb.UInt32(uint32(node.Weight))
	}
	return message
}

func socketAddress(address string) *corev3.Address {
	host, portText, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(portText)
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address:       host,
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(port)},
	}}}
}

func metadata(node endpoint.Node) *structpb.Struct {
	fields := map[string]*structpb.Value{metadataShard: structpb.NewNumberValue(float64(node.Shard))}
	if node.StartedAt > 0 {
		startedAt := time.Unix(0, node.StartedAt).UTC().Format(time.RFC3339Nano)
		fields[metadataStartedAt] = structpb.NewStringValue(startedAt)
	}
	return &structpb.Struct{Fields: fields}
}
