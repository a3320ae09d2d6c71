package xds

import (
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint"
)

// Type URLs of the resources.
const (
	ClusterType  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointType = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	wrapperType  = "type.googleapis.com/envoy.service.discovery.v3.Resource"
)

// typeName is the name of a resource type in errors and notes.
func typeName(typeURL string) string {
	if typeURL == ClusterType {
		return "clusters"
	}
	return "endpoints"
}

// State is the state of the subscription to one type of resources on the present stream.
type State uint8

// States of a subscription.
const (
	Idle      State = iota // there was no request
	Requested              // there was a request, and no response yet
	Accepted               // the last response is in force (ACK)
	Rejected               // the last response was rejected (NACK), the one before is in force
)

var stateNames = [...]string{"idle", "requested", "accepted", "rejected"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Response is a response of the server in either form of the protocol: state of the world, or incremental.
type Response struct {
	Type      string
	Version   string
	Nonce     string
	Resources []*anypb.Any            // state of the world
	Changed   []*discoveryv3.Resource // incremental
	Removed   []string                // incremental
}

// Request is a request to the server, for either form of the protocol; docs/xds.md tells what is sent of it in which.
type Request struct {
	Type          string
	Version       string   // state of the world: the one in force; empty first on a stream, so that all is sent again
	Nonce         string   // of the response that it answers; empty: none
	ResourceNames []string // state of the world: all that are wanted; empty: all clusters
	Subscribe     []string // incremental: names wanted from now on
	Unsubscribe   []string // incremental: names no longer wanted
	KnownNames    []string // incremental, first on a stream: names known, all of which are wanted again
	RejectReason  string   // why the response with Nonce is rejected (NACK); empty: it is accepted, or there is none
}

// Outcome is what follows from an event.
type Outcome struct {
	Requests []Request
	List     *endpoint.List // nil: no new one
	Rejected error          // a response that can't be used, or that is overdue
	Notes    []string       // for the log
}

// add appends to the notes for the log.
func (o *Outcome) addNote(note string) { o.Notes = append(o.Notes, note) }
