// Package xds takes the list of storage nodes from an xDS management server, or from files in its form: Envoy clusters
// and endpoints, https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol. docs/xds.md has the mapping.
package xds

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/structpb"

	"irispost/internal/endpoint"
)

// MetadataKey is the key in an endpoint's filter_metadata under which its shard and its start stand.
const MetadataKey = "irispost"

// Bounds of what is taken in.
const (
	MaxClusters  = 4096
	MaxEndpoints = 1 << 16
	mostProblems = 10 // named in one refusal
)

// Cluster is a cluster that was read.
type Cluster struct {
	Name        string
	ServiceName string      // the name of its assignment; empty where it has its own
	Inline      *Assignment // of a static one
	Notes       []string    // what it says that has no effect here
}

// Assignment is a cluster's nodes.
type Assignment struct {
	Name       string
	Nodes      []endpoint.Node
	StaleAfter time.Duration // without news for so long it counts as old; 0: never
	Notes      []string
}

// ValidationErrors are what is wrong with a resource.
type ValidationErrors []string

func (p ValidationErrors) Error() string {
	if len(p) > mostProblems {
		return strings.Join(p[:mostProblems], "; ") + fmt.Sprintf("; and %d more", len(p)-mostProblems)
	}
	return strings.Join(p, "; ")
}

// use is what becomes of a field.
type use uint8

const (
	refused use = iota // it asks for something that is not done here
	used               // it is read
	noted              // it may be there, and has no effect here
)

// reading collects problems and notes of one resource.
type reading struct {
	problems ValidationErrors
	notes    []string
}

func (r *reading) refuse(at, format string, args ...any) {
	r.problems = append(r.problems, at+": "+fmt.Sprintf(format, args...))
}

func (r *reading) err() error {
	if len(r.problems) > 0 {
		return r.problems
	}
	return nil
}

// fields goes over all fields that are set: each is used, noted, or refused by name, also those that this build's
// protocol files do not know.
func (r *reading) fields(at string, m proto.Message, uses map[protoreflect.Name]use) {
	ref := m.ProtoReflect()
	var names []string
	ref.Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		names = append(names, string(f.Name()))
		return true
	})
	slices.Sort(names) // they come in no order
	for _, name := range names {
		switch uses[protoreflect.Name(name)] {
		case refused:
			r.refuse(at, "%s is not supported", name)
		case noted:
			if note := at + ": " + name + " has no effect here"; !slices.Contains(r.notes, note) {
				r.notes = append(r.notes, note)
			}
		}
	}
	if len(ref.GetUnknown()) > 0 {
		r.refuse(at, "it has a field that is not known here")
	}
}

var (
	clusterUses = map[protoreflect.Name]use{"name": used, "type": used, "eds_cluster_config": used, "load_assignment": used,
		"connect_timeout": noted, "lb_policy": noted, "alt_stat_name": noted, "metadata": noted, "per_connection_buffer_limit_bytes": noted}
	edsUses        = map[protoreflect.Name]use{"eds_config": used, "service_name": used}
	configUses     = map[protoreflect.Name]use{"ads": used, "self": used, "resource_api_version": used, "initial_fetch_timeout": noted}
	assignmentUses = map[protoreflect.Name]use{"cluster_name": used, "endpoints": used, "policy": used}
	policyUses     = map[protoreflect.Name]use{"drop_overloads": used, "overprovisioning_factor": used, "endpoint_stale_after": used}
	localityUses   = map[protoreflect.Name]use{"locality": used, "lb_endpoints": used, "priority": used, "load_balancing_weight": noted,
		"metadata": noted}
	endpointUses = map[protoreflect.Name]use{"endpoint": used, "health_status": used, "metadata": used, "load_balancing_weight": used}
	hostUses     = map[protoreflect.Name]use{"address": used, "hostname": used}
	addressUses  = map[protoreflect.Name]use{"socket_address": used}
	socketUses   = map[protoreflect.Name]use{"protocol": used, "address": used, "port_value": used}
	metadataUses = map[protoreflect.Name]use{"filter_metadata": used, "typed_filter_metadata": noted}
)

