package xds_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
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

var two = []endpoint.Node{{Addr: "127.0.0.1:7000", Name: "first", Zone: "a", Shard: 0, Weight: 3, StartedAt: 1_700_000_000_123_456_789},
	{Addr: "[::1]:7001", Zone: "b", Shard: 1, Health: endpoint.Draining, Priority: 1}}

// What an assignment says comes out as nodes.
func TestMapping(t *testing.T) {
	a, err := xds.ReadAssignment(xdsstandin.Assignment("storage", two))
	if err != nil || !reflect.DeepEqual(a.Nodes, two) || len(a.Notes) > 0 {
		t.Errorf("%+v, %v", a, err)
	}
	c, err := xds.ReadCluster(xdsstandin.Cluster("storage"))
	if err != nil || c.ServiceName != "storage" || c.Inline != nil {
		t.Errorf("%+v, %v", c, err)
	}
	for status, want := range map[corev3.HealthStatus]endpoint.Health{corev3.HealthStatus_UNKNOWN: endpoint.Ready, corev3.HealthStatus_HEALTHY: endpoint.Ready,
		corev3.HealthStatus_DEGRADED: endpoint.Ready, corev3.HealthStatus_DRAINING: endpoint.Draining, corev3.HealthStatus_UNHEALTHY: endpoint.Unhealthy,
		corev3.HealthStatus_TIMEOUT: endpoint.Unhealthy} {
		m := xdsstandin.Assignment("storage", two)
		m.Endpoints[0].LbEndpoints[0].HealthStatus = status
		if a, err := xds.ReadAssignment(m); err != nil || a.Nodes[0].Health != want {
			t.Errorf("%v: %+v, %v", status, a, err)
		}
	}
	m := xdsstandin.Assignment("storage", two)
	m.Policy = &endpointv3.ClusterLoadAssignment_Policy{EndpointStaleAfter: durationpb.New(time.Minute), OverprovisioningFactor: wrapperspb.UInt32(140),
		DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{{Category: "none", DropPercentage: &typev3.FractionalPercent{}}}}
	m.Endpoints[0].LoadBalancingWeight = wrapperspb.UInt32(2)
	m.Endpoints[0].Locality = &corev3.Locality{Region: "r", SubZone: "rack"}
	if a, err := xds.ReadAssignment(m); err != nil || a.StaleAfter != time.Minute || a.Nodes[0].Zone != "r/rack" || len(a.Notes) != 1 {
		t.Errorf("%+v, %v", a, err)
	}
	static := &clusterv3.Cluster{Name: "s", LoadAssignment: xdsstandin.Assignment("s", two), ConnectTimeout: durationpb.New(time.Second)}
	if c, err := xds.ReadCluster(static); err != nil || len(c.Inline.Nodes) != 2 || len(c.Notes) != 1 || !strings.Contains(c.Notes[0], "connect_timeout") {
		t.Errorf("%+v, %v", c, err)
	}
}

