package xds

import (
	"math"
	"net/netip"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/structpb"

	"irispost/internal/endpoint"
)

// MetadataKey is the key in an endpoint's filter_metadata that holds its shard and its start time.
const MetadataKey = "irispost"

// Fields under MetadataKey.
const (
	shardField = "shard" // an integer from 0 to maxShard
	startField = "born"  // an RFC 3339 time; optional

	maxShard = 1<<16 - 1
)

var (
	lbEndpointFields = map[protoreflect.Name]fieldSupport{
		"endpoint":              read,
		"health_status":         read,
		"metadata":              read,
		"load_balancing_weight": read,
	}
	endpointFields = map[protoreflect.Name]fieldSupport{
		"address":  read,
		"hostname": read,
	}
	addressFields = map[protoreflect.Name]fieldSupport{
		"socket_address": read,
	}
	socketAddressFields = map[protoreflect.Name]fieldSupport{
		"protocol":   read,
		"address":    read,
		"port_value": read,
	}
	metadataFields = map[protoreflect.Name]fieldSupport{
		"filter_metadata":       read,
		"typed_filter_metadata": ignored,
	}
)

// healthOf maps the protocol's health statuses. A degraded node counts as ready, because the scheduler itself
// measures how slow it is.
var healthOf = map[corev3.HealthStatus]endpoint.Health{
	corev3.HealthStatus_UNKNOWN:   endpoint.Ready,
	corev3.HealthStatus_HEALTHY:   endpoint.Ready,
	corev3.HealthStatus_DEGRADED:  endpoint.Ready,
	corev3.HealthStatus_DRAINING:  endpoint.Draining,
	corev3.HealthStatus_UNHEALTHY: endpoint.Unhealthy,
	corev3.HealthStatus_TIMEOUT:   endpoint.Unhealthy,
}

// readEndpoint reads one endpoint, and returns false if it is invalid.
func (r *resourceReader) readEndpoint(at string, message *endpointv3.LbEndpoint) (node endpoint.Node, ok bool) {
	before := len(r.errors)
	if message == nil || message.GetEndpoint() == nil && message.GetEndpointName() == "" {
		r.addError(at, "endpoint is empty")
		return node, false
	}
	r.checkFields(at, message, lbEndpointFields)
	host := message.GetEndpoint()
	if host == nil {
		return node, false
	}
	node.Addr = r.readAddress(at, host.GetAddress())
	if node.Addr != "" {
		at += " " + node.Addr
	}
	r.checkFields(at, host, endpointFields)
	node.Name = host.GetHostname()
	health, known := healthOf[message.GetHealthStatus()]
	if !known {
		r.addError(at, "unknown health_status %v", message.GetHealthStatus())
	}
	node.Health = health
	if weight := message.GetLoadBalancingWeight(); weight != nil {
		node.Weight = float64(weight.GetValue())
		if weight.GetValue() == 0 {
			r.addError(at, "load_balancing_weight 0: must be at least 1")
		}
	}
	r.readMetadata(at, message.GetMetadata(), &node)
	return node, len(r.errors) == before
}

// readAddress returns the host:port of a socket address, or an empty string if there is none.
func (r *resourceReader) readAddress(at string, message *corev3.Address) string {
	if message == nil {
		r.addError(at, "endpoint has no address")
		return ""
	}
	r.checkFields(at+" address", message, addressFields)
	s := message.GetSocketAddress()
	if s == nil {
		return ""
	}
	r.checkFields(at+" socket_address", s, socketAddressFields)
	if s.GetProtocol() != corev3.SocketAddress_TCP {
		r.addError(at, "protocol %v is not supported, only TCP is", s.GetProtocol())
	}
	ip, err := netip.ParseAddr(s.GetAddress())
	if err != nil {
		r.addError(at, "address %q is not an IP address", s.GetAddress())
	}
	if s.GetPortValue() == 0 || s.GetPortValue() > math.MaxUint16 {
		r.addError(at, "port_value %d is not between 1 and 65535", s.GetPortValue())
	}
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(ip, uint16(s.GetPortValue())).String()
}

// readMetadata reads a node's shard and start time from the endpoint's metadata.
func (r *resourceReader) readMetadata(at string, message *corev3.Metadata, node *endpoint.Node) {
	if message != nil {
		r.checkFields(at+" metadata", message, metadataFields)
	}
	own := message.GetFilterMetadata()[MetadataKey]
	if own == nil {
		r.addError(at, "metadata has no %q, so its shard is unknown", MetadataKey)
		return
	}
	for key := range own.GetFields() {
		if key != shardField && key != startField {
			r.addError(at, "unknown metadata field %s.%s", MetadataKey, key)
		}
	}
	r.readShard(at, own.GetFields()[shardField], node)
	if start := own.GetFields()[startField]; start != nil {
		r.readStartTime(at, start, node)
	}
}

func (r *resourceReader) readShard(at string, v *structpb.Value, n *endpoint.Node) {
	number, isNumber := v.GetKind().(*structpb.Value_NumberValue)
	if !isNumber {
		r.addError(at, "metadata %s.%s is not a number", MetadataKey, shardField)
		return
	}
	shard := number.NumberValue
	if shard != math.Trunc(shard) || shard < 0 || shard > maxShard {
		r.addError(at, "metadata %s.%s is %v: must be an integer from 0 to %d",
			MetadataKey, shardField, shard, maxShard)
		return
	}
	n.Shard = int(shard)
}

func (r *resourceReader) readStartTime(at string, v *structpb.Value, n *endpoint.Node) {
	start, err := time.Parse(time.RFC3339Nano, v.GetStringValue())
	if err != nil || start.UnixNano() <= 0 {
		r.addError(at, "metadata %s.%s is not an RFC 3339 time after 1970, such as \"2026-01-02T15:04:05Z\"",
			MetadataKey, startField)
		return
	}
	n.StartedAt = start.UnixNano()
}
