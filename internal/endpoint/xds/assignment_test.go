package xds_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

var twoNodes = []endpoint.Node{
	{Addr: "127.0.0.1:7000", Name: "first", Zone: "a", Shard: 0, Weight: 3, StartedAt: 1_700_000_000_123_456_789},
	{Addr: "[::1]:7001", Zone: "b", Shard: 1, Health: endpoint.Draining, Priority: 1},
}

// A valid assignment is converted to nodes. A field without effect gives a note.
func TestAssignmentIsReadAsNodes(t *testing.T) {
	a, err := xds.ReadAssignment(xdsstandin.Assignment("storage", twoNodes))
	if err != nil || !reflect.DeepEqual(a.Nodes, twoNodes) || len(a.Notes) > 0 {
		t.Errorf("got assignment %+v, error %v; want the nodes of twoNodes and no notes", a, err)
	}
	m := xdsstandin.Assignment("storage", twoNodes)
	m.Policy = dropPolicy(0)
	m.Policy.EndpointStaleAfter = durationpb.New(time.Minute)
	m.Policy.OverprovisioningFactor = wrapperspb.UInt32(140)
	m.Endpoints[0].LoadBalancingWeight = wrapperspb.UInt32(2)
	m.Endpoints[0].Locality = &corev3.Locality{Region: "r", SubZone: "rack"}
	a, err = xds.ReadAssignment(m)
	if err != nil || a.StaleAfter != time.Minute || a.Nodes[0].Zone != "r/rack" || len(a.Notes) != 1 {
		t.Errorf("got assignment %+v, error %v; want StaleAfter 1m, zone r/rack and one note", a, err)
	}
}

func TestHealthStatusIsReadAsHealth(t *testing.T) {
	for status, want := range map[corev3.HealthStatus]endpoint.Health{
		corev3.HealthStatus_UNKNOWN:   endpoint.Ready,
		corev3.HealthStatus_HEALTHY:   endpoint.Ready,
		corev3.HealthStatus_DEGRADED:  endpoint.Ready,
		corev3.HealthStatus_DRAINING:  endpoint.Draining,
		corev3.HealthStatus_UNHEALTHY: endpoint.Unhealthy,
		corev3.HealthStatus_TIMEOUT:   endpoint.Unhealthy,
	} {
		m := xdsstandin.Assignment("storage", twoNodes)
		m.Endpoints[0].LbEndpoints[0].HealthStatus = status
		if a, err := xds.ReadAssignment(m); err != nil || a.Nodes[0].Health != want {
			t.Errorf("status %v: got assignment %+v, error %v; want the health of that status", status, a, err)
		}
	}
}

// assignmentMessage is a message for a test to make invalid.
type assignmentMessage = endpointv3.ClusterLoadAssignment

// lbEndpoint returns the first endpoint of a message.
func lbEndpoint(a *assignmentMessage) *endpointv3.LbEndpoint { return a.Endpoints[0].LbEndpoints[0] }

// socketAddress returns the address of the first endpoint of a message.
func socketAddress(a *assignmentMessage) *corev3.SocketAddress {
	return lbEndpoint(a).GetEndpoint().Address.GetSocketAddress()
}

// ownMetadata returns the fields under MetadataKey of the first endpoint of a message.
func ownMetadata(a *assignmentMessage) map[string]*structpb.Value {
	return lbEndpoint(a).Metadata.FilterMetadata[xds.MetadataKey].Fields
}

// wantInvalidAssignment fails the test unless reading a message changed by modify gives an error that contains the
// text.
func wantInvalidAssignment(t *testing.T, text string, modify func(*assignmentMessage)) {
	t.Helper()
	a := proto.Clone(xdsstandin.Assignment("storage", twoNodes)).(*assignmentMessage)
	modify(a)
	if _, err := xds.ReadAssignment(a); err == nil || !strings.Contains(err.Error(), text) {
		t.Errorf("want an error with: %s; got: %v", text, err)
	}
}