// Each field of an assignment that can be wrong, or that asks for what is not done here, is refused by name.
func TestAssignmentRefused(t *testing.T) {
	type cla = endpointv3.ClusterLoadAssignment
	ep := func(a *cla) *endpointv3.LbEndpoint { return a.Endpoints[0].LbEndpoints[0] }
	socket := func(a *cla) *corev3.SocketAddress { return ep(a).GetEndpoint().Address.GetSocketAddress() }
	own := func(a *cla) map[string]*structpb.Value { return ep(a).Metadata.FilterMetadata[xds.MetadataKey].Fields }
	policy := func(a *cla, p *endpointv3.ClusterLoadAssignment_Policy) { a.Policy = p }
	for want, spoil := range map[string]func(*cla){
		"no cluster_name":                    func(a *cla) { a.ClusterName = "" },
		"named_endpoints is not supported":   func(a *cla) { a.NamedEndpoints = map[string]*endpointv3.Endpoint{"x": {}} },
		"it is empty":                        func(a *cla) { a.Endpoints[0] = nil },
		"priority 0 is left out":             func(a *cla) { a.Endpoints[0].Priority = 1 },
		"priority 129 is over 128":           func(a *cla) { a.Endpoints[0].Priority = 129 },
		"proximity is not supported":         func(a *cla) { a.Endpoints[0].Proximity = wrapperspb.UInt32(1) },
		"leds_cluster_locality_config is no": func(a *cla) { a.Endpoints[0].LbConfig = &endpointv3.LocalityLbEndpoints_LedsClusterLocalityConfig{} },
		"an endpoint is empty":               func(a *cla) { a.Endpoints[0].LbEndpoints[0] = &endpointv3.LbEndpoint{} },
		"endpoint_name is not supported": func(a *cla) {
			ep(a).HostIdentifier = &endpointv3.LbEndpoint_EndpointName{EndpointName: "x"}
		},
		"is there twice":                func(a *cla) { a.Endpoints[0].LbEndpoints = append(a.Endpoints[0].LbEndpoints, ep(a)) },
		"health_status 77 is not known": func(a *cla) { ep(a).HealthStatus = 77 },
		"load_balancing_weight 0":       func(a *cla) { ep(a).LoadBalancingWeight = wrapperspb.UInt32(0) },
		"has no address":                func(a *cla) { ep(a).GetEndpoint().Address = nil },
		"pipe is not supported": func(a *cla) {
			ep(a).GetEndpoint().Address.Address = &corev3.Address_Pipe{Pipe: &corev3.Pipe{Path: "/x"}}
		},
		"health_check_config is not": func(a *cla) {
			ep(a).GetEndpoint().HealthCheckConfig = &endpointv3.Endpoint_HealthCheckConfig{PortValue: 1}
		},
		"additional_addresses is not":    func(a *cla) { ep(a).GetEndpoint().AdditionalAddresses = []*endpointv3.Endpoint_AdditionalAddress{{}} },
		"protocol UDP":                   func(a *cla) { socket(a).Protocol = corev3.SocketAddress_UDP },
		"\"node.example\" is no IP":      func(a *cla) { socket(a).Address = "node.example" },
		"\"\" is no IP":                  func(a *cla) { socket(a).Address = "" },
		"port_value 0":                   func(a *cla) { socket(a).PortSpecifier = &corev3.SocketAddress_PortValue{} },
		"port_value 70000":               func(a *cla) { socket(a).PortSpecifier = &corev3.SocketAddress_PortValue{PortValue: 70000} },
		"named_port is not supported":    func(a *cla) { socket(a).PortSpecifier = &corev3.SocketAddress_NamedPort{NamedPort: "x"} },
		"resolver_name is not supported": func(a *cla) { socket(a).ResolverName = "x" },
		"metadata has no \"irispost\"":   func(a *cla) { ep(a).Metadata = nil },
		"irispost.colour is not known":   func(a *cla) { own(a)["colour"] = structpb.NewNumberValue(1) },
		"irispost.shard is no number":    func(a *cla) { own(a)["shard"] = structpb.NewStringValue("1") },
		"irispost.shard is -1":           func(a *cla) { own(a)["shard"] = structpb.NewNumberValue(-1) },
		"irispost.shard is 0.5":          func(a *cla) { own(a)["shard"] = structpb.NewNumberValue(0.5) },
		"irispost.shard is 65536":        func(a *cla) { own(a)["shard"] = structpb.NewNumberValue(65536) },
		"irispost.shard is NaN":          func(a *cla) { own(a)["shard"] = structpb.NewNumberValue(nan) },
		"irispost.born is no time":       func(a *cla) { own(a)["born"] = structpb.NewStringValue("yesterday") },
		"a field that is not known here": func(a *cla) { socket(a).ProtoReflect().SetUnknown([]byte{0xf8, 0x7f, 1}) },
		"drop_overloads \"x\" drops 5":   func(a *cla) { policy(a, drops(5)) },
		"overprovisioning_factor 100": func(a *cla) {
			policy(a, &endpointv3.ClusterLoadAssignment_Policy{OverprovisioningFactor: wrapperspb.UInt32(100)})
		},
		"endpoint_stale_after -1s": func(a *cla) {
			policy(a, &endpointv3.ClusterLoadAssignment_Policy{EndpointStaleAfter: durationpb.New(-time.Second)})
		},
		"weighted_priority_health is not": func(a *cla) { policy(a, &endpointv3.ClusterLoadAssignment_Policy{WeightedPriorityHealth: true}) },
		"and 1 more":                      func(a *cla) { own(a)["a"], own(a)["b"], own(a)["c"] = nil, nil, nil; spoilMany(a) },
	} {
		a := proto.Clone(xdsstandin.Assignment("storage", two)).(*cla)
		spoil(a)
		if _, err := xds.ReadAssignment(a); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

var nan = func() float64 { zero := 0.0; return zero / zero }()

func drops(n uint32) *endpointv3.ClusterLoadAssignment_Policy {
	return &endpointv3.ClusterLoadAssignment_Policy{DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{{Category: "x",
		DropPercentage: &typev3.FractionalPercent{Numerator: n}}}}
}

// spoilMany makes eight more problems.
func spoilMany(a *endpointv3.ClusterLoadAssignment) {
	for range 8 {
		a.Endpoints[0].LbEndpoints = append(a.Endpoints[0].LbEndpoints, &endpointv3.LbEndpoint{})
	}
}

// So is each field of a cluster.
func TestClusterRefused(t *testing.T) {
	for want, spoil := range map[string]func(*clusterv3.Cluster){
		"it has no name":                 func(c *clusterv3.Cluster) { c.Name = "" },
		"without eds_cluster_config":     func(c *clusterv3.Cluster) { c.EdsClusterConfig = nil },
		"without eds_config":             func(c *clusterv3.Cluster) { c.EdsClusterConfig.EdsConfig = nil },
		"resource_api_version V2":        func(c *clusterv3.Cluster) { c.EdsClusterConfig.EdsConfig.ResourceApiVersion = corev3.ApiVersion_V2 },
		"load_assignment with type EDS":  func(c *clusterv3.Cluster) { c.LoadAssignment = xdsstandin.Assignment("x", two) },
		"STATIC without load_assignment": func(c *clusterv3.Cluster) { c.ClusterDiscoveryType = nil },
		"type STRICT_DNS is not supported": func(c *clusterv3.Cluster) {
			c.ClusterDiscoveryType = &clusterv3.Cluster_Type{Type: clusterv3.Cluster_STRICT_DNS}
		},
		"cluster_type is not supported": func(c *clusterv3.Cluster) {
			c.ClusterDiscoveryType = &clusterv3.Cluster_ClusterType{ClusterType: &clusterv3.Cluster_CustomClusterType{Name: "x"}}
		},
		"health_checks is not supported":     func(c *clusterv3.Cluster) { c.HealthChecks = []*corev3.HealthCheck{{}} },
		"transport_socket is not supported":  func(c *clusterv3.Cluster) { c.TransportSocket = &corev3.TransportSocket{Name: "tls"} },
		"outlier_detection is not supported": func(c *clusterv3.Cluster) { c.OutlierDetection = &clusterv3.OutlierDetection{} },
		"circuit_breakers is not supported":  func(c *clusterv3.Cluster) { c.CircuitBreakers = &clusterv3.CircuitBreakers{} },
		"path_config_source is not": func(c *clusterv3.Cluster) {
			c.EdsClusterConfig.EdsConfig.ConfigSourceSpecifier = &corev3.ConfigSource_PathConfigSource{PathConfigSource: &corev3.PathConfigSource{Path: "/x"}}
		},
	} {
		c := xdsstandin.Cluster("storage")
		spoil(c)
		if _, err := xds.ReadCluster(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	bad := &clusterv3.Cluster{Name: "s", LoadAssignment: xdsstandin.Assignment("", two)}
	if _, err := xds.ReadCluster(bad); err == nil || !strings.Contains(err.Error(), "no cluster_name") {
		t.Error(err)
	}
}

// Random bytes, and right ones with bytes changed, are read or refused: never a crash, and nothing that is out of bounds.
func FuzzAssignment(f *testing.F) {
	good, _ := proto.Marshal(xdsstandin.Assignment("storage", two))
	f.Add(good)
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
			if n.Addr == "" || seen[n.Addr] || n.Shard < 0 || n.Shard >= 1<<16 || n.StartedAt < 0 || n.Priority < 0 || n.Health > endpoint.Unhealthy {
				t.Errorf("%+v", n)
			}
			seen[n.Addr] = true
		}
	})
}
