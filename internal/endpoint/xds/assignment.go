package xds

import (
	"fmt"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/reflect/protoreflect"

	"irispost/internal/endpoint"
)

const (
	// MaxEndpoints limits the number of endpoints in all clusters together.
	MaxEndpoints = 1 << 16

	maxPriority = 128
	// defaultOverprovisioning is Envoy's default overprovisioning_factor, in percent.
	defaultOverprovisioning = 140
)

// Assignment holds the endpoints of a cluster, read from a ClusterLoadAssignment.
type Assignment struct {
	Name       string
	Nodes      []endpoint.Node
	StaleAfter time.Duration // age without an update at which it becomes stale; 0: never
	Notes      []string      // fields that are set but have no effect
}

var (
	assignmentFields = map[protoreflect.Name]fieldSupport{
		"cluster_name": read,
		"endpoints":    read,
		"policy":       read,
	}
	policyFields = map[protoreflect.Name]fieldSupport{
		"drop_overloads":          read,
		"overprovisioning_factor": read,
		"endpoint_stale_after":    read,
	}
	localityFields = map[protoreflect.Name]fieldSupport{
		"locality":              read,
		"lb_endpoints":          read,
		"priority":              read,
		"load_balancing_weight": ignored,
		"metadata":              ignored,
	}
)

// ReadAssignment validates and converts a cluster's endpoints (envoy.config.endpoint.v3.ClusterLoadAssignment). If it
// returns ValidationErrors, the Assignment holds what could be read.
func ReadAssignment(message *endpointv3.ClusterLoadAssignment) (*Assignment, error) {
	r := &assignmentReader{priorities: map[int]bool{}, seen: map[string]bool{}}
	r.out.Name = message.GetClusterName()
	at := fmt.Sprintf("endpoints of %q", message.GetClusterName())
	if message.GetClusterName() == "" {
		r.addError("endpoints", "cluster_name is empty")
	}
	r.checkFields(at, message, assignmentFields)
	if message.GetPolicy() != nil {
		r.readPolicy(at+" policy", message.GetPolicy())
	}
	for i, locality := range message.GetEndpoints() {
		r.readLocality(fmt.Sprintf("%s locality %d", at, i), locality)
	}
	for priority := range len(r.priorities) {
		if !r.priorities[priority] {
			r.addError(at, "priority %d is missing: priorities must be contiguous from 0", priority)
			break
		}
	}
	r.out.Notes = r.notes
	return &r.out, r.err()
}

// assignmentReader holds the state of reading one assignment.
type assignmentReader struct {
	resourceReader
	out        Assignment
	priorities map[int]bool    // priorities that the localities have
	seen       map[string]bool // addresses read so far
}

// readLocality reads the endpoints of one locality.
func (r *assignmentReader) readLocality(at string, message *endpointv3.LocalityLbEndpoints) {
	if message == nil {
		r.addError(at, "message is empty")
		return
	}
	r.checkFields(at, message, localityFields)
	if message.GetPriority() > maxPriority {
		r.addError(at, "priority %d exceeds the maximum of %d", message.GetPriority(), maxPriority)
	}
	priority := int(message.GetPriority())
	r.priorities[priority] = true
	for _, e := range message.GetLbEndpoints() {
		n, ok := r.readEndpoint(at, e)
		if !ok {
			continue
		}
		n.Zone, n.Priority = zoneOf(message.GetLocality()), priority
		if r.seen[n.Addr] {
			r.addError(at, "duplicate address %s", n.Addr)
		}
		r.seen[n.Addr] = true
		r.out.Nodes = append(r.out.Nodes, n)
	}
}

// zoneOf returns a zone name for a locality: its zone, or else its region, with the sub-zone appended after a slash.
func zoneOf(l *corev3.Locality) string {
	name := l.GetZone()
	if name == "" {
		name = l.GetRegion()
	}
	if l.GetSubZone() != "" {
		name += "/" + l.GetSubZone()
	}
	return name
}

// readPolicy reads an assignment's policy. Settings that need behaviour that the gateway does not have are errors.
func (r *assignmentReader) readPolicy(at string, message *endpointv3.ClusterLoadAssignment_Policy) {
	r.checkFields(at, message, policyFields)
	for _, drop := range message.GetDropOverloads() {
		share := drop.GetDropPercentage()
		if share.GetNumerator() > 0 {
			r.addError(at, "drop_overloads %q drops %d of %v: not supported, only the scheduler sheds load, with a retry time",
				drop.GetCategory(), share.GetNumerator(), share.GetDenominator())
		}
	}
	factor := message.GetOverprovisioningFactor()
	if factor != nil && factor.GetValue() != defaultOverprovisioning {
		r.addError(at, "overprovisioning_factor %d: a shard moves to the next priority only when it has no other node, "+
			"so the factor must be the default, %d", factor.GetValue(), defaultOverprovisioning)
	}
	staleAfter := message.GetEndpointStaleAfter()
	if staleAfter == nil {
		return
	}
	r.out.StaleAfter = staleAfter.AsDuration()
	if staleAfter.CheckValid() != nil || r.out.StaleAfter <= 0 {
		r.addError(at, "endpoint_stale_after %v must be positive", r.out.StaleAfter)
	}
}
