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
	// MaxEndpoints is the most endpoints that are taken in, of all clusters.
	MaxEndpoints = 1 << 16

	maxPriority = 128
	// defaultOverprovisioning is Envoy's default overprovisioning_factor, in percent.
	defaultOverprovisioning = 140
)

// Assignment is what was read of a cluster's endpoints.
type Assignment struct {
	Name       string
	Nodes      []endpoint.Node
	StaleAfter time.Duration // without an update for so long it is stale; 0: never
	Notes      []string      // fields that have no effect here
}

var (
	assignmentFields = map[protoreflect.Name]support{
		"cluster_name": read,
		"endpoints":    read,
		"policy":       read,
	}
	policyFields = map[protoreflect.Name]support{
		"drop_overloads":          read,
		"overprovisioning_factor": read,
		"endpoint_stale_after":    read,
	}
	localityFields = map[protoreflect.Name]support{
		"locality":              read,
		"lb_endpoints":          read,
		"priority":              read,
		"load_balancing_weight": ignored,
		"metadata":              ignored,
	}
)

// ReadAssignment reads a cluster's endpoints (envoy.config.endpoint.v3.ClusterLoadAssignment). With ValidationErrors it
// returns what could be read.
func ReadAssignment(message *endpointv3.ClusterLoadAssignment) (*Assignment, error) {
	r := &assignmentReader{priorities: map[int]bool{}, seen: map[string]bool{}}
	r.out.Name = message.GetClusterName()
	at := fmt.Sprintf("endpoints of %q", message.GetClusterName())
	if message.GetClusterName() == "" {
		r.addError("endpoints", "they have no cluster_name")
	}
	r.fields(at, message, assignmentFields)
	if message.GetPolicy() != nil {
		r.policy(at+" policy", message.GetPolicy())
	}
	for i, locality := range message.GetEndpoints() {
		r.locality(fmt.Sprintf("%s locality %d", at, i), locality)
	}
	for priority := range len(r.priorities) {
		if !r.priorities[priority] {
			r.addError(at, "priority %d is left out: they have to count from 0", priority)
			break
		}
	}
	r.out.Notes = r.notes
	return &r.out, r.err()
}

// assignmentReader reads an assignment.
type assignmentReader struct {
	reading
	out        Assignment
	priorities map[int]bool    // that localities have
	seen       map[string]bool // addresses
}

// locality reads the endpoints of a locality.
func (r *assignmentReader) locality(at string, message *endpointv3.LocalityLbEndpoints) {
	if message == nil {
		r.addError(at, "it is empty")
		return
	}
	r.fields(at, message, localityFields)
	if message.GetPriority() > maxPriority {
		r.addError(at, "priority %d is over %d", message.GetPriority(), maxPriority)
	}
	priority := int(message.GetPriority())
	r.priorities[priority] = true
	for _, e := range message.GetLbEndpoints() {
		n, ok := r.endpoint(at, e)
		if !ok {
			continue
		}
		n.Zone, n.Priority = zoneOf(message.GetLocality()), priority
		if r.seen[n.Addr] {
			r.addError(at, "%s is there twice", n.Addr)
		}
		r.seen[n.Addr] = true
		r.out.Nodes = append(r.out.Nodes, n)
	}
}

// zoneOf returns a locality as one name.
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

// policy reads what an assignment says of its use. Where that would need behaviour that is not there, it is an error.
func (r *assignmentReader) policy(at string, message *endpointv3.ClusterLoadAssignment_Policy) {
	r.fields(at, message, policyFields)
	for _, drop := range message.GetDropOverloads() {
		share := drop.GetDropPercentage()
		if share.GetNumerator() > 0 {
			r.addError(at, "drop_overloads %q drops %d of %v: requests are shed by the scheduler only, with a time to retry",
				drop.GetCategory(), share.GetNumerator(), share.GetDenominator())
		}
	}
	factor := message.GetOverprovisioningFactor()
	if factor != nil && factor.GetValue() != defaultOverprovisioning {
		r.addError(at, "overprovisioning_factor %d: a priority is left only when its shard has no other node, "+
			"so it has to be the default, %d", factor.GetValue(), defaultOverprovisioning)
	}
	staleAfter := message.GetEndpointStaleAfter()
	if staleAfter == nil {
		return
	}
	r.out.StaleAfter = staleAfter.AsDuration()
	if staleAfter.CheckValid() != nil || r.out.StaleAfter <= 0 {
		r.addError(at, "endpoint_stale_after %v is not over 0", r.out.StaleAfter)
	}
}