// Each field of an assignment that is invalid, or requests unsupported behaviour, gives an error that names it.
func TestInvalidAssignmentIsRejected(t *testing.T) {
	for text, modify := range map[string]func(*assignmentMessage){
		"cluster_name is empty": func(a *assignmentMessage) { a.ClusterName = "" },
		"named_endpoints is not supported": func(a *assignmentMessage) {
			a.NamedEndpoints = map[string]*endpointv3.Endpoint{"x": {}}
		},
		"message is empty":                        func(a *assignmentMessage) { a.Endpoints[0] = nil },
		"priority 0 is missing":                   func(a *assignmentMessage) { a.Endpoints[0].Priority = 1 },
		"priority 129 exceeds the maximum of 128": func(a *assignmentMessage) { a.Endpoints[0].Priority = 129 },
		"proximity is not supported":              func(a *assignmentMessage) { a.Endpoints[0].Proximity = wrapperspb.UInt32(1) },
		"leds_cluster_locality_config is not supported": func(a *assignmentMessage) {
			a.Endpoints[0].LbConfig = &endpointv3.LocalityLbEndpoints_LedsClusterLocalityConfig{}
		},
		"drop_overloads \"x\" drops 5": func(a *assignmentMessage) { a.Policy = dropPolicy(5) },
		"overprovisioning_factor 100": func(a *assignmentMessage) {
			a.Policy = &endpointv3.ClusterLoadAssignment_Policy{OverprovisioningFactor: wrapperspb.UInt32(100)}
		},
		"endpoint_stale_after -1s": func(a *assignmentMessage) {
			a.Policy = &endpointv3.ClusterLoadAssignment_Policy{EndpointStaleAfter: durationpb.New(-time.Second)}
		},
		"weighted_priority_health is not": func(a *assignmentMessage) {
			a.Policy = &endpointv3.ClusterLoadAssignment_Policy{WeightedPriorityHealth: true}
		},
	} {
		wantInvalidAssignment(t, text, modify)
	}
}

// invalidEndpoints holds changes that each make an endpoint invalid. The keys are texts that the error must contain.
var invalidEndpoints = map[string]func(*assignmentMessage){
	"endpoint is empty": func(a *assignmentMessage) { a.Endpoints[0].LbEndpoints[0] = &endpointv3.LbEndpoint{} },
	"endpoint_name is not supported": func(a *assignmentMessage) {
		lbEndpoint(a).HostIdentifier = &endpointv3.LbEndpoint_EndpointName{EndpointName: "x"}
	},
	"duplicate address 127.0.0.1:7000": func(a *assignmentMessage) {
		a.Endpoints[0].LbEndpoints = append(a.Endpoints[0].LbEndpoints, lbEndpoint(a))
	},
	"unknown health_status 77": func(a *assignmentMessage) { lbEndpoint(a).HealthStatus = 77 },
	"load_balancing_weight 0": func(a *assignmentMessage) {
		lbEndpoint(a).LoadBalancingWeight = wrapperspb.UInt32(0)
	},
	"has no address": func(a *assignmentMessage) { lbEndpoint(a).GetEndpoint().Address = nil },
	"pipe is not supported": func(a *assignmentMessage) {
		lbEndpoint(a).GetEndpoint().Address.Address = &corev3.Address_Pipe{Pipe: &corev3.Pipe{Path: "/x"}}
	},
	"health_check_config is not": func(a *assignmentMessage) {
		lbEndpoint(a).GetEndpoint().HealthCheckConfig = &endpointv3.Endpoint_HealthCheckConfig{PortValue: 1}
	},
	"additional_addresses is not": func(a *assignmentMessage) {
		lbEndpoint(a).GetEndpoint().AdditionalAddresses = []*endpointv3.Endpoint_AdditionalAddress{{}}
	},
	"protocol UDP":                  func(a *assignmentMessage) { socketAddress(a).Protocol = corev3.SocketAddress_UDP },
	"\"node.example\" is not an IP": func(a *assignmentMessage) { socketAddress(a).Address = "node.example" },
	"\"\" is not an IP":             func(a *assignmentMessage) { socketAddress(a).Address = "" },
	"port_value 0": func(a *assignmentMessage) {
		socketAddress(a).PortSpecifier = &corev3.SocketAddress_PortValue{}
	},
	"port_value 70000": func(a *assignmentMessage) {
		socketAddress(a).PortSpecifier = &corev3.SocketAddress_PortValue{PortValue: 70000}
	},
	"named_port is not supported": func(a *assignmentMessage) {
		socketAddress(a).PortSpecifier = &corev3.SocketAddress_NamedPort{NamedPort: "x"}
	},
	"resolver_name is not supported": func(a *assignmentMessage) { socketAddress(a).ResolverName = "x" },
	"metadata has no \"irispost\"":   func(a *assignmentMessage) { lbEndpoint(a).Metadata = nil },
	"unknown metadata field irispost.colour": func(a *assignmentMessage) {
		ownMetadata(a)["colour"] = structpb.NewNumberValue(1)
	},
	"irispost.shard is not a number": func(a *assignmentMessage) {
		ownMetadata(a)["shard"] = structpb.NewStringValue("1")
	},
	"irispost.shard is -1": func(a *assignmentMessage) {
		ownMetadata(a)["shard"] = structpb.NewNumberValue(-1)
	},
	"irispost.shard is 0.5": func(a *assignmentMessage) {
		ownMetadata(a)["shard"] = structpb.NewNumberValue(0.5)
	},
	"irispost.shard is 65536": func(a *assignmentMessage) {
		ownMetadata(a)["shard"] = structpb.NewNumberValue(65536)
	},
	"irispost.shard is NaN": func(a *assignmentMessage) {
		ownMetadata(a)["shard"] = structpb.NewNumberValue(nan)
	},
	"irispost.born is not an RFC 3339 time": func(a *assignmentMessage) {
		ownMetadata(a)["born"] = structpb.NewStringValue("yesterday")
	},
	"has an unknown field": func(a *assignmentMessage) {
		socketAddress(a).ProtoReflect().SetUnknown([]byte{0xf8, 0x7f, 1})
	},
	"and 1 more": func(a *assignmentMessage) {
		ownMetadata(a)["a"], ownMetadata(a)["b"], ownMetadata(a)["c"] = nil, nil, nil
		addInvalidEndpoints(a)
	},
}

