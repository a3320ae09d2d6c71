package xds

import (
	"encoding/json"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"irispost/internal/testkit/golden"
)

// sentMessages collects the messages sent on streams, as JSON.
type sentMessages struct {
	t   *testing.T
	all []json.RawMessage
}

func (s *sentMessages) add(m proto.Message) error {
	s.t.Helper()
	b, err := protojson.Marshal(m)
	if err != nil {
		s.t.Fatal(err)
	}
	s.all = append(s.all, b)
	return nil
}

// sotwStream is a state-of-the-world stream that only collects what is sent.
type sotwStream struct {
	grpc.BidiStreamingClient[discoveryv3.DiscoveryRequest, discoveryv3.DiscoveryResponse]
	sent *sentMessages
}

func (s sotwStream) Send(m *discoveryv3.DiscoveryRequest) error { return s.sent.add(m) }

// deltaStream is an incremental stream that only collects what is sent.
type deltaStream struct {
	grpc.BidiStreamingClient[discoveryv3.DeltaDiscoveryRequest, discoveryv3.DeltaDiscoveryResponse]
	sent *sentMessages
}

func (s deltaStream) Send(m *discoveryv3.DeltaDiscoveryRequest) error { return s.sent.add(m) }

// The requests sent to a management server in both variants of the protocol: the first of a stream, an ACK and a
// NACK.
func TestGoldenRequests(t *testing.T) {
	sent := &sentMessages{t: t}
	for _, transport := range []transport{
		sotwTransport{sotwStream{sent: sent}},
		incrementalTransport{deltaStream{sent: sent}},
	} {
		requests := &sender{transport: transport, node: (&Options{NodeID: "g0", NodeCluster: "irispost", Zone: "a"}).node()}
		err := requests.send([]Request{
			{
				Type:          ClusterType,
				ResourceNames: []string{"storage"},
				Subscribe:     []string{"storage"},
				KnownNames:    []string{"storage"},
			},
			{
				Type:          EndpointType,
				Version:       "3",
				Nonce:         "n3",
				ResourceNames: []string{"a", "b"},
				Subscribe:     []string{"b"},
				Unsubscribe:   []string{"c"},
			},
			{
				Type:          EndpointType,
				Version:       "3",
				Nonce:         "n4",
				ResourceNames: []string{"a", "b"},
				RejectReason:  "endpoints, version \"4\": it is wrong",
			},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	got, err := json.MarshalIndent(sent.all, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "requests.json", append(got, '\n'))
}