// ReadCluster reads a cluster (envoy.config.cluster.v3.Cluster).
func ReadCluster(c *clusterv3.Cluster) (*Cluster, error) {
	r := &reading{}
	out := &Cluster{Name: c.GetName()}
	at := fmt.Sprintf("cluster %q", c.GetName())
	if c.GetName() == "" {
		r.refuse("a cluster", "it has no name")
	}
	r.fields(at, c, clusterUses)
	switch c.GetType() {
	case clusterv3.Cluster_EDS:
		e := c.GetEdsClusterConfig()
		if e == nil {
			r.refuse(at, "type EDS without eds_cluster_config")
			break
		}
		r.fields(at+" eds_cluster_config", e, edsUses)
		if s := e.GetEdsConfig(); s == nil {
			r.refuse(at, "eds_cluster_config without eds_config")
		} else {
			r.fields(at+" eds_config", s, configUses)
			if v := s.GetResourceApiVersion(); v != corev3.ApiVersion_V3 && v != corev3.ApiVersion_AUTO {
				r.refuse(at, "resource_api_version %v: only V3 is spoken here", v)
			}
		}
		if out.ServiceName = e.GetServiceName(); out.ServiceName == "" {
			out.ServiceName = c.GetName()
		}
		if c.GetLoadAssignment() != nil {
			r.refuse(at, "load_assignment with type EDS")
		}
	case clusterv3.Cluster_STATIC:
		if c.GetLoadAssignment() == nil {
			r.refuse(at, "type STATIC without load_assignment")
			break
		}
		a, err := ReadAssignment(c.GetLoadAssignment())
		if err != nil {
			r.refuse(at, "%v", err)
			break
		}
		out.Inline, r.notes = a, append(r.notes, a.Notes...)
		if c.GetEdsClusterConfig() != nil {
			r.refuse(at, "eds_cluster_config with type STATIC")
		}
	default:
		r.refuse(at, "type %v is not supported, EDS and STATIC are", c.GetType())
	}
	out.Notes = r.notes
	return out, r.err()
}

// ReadAssignment reads a cluster's endpoints (envoy.config.endpoint.v3.ClusterLoadAssignment).
func ReadAssignment(c *endpointv3.ClusterLoadAssignment) (*Assignment, error) {
	r := &reading{}
	at := fmt.Sprintf("endpoints of %q", c.GetClusterName())
	if c.GetClusterName() == "" {
		r.refuse("endpoints", "they have no cluster_name")
	}
	r.fields(at, c, assignmentUses)
	out := &Assignment{Name: c.GetClusterName()}
	if p := c.GetPolicy(); p != nil {
		r.policy(at+" policy", p, out)
	}
	priorities, seen := map[int]bool{}, map[string]bool{}
	for i, l := range c.GetEndpoints() {
		at := fmt.Sprintf("%s locality %d", at, i)
		if l == nil {
			r.refuse(at, "it is empty")
			continue
		}
		r.fields(at, l, localityUses)
		if l.GetPriority() > 128 {
			r.refuse(at, "priority %d is over 128", l.GetPriority())
		}
		priorities[int(l.GetPriority())] = true
		for _, e := range l.GetLbEndpoints() {
			n, ok := r.endpoint(at, e)
			if !ok {
				continue
			}
			n.Zone, n.Priority = zone(l.GetLocality()), int(l.GetPriority())
			if seen[n.Addr] {
				r.refuse(at, "%s is there twice", n.Addr)
			}
			seen[n.Addr] = true
			out.Nodes = append(out.Nodes, n)
		}
	}
	for p := range len(priorities) {
		if !priorities[p] {
			r.refuse(at, "priority %d is left out: they have to count from 0", p)
			break
		}
	}
	out.Notes = r.notes
	return out, r.err()
}

// zone is a locality as one name.
func zone(l *corev3.Locality) string {
	name := l.GetZone()
	if name == "" {
		name = l.GetRegion()
	}
	if l.GetSubZone() != "" {
		name += "/" + l.GetSubZone()
	}
	return name
}

func (r *reading) policy(at string, p *endpointv3.ClusterLoadAssignment_Policy, out *Assignment) {
	r.fields(at, p, policyUses)
	for _, d := range p.GetDropOverloads() {
		if f := d.GetDropPercentage(); f.GetNumerator() > 0 {
			r.refuse(at, "drop_overloads %q drops %d of %v: no job is lost here, and what cannot be served is dismissed by the decision module",
				d.GetCategory(), f.GetNumerator(), f.GetDenominator())
		}
	}
	if f := p.GetOverprovisioningFactor(); f != nil && f.GetValue() != 140 {
		r.refuse(at, "overprovisioning_factor %d: a priority is left only when its shard has no other node, so it has to be the default, 140", f.GetValue())
	}
	if s := p.GetEndpointStaleAfter(); s != nil {
		if out.StaleAfter = s.AsDuration(); s.CheckValid() != nil || out.StaleAfter <= 0 {
			r.refuse(at, "endpoint_stale_after %v is not over 0", s.AsDuration())
		}
	}
}