// Each field of an endpoint that is invalid, or requests unsupported behaviour, gives an error that names it.
func TestInvalidEndpointIsRejected(t *testing.T) {
	for text, modify := range invalidEndpoints {
		wantInvalidAssignment(t, text, modify)
	}
}

var nan = func() float64 { zero := 0.0; return zero / zero }()

// dropPolicy returns a policy that drops a percentage of the requests.
func dropPolicy(percent uint32) *endpointv3.ClusterLoadAssignment_Policy {
	overload := &endpointv3.ClusterLoadAssignment_Policy_DropOverload{
		Category:       "x",
		DropPercentage: &typev3.FractionalPercent{Numerator: percent},
	}
	return &endpointv3.ClusterLoadAssignment_Policy{
		DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{overload},
	}
}

// addInvalidEndpoints adds eight invalid endpoints, each of which gives an error.
func addInvalidEndpoints(a *endpointv3.ClusterLoadAssignment) {
	for range 8 {
		a.Endpoints[0].LbEndpoints = append(a.Endpoints[0].LbEndpoints, &endpointv3.LbEndpoint{})
	}
}

// Random bytes are read or rejected, without a panic and without an out-of-range value in a node.
func FuzzAssignment(f *testing.F) {
	valid, err := proto.Marshal(xdsstandin.Assignment("storage", twoNodes))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &endpointv3.ClusterLoadAssignment{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		a, err := xds.ReadAssignment(m)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, n := range a.Nodes {
			if n.Addr == "" || seen[n.Addr] || n.StartedAt < 0 || n.Priority < 0 || n.Health > endpoint.Unhealthy {
				t.Errorf("node with an empty or duplicate address, or an out-of-range value: %+v", n)
			}
			if n.Shard < 0 || n.Shard >= 1<<16 {
				t.Errorf("shard %d is out of range", n.Shard)
			}
			seen[n.Addr] = true
		}
	})
}
