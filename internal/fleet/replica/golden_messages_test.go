package replica

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
	"irispost/internal/testkit/golden"
)

// The encodings of messages between replicas, the client's requests and the status JSON match the golden file.
func TestMessagesMatchGolden(t *testing.T) {
	out := &strings.Builder{}
	for _, message := range goldenMessages() {
		fmt.Fprintf(out, "%s %s\n", message.name, encodeJSON(t, message.value))
	}
	change := &MembershipChange{Add: map[uint64]string{5: "e:1", 4: "d:1"}, Remove: []uint64{2, 1}}
	confChange := change.confChange()
	fmt.Fprintf(out, "entry of a change of voters %v %s\n", describeChanges(confChange), confChange.GetContext())
	messages, err := encodeMessages([]*raftpb.Message{
		{
			To:   proto.Uint64(2),
			From: proto.Uint64(1),
			Term: proto.Uint64(3),
			Type: raftpb.MsgHeartbeat.Enum(),
		},
		{To: proto.Uint64(2)},
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(out, "frames %x\n", messages)
	fmt.Fprintf(out, "stated %d\n", ConvergenceBound(lease.Settings{LeaseDuration: 1e9, MaxClockDrift: 0.01}))
	recordClientRequests(t, out)
	golden.Check(t, "messages.golden", []byte(out.String()))
}

// namedMessage is a message and its name in the golden file.
type namedMessage struct {
	name  string
	value any
}

func goldenMessages() []namedMessage {
	return []namedMessage{
		{"greeting", announcement{From: 1}},
		{"greeting", announcement{From: 1, Starts: 2, Incarnation: 3, EntryFormat: 2}},
		{"change of voters", MembershipChange{}},
		{"change of voters", MembershipChange{Add: map[uint64]string{4: "d:7000"}, Remove: []uint64{2}}},
		{"identity", identity{ID: 1, Voters: []uint64{1, 2, 3}, Starts: 4}},
		{"identity", identity{ID: 4}},
		{"status", Status{}},
		{"status", Status{
			Replica:                1,
			Leader:                 2,
			Term:                   3,
			InForce:                4,
			Announced:              5,
			LeaseMillis:            6,
			ConvergenceBoundMillis: 7,
			Voters:                 []uint64{1, 2, 3},
			WaitingFor:             []string{"g1/1: why"},
			Gateways: []lease.GatewayStatus{{
				Holder:          "g1/1",
				State:           "following",
				HeldVersions:    []uint64{4},
				LastHeardMillis: 8,
				LeaseLeftMillis: 9,
				Unresponsive:    true,
				Fault:           "why",
			}},
			Latest: &configversion.Version{
				Number:    5,
				Parent:    4,
				Digest:    "abc",
				Author:    "ann",
				Reason:    "because",
				CreatedAt: "now",
				Content:   []byte("{}"),
			},
		}},
	}
}

func describeChanges(change *raftpb.ConfChangeV2) []string {
	var list []string
	for _, single := range change.GetChanges() {
		list = append(list, fmt.Sprint(single.GetType(), " ", single.GetNodeId()))
	}
	return list
}

// recordClientRequests writes the request that each method of Client sends to out.
func recordClientRequests(t *testing.T, out *strings.Builder) {
	t.Helper()
	responses := map[string]string{"/status": "{}", "/propose": "{}", "/versions": "[]", "/voters": "true"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(out, "%s %s %v %s\n", req.Method, req.RequestURI, describeHeader(req.Header), body)
		if _, err := io.WriteString(w, responses[req.URL.Path]); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := &Client{Replicas: []string{address}, Timeout: time.Minute}
	proposal := &lease.Proposal{
		ID:             "a",
		Parent:         1,
		ReplacePending: true,
		Author:         "ann",
		Reason:         "because",
		CreatedAt:      "now",
		Content:        []byte("{}"),
	}
	fetch := func(cache *content.Cache) error {
		_, _, err := client.FetchContent(t.Context(), address, cache.Fetch("abc", 1).NextRequest())
		return err
	}
	for _, call := range []func() error{
		func() error { _, err := client.Status(); return err },
		func() error { _, err := client.Propose(proposal); return err },
		func() error { _, err := client.Versions(3); return err },
		func() error { _, err := client.Version(4); return err },
		func() error { return client.ChangeMembership(&MembershipChange{Remove: []uint64{2}}) },
		func() error { return fetch(content.NewCache(nil, 0)) },
		func() error { return fetch(content.NewCache(rateLimitConfig(1), 0)) },
	} {
		if err := call(); err != nil {
			t.Error(err)
		}
	}
}

func describeHeader(header http.Header) string {
	out := &strings.Builder{}
	for _, name := range slices.Sorted(maps.Keys(header)) {
		fmt.Fprintf(out, "%s: %s; ", name, strings.Join(header[name], ", "))
	}
	return out.String()
}