// health by the protocol's statuses (envoy.config.core.v3.HealthStatus). A degraded node serves: the module finds out
// how slow it is.
var health = map[corev3.HealthStatus]endpoint.Health{corev3.HealthStatus_UNKNOWN: endpoint.Ready, corev3.HealthStatus_HEALTHY: endpoint.Ready,
	corev3.HealthStatus_DEGRADED: endpoint.Ready, corev3.HealthStatus_DRAINING: endpoint.Draining, corev3.HealthStatus_UNHEALTHY: endpoint.Unhealthy,
	corev3.HealthStatus_TIMEOUT: endpoint.Unhealthy}

func (r *reading) endpoint(at string, e *endpointv3.LbEndpoint) (n endpoint.Node, ok bool) {
	before := len(r.problems)
	if e == nil || e.GetEndpoint() == nil && e.GetEndpointName() == "" {
		r.refuse(at, "an endpoint is empty")
		return n, false
	}
	r.fields(at, e, endpointUses)
	host := e.GetEndpoint()
	if host == nil {
		return n, false
	}
	if n.Addr = r.address(at, host.GetAddress()); n.Addr != "" {
		at += " " + n.Addr
	}
	r.fields(at, host, hostUses)
	n.Name = host.GetHostname()
	var known bool
	if n.Health, known = health[e.GetHealthStatus()]; !known {
		r.refuse(at, "health_status %v is not known", e.GetHealthStatus())
	}
	if w := e.GetLoadBalancingWeight(); w != nil {
		if n.Weight = float64(w.GetValue()); w.GetValue() == 0 {
			r.refuse(at, "load_balancing_weight 0: it counts from 1")
		}
	}
	m := e.GetMetadata()
	if m != nil {
		r.fields(at+" metadata", m, metadataUses)
	}
	r.own(at, m.GetFilterMetadata()[MetadataKey], &n)
	return n, len(r.problems) == before
}

func (r *reading) address(at string, a *corev3.Address) string {
	if a == nil {
		r.refuse(at, "an endpoint has no address")
		return ""
	}
	r.fields(at+" address", a, addressUses)
	s := a.GetSocketAddress()
	if s == nil {
		return ""
	}
	r.fields(at+" socket_address", s, socketUses)
	if s.GetProtocol() != corev3.SocketAddress_TCP {
		r.refuse(at, "protocol %v: only TCP is spoken", s.GetProtocol())
	}
	ip, err := netip.ParseAddr(s.GetAddress())
	if err != nil {
		r.refuse(at, "address %q is no IP address", s.GetAddress())
	}
	if s.GetPortValue() == 0 || s.GetPortValue() > math.MaxUint16 {
		r.refuse(at, "port_value %d is not between 1 and 65535", s.GetPortValue())
	}
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(ip, uint16(s.GetPortValue())).String()
}

// own reads what stands under our key: shard, a whole number from 0, and born, a time as RFC 3339 has it.
func (r *reading) own(at string, s *structpb.Struct, n *endpoint.Node) {
	if s == nil {
		r.refuse(at, "its metadata has no %q: which shard it holds is not known", MetadataKey)
		return
	}
	for key := range s.GetFields() {
		if key != "shard" && key != "born" {
			r.refuse(at, "metadata %s.%s is not known", MetadataKey, key)
		}
	}
	shard, isNumber := s.GetFields()["shard"].GetKind().(*structpb.Value_NumberValue)
	switch {
	case !isNumber:
		r.refuse(at, "metadata %s.shard is no number", MetadataKey)
	case shard.NumberValue != math.Trunc(shard.NumberValue) || shard.NumberValue < 0 || shard.NumberValue >= 1<<16:
		r.refuse(at, "metadata %s.shard is %v: shards are whole numbers from 0 to 65535", MetadataKey, shard.NumberValue)
	default:
		n.Shard = int(shard.NumberValue)
	}
	if v := s.GetFields()["born"]; v != nil {
		t, err := time.Parse(time.RFC3339Nano, v.GetStringValue())
		if err != nil || t.UnixNano() <= 0 {
			r.refuse(at, "metadata %s.born is no time such as \"2026-01-02T15:04:05Z\"", MetadataKey)
			return
		}
		n.StartedAt = t.UnixNano()
	}
}
