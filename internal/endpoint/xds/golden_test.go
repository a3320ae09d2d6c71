package xds

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

var update = flag.Bool("update", false, "write the golden files anew")

// sent notes what is sent on a stream, in a form that does not change from run to run.
type sent struct {
	t   *testing.T
	all []json.RawMessage
}

func (s *sent) note(m proto.Message) {
	s.t.Helper()
	b, err := protojson.Marshal(m)
	if err != nil {
		s.t.Fatal(err)
	}
	s.all = append(s.all, b)
}

type wholeStream struct {
	grpc.BidiStreamingClient[discoveryv3.DiscoveryRequest, discoveryv3.DiscoveryResponse]
	*sent
}

func (s wholeStream) Send(m *discoveryv3.DiscoveryRequest) error { s.note(m); return nil }

type deltaStream struct {
	grpc.BidiStreamingClient[discoveryv3.DeltaDiscoveryRequest, discoveryv3.DeltaDiscoveryResponse]
	*sent
}

func (s deltaStream) Send(m *discoveryv3.DeltaDiscoveryRequest) error { s.note(m); return nil }

// Requests of both forms as they go to a management server: the first of a stream, one that accepts, one that refuses.
func TestGoldenRequests(t *testing.T) {
	node := &corev3.Node{Id: "g0", Cluster: "irispost", Locality: &corev3.Locality{Zone: "a"}, UserAgentName: "irispost"}
	s := &sent{t: t}
	for _, form := range []wire{whole{wholeStream{sent: s}}, incremental{deltaStream{sent: s}}} {
		for i, r := range []Request{
			{Type: ClusterType, ResourceNames: []string{"storage"}, Subscribe: []string{"storage"}, KnownNames: []string{"storage"}},
			{Type: EndpointType, Version: "3", Nonce: "n3", ResourceNames: []string{"a", "b"}, Subscribe: []string{"b"}, Unsubscribe: []string{"c"}},
			{Type: EndpointType, Version: "3", Nonce: "n4", ResourceNames: []string{"a", "b"}, RejectReason: "endpoints, version \"4\": it is wrong"},
		} {
			first := node
			if i > 0 {
				first = nil
			}
			if err := form.send(&r, first); err != nil {
				t.Fatal(err)
			}
		}
	}
	got, err := json.MarshalIndent(s.all, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	got = append(got, '\n')
	file := filepath.Join("testdata", "requests.json")
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}
