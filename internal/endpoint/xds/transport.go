package xds

import (
	"context"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statusv3 "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
)

// maxRejectReason limits the length in bytes of the reason that is sent with a rejection.
const maxRejectReason = 4096

// transport is a stream in one of the protocol's two variants.
type transport interface {
	// send sends a request. node is set for the first request of a stream only.
	send(r *Request, node *corev3.Node) error
	receive() (Response, error)
}

// openTransport opens a stream in the given variant.
func openTransport(ctx context.Context, conn *grpc.ClientConn, incremental bool) (transport, error) {
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if incremental {
		stream, err := client.DeltaAggregatedResources(ctx)
		return incrementalTransport{stream}, err
	}
	stream, err := client.StreamAggregatedResources(ctx)
	return sotwTransport{stream}, err
}

// errorDetail returns the error_detail of a rejection (google.rpc.Status), or nil if there is no reason and thus no
// rejection.
func errorDetail(reason string) *statusv3.Status {
	if reason == "" {
		return nil
	}
	if len(reason) > maxRejectReason {
		reason = reason[:maxRejectReason]
	}
	return &statusv3.Status{Code: int32(codes.InvalidArgument), Message: reason}
}

// sotwTransport is a stream in the state-of-the-world variant.
type sotwTransport struct {
	stream grpc.BidiStreamingClient[discoveryv3.DiscoveryRequest, discoveryv3.DiscoveryResponse]
}

func (t sotwTransport) send(r *Request, node *corev3.Node) error {
	return t.stream.Send(&discoveryv3.DiscoveryRequest{
		VersionInfo:   r.Version,
		Node:          node,
		ResourceNames: r.ResourceNames,
		TypeUrl:       r.Type,
		ResponseNonce: r.Nonce,
		ErrorDetail:   errorDetail(r.RejectReason),
	})
}

func (t sotwTransport) receive() (Response, error) {
	m, err := t.stream.Recv()
	if err != nil {
		return Response{}, err
	}
	return Response{
		Type:      m.GetTypeUrl(),
		Version:   m.GetVersionInfo(),
		Nonce:     m.GetNonce(),
		Resources: m.GetResources(),
	}, nil
}

// incrementalTransport is a stream in the incremental (delta) variant.
type incrementalTransport struct {
	stream grpc.BidiStreamingClient[discoveryv3.DeltaDiscoveryRequest, discoveryv3.DeltaDiscoveryResponse]
}

func (t incrementalTransport) send(r *Request, node *corev3.Node) error {
	known := map[string]string{} // versions are left empty, so that each resource is sent again or reported as removed
	for _, name := range r.KnownNames {
		known[name] = ""
	}
	return t.stream.Send(&discoveryv3.DeltaDiscoveryRequest{
		Node:                     node,
		TypeUrl:                  r.Type,
		ResourceNamesSubscribe:   r.Subscribe,
		ResourceNamesUnsubscribe: r.Unsubscribe,
		InitialResourceVersions:  known,
		ResponseNonce:            r.Nonce,
		ErrorDetail:              errorDetail(r.RejectReason),
	})
}

func (t incrementalTransport) receive() (Response, error) {
	m, err := t.stream.Recv()
	if err != nil {
		return Response{}, err
	}
	return Response{
		Type:    m.GetTypeUrl(),
		Version: m.GetSystemVersionInfo(),
		Nonce:   m.GetNonce(),
		Changed: m.GetResources(),
		Removed: m.GetRemovedResources(),
	}, nil
}
