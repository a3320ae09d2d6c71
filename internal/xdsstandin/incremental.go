package xdsstandin

import (
	"maps"
	"slices"
	"strconv"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"

	"irispost/internal/endpoint/xds"
)

type incrementalStream = grpc.BidiStreamingServer[discoveryv3.DeltaDiscoveryRequest, discoveryv3.DeltaDiscoveryResponse]

// unknownVersion replaces a client's initial version of a resource that this server cannot have assigned.
const unknownVersion = -1

// DeltaAggregatedResources serves a stream of the incremental variant of xDS.
func (s *Server) DeltaAggregatedResources(wire incrementalStream) error {
	return s.serveStream(func(st *stream) protocol {
		return protocol{
			receive: func() error {
				request, err := wire.Recv()
				if err != nil {
					return err
				}
				s.updateStream(st, request.GetNode().GetId(), func() { s.applyDeltaRequest(st, request) })
				return nil
			},
			prepare: func(resourceType string, sub *subscription) func() error {
				response := s.prepareDeltaResponse(st, resourceType, sub)
				if response == nil {
					return nil
				}
				return func() error { return wire.Send(response) }
			},
		}
	})
}

// applyDeltaRequest updates a stream's subscription and the acknowledgements from a request. The caller holds the lock.
func (s *Server) applyDeltaRequest(st *stream, request *discoveryv3.DeltaDiscoveryRequest) {
	resourceType := request.GetTypeUrl()
	first := st.subscriptions[resourceType] == nil
	sub := st.subscription(resourceType)
	if nonce := request.GetResponseNonce(); nonce != "" {
		s.acks = append(s.acks, Ack{
			Client:  st.nodeID,
			Type:    resourceType,
			Nonce:   nonce,
			Refusal: request.GetErrorDetail().GetMessage(),
		})
	}
	if first {
		sub.wildcard = resourceType == xds.ClusterType && len(request.GetResourceNamesSubscribe()) == 0
		for name, text := range request.GetInitialResourceVersions() {
			version, err := strconv.Atoi(text)
			if err != nil {
				version = unknownVersion
			}
			sub.sentVersions[name] = version
		}
	}
	for _, name := range request.GetResourceNamesSubscribe() {
		sub.names[name] = true
	}
	for _, name := range request.GetResourceNamesUnsubscribe() {
		delete(sub.names, name)
		delete(sub.sentVersions, name)
	}
}

// prepareDeltaResponse returns the next response of a type for a stream, or nil if none is due. The caller holds the
// lock.
func (s *Server) prepareDeltaResponse(
	st *stream, resourceType string, sub *subscription,
) *discoveryv3.DeltaDiscoveryResponse {
	response := &discoveryv3.DeltaDiscoveryResponse{
		SystemVersionInfo: strconv.Itoa(s.versions[resourceType]),
		TypeUrl:           resourceType,
	}
	heartbeat := st.heartbeatType == resourceType
	for _, name := range s.wantedNames(resourceType, sub) {
		current := s.resources[resourceType][name]
		if !heartbeat && sub.sentVersions[name] == current.version {
			continue
		}
		sent := &discoveryv3.Resource{
			Name:    name,
			Version: strconv.Itoa(current.version),
			Ttl:     protoTTL(current.ttl),
		}
		if !heartbeat {
			sent.Resource = current.body
		}
		response.Resources = append(response.Resources, sent)
		sub.sentVersions[name] = current.version
	}
	for _, name := range slices.Sorted(maps.Keys(sub.sentVersions)) {
		if _, exists := s.resources[resourceType][name]; !exists {
			response.RemovedResources = append(response.RemovedResources, name)
			delete(sub.sentVersions, name)
		}
	}
	if len(response.Resources)+len(response.RemovedResources) == 0 {
		return nil
	}
	response.Nonce = s.nextNonce(st)
	return response
}
