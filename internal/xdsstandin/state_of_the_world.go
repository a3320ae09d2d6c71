package xdsstandin

import (
	"strconv"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint/xds"
)

type stateOfTheWorldStream = grpc.BidiStreamingServer[discoveryv3.DiscoveryRequest, discoveryv3.DiscoveryResponse]

// StreamAggregatedResources serves a stream of the state-of-the-world variant of xDS.
func (s *Server) StreamAggregatedResources(wire stateOfTheWorldStream) error {
	return s.serveStream(func(st *stream) protocol {
		return protocol{
			receive: func() error {
				request, err := wire.Recv()
				if err != nil {
					return err
				}
				s.updateStream(st, request.GetNode().GetId(), func() { s.applyRequest(st, request) })
				return nil
			},
			prepare: func(resourceType string, sub *subscription) func() error {
				response := s.prepareResponse(st, resourceType, sub)
				if response == nil {
					return nil
				}
				return func() error { return wire.Send(response) }
			},
		}
	})
}

// applyRequest updates a stream's subscription and the acknowledgements from a request. The caller holds the lock.
func (s *Server) applyRequest(st *stream, request *discoveryv3.DiscoveryRequest) {
	resourceType := request.GetTypeUrl()
	nonce := request.GetResponseNonce()
	sub := st.subscription(resourceType)
	if nonce != "" {
		s.acks = append(s.acks, Ack{
			Client:  st.nodeID,
			Type:    resourceType,
			Version: request.GetVersionInfo(),
			Nonce:   nonce,
			Refusal: request.GetErrorDetail().GetMessage(),
		})
	}
	if nonce != sub.nonce && !s.faults.sameNonce {
		return // it refers to an older response than the latest
	}
	sub.wildcard = resourceType == xds.ClusterType && len(request.GetResourceNames()) == 0
	before := sub.names
	sub.names = map[string]bool{}
	for _, name := range request.GetResourceNames() {
		sub.names[name] = true
		sub.changed = sub.changed || !before[name]
	}
	if nonce == "" { // first request of the type: a client that has the current version gets no response
		version := s.versions[resourceType]
		sub.changed = request.GetVersionInfo() != strconv.Itoa(version)
		sub.sentVersion = version
	}
}

// prepareResponse returns the next response of a type for a stream, or nil if none is due. The caller holds the lock.
func (s *Server) prepareResponse(st *stream, resourceType string, sub *subscription) *discoveryv3.DiscoveryResponse {
	version := s.versions[resourceType]
	upToDate := sub.sentVersion == version && !sub.changed && st.heartbeatType != resourceType
	if upToDate || !sub.wildcard && len(sub.names) == 0 {
		return nil
	}
	response := &discoveryv3.DiscoveryResponse{
		VersionInfo: strconv.Itoa(version),
		TypeUrl:     resourceType,
		Nonce:       s.nextNonce(st),
	}
	sub.sentVersion = version
	sub.changed = false
	sub.nonce = response.Nonce
	for _, name := range s.wantedNames(resourceType, sub) {
		heartbeat := st.heartbeatType == resourceType
		response.Resources = append(response.Resources, s.resources[resourceType][name].toAny(name, heartbeat))
	}
	return response
}

// toAny returns a resource as part of a response. A resource with a time to live is wrapped in a Resource message; a
// heartbeat is such a message without the body.
func (r resource) toAny(name string, heartbeat bool) *anypb.Any {
	switch {
	case heartbeat:
		return pack(&discoveryv3.Resource{Name: name, Ttl: protoTTL(r.ttl)})
	case r.ttl > 0:
		return pack(&discoveryv3.Resource{Name: name, Resource: r.body, Ttl: protoTTL(r.ttl)})
	}
	return r.body
}
