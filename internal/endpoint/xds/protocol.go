package xds

import (
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint"
)

// Type URLs of resources.
const (
	ClusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	wrapperType  = "type.googleapis.com/envoy.service.discovery.v3.Resource"
)

// typeName returns the name of a resource type for errors and notes.
func typeName(typeURL string) string {
	if typeURL == ClusterType {
		return "clusters"
	}
	return "endpoints"
}

// State is the state of the subscription to one resource type on the current stream.
type State uint8

// States of a subscription.
const (
	Idle      State = iota // no request was sent
	Requested              // a request was sent, and no response was received yet
	Accepted               // the last response is in force (ACK)
	Rejected               // the last response was rejected (NACK), the last accepted one stays in force
)

var stateNames = [...]string{"idle", "requested", "accepted", "rejected"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Response is a response of the server in either variant of the protocol, state-of-the-world or incremental.
type Response struct {
	Type      string
	Version   string
	Nonce     string
	Resources []*anypb.Any            // state-of-the-world
	Changed   []*discoveryv3.Resource // incremental
	Removed   []string                // incremental
}

// Request is a request to the server in either variant of the protocol. docs/xds.md lists which fields each variant
// sends.
type Request struct {
	Type          string
	Version       string   // state-of-the-world: the one in force; empty in a stream's first request, to get everything
	Nonce         string   // of the response that is acknowledged or rejected; empty if none
	ResourceNames []string // state-of-the-world: all names subscribed to; empty: all clusters
	Subscribe     []string // incremental: names to subscribe to
	Unsubscribe   []string // incremental: names to unsubscribe from
	KnownNames    []string // incremental, in a stream's first request: names in force, to have all of them sent again
	RejectReason  string   // why the response with Nonce is rejected (NACK); empty if it is accepted or there is none
}

// Outcome is the result of an event: what to send and to report.
type Outcome struct {
	Requests []Request
	List     *endpoint.List // nil if there is no new one
	Rejected error          // why a response cannot be used, or which one is overdue
	Notes    []string       // for the log
}

// addNote adds a note for the log.
func (o *Outcome) addNote(note string) { o.Notes = append(o.Notes, note) }
