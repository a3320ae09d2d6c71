package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/scheduler"
)

// compareGolden compares a text with a file of testdata. With UPDATE_GOLDEN set it writes the file instead.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs; got:\n%s", path, got)
	}
}

// TestNamesMatchGolden compares which outcome of the connections and which standing of a list the module is told, and which
// states of a job are counted.
func TestNamesMatchGolden(t *testing.T) {
	var out strings.Builder
	for outcome := node.Failed; outcome <= node.ConnectionReset; outcome++ {
		fmt.Fprintf(&out, "outcome %d is %d\n", outcome, outcomes[outcome])
	}
	for standing := endpoint.Health(0); standing < 5; standing++ {
		module, known := standings[standing]
		fmt.Fprintf(&out, "standing %d is %d, %t\n", standing, module, known)
	}
	for state := scheduler.RequestState(0); state < 12; state++ {
		counts := Counts{}
		counts.count(state)
		fmt.Fprintf(&out, "state %d counts %d\n", state, counts)
	}
	compareGolden(t, "names.txt", out.String())
}

// fixedClock stands still.
type fixedClock scheduler.Time

func (c fixedClock) Now() scheduler.Time { return scheduler.Time(c) }

// recordingNodes hands on what is sent.
type recordingNodes chan string

func (n recordingNodes) Start(addr string, call *node.Call, _ func(node.Reply)) node.Attempt {
	n <- fmt.Sprintf("%s %q within %d\n", addr, call.Packet(1).Body(), call.StartWithin)
	return unsent{}
}
func (recordingNodes) AbortQueued(func(string) bool) {}
func (recordingNodes) Retain(map[string]bool)        {}
func (recordingNodes) LateReplies() int64            { return 7 }

// TestCallsMatchGolden compares what the loop fills in of calls to nodes: whose they are, their name, mark, key and the time
// that is left.
func TestCallsMatchGolden(t *testing.T) {
	const now = fixedClock(1_790_000_000_000_000_000)
	nodes, log := make(recordingNodes, 1), slog.New(slog.NewTextHandler(io.Discard, nil))
	list := &endpoint.List{Nodes: []endpoint.Node{{Addr: "10.0.0.1:5"}, {Addr: "10.0.0.2:5", Shard: 1}, {Addr: "10.0.0.3:5", Shard: 2}}}
	l := Start(Options{Name: "gateway-1", Seed: 1, QueueSize: 4, Clock: now, Nodes: nodes, Log: log, CachedList: list})
	t.Cleanup(l.Stop)
	works := []struct {
		session *Session
		work    RequestSpec
	}{
		{nil, RequestSpec{Units: 1, Call: node.Call{Op: node.GetObject, Name: "a"}}},
		{NewSession("gateway-1/2"), RequestSpec{Units: 1.5, Key: 9, ClientRequest: 3, Call: node.Call{Op: node.GetObject, Name: "b"}}},
		{NewSession("gateway-1/3"), RequestSpec{Units: 2, Key: 9, HasKey: true, Idempotency: 2, Call: node.Call{Op: node.PutObject, Name: "c", IdempotencyKey: "mark"}}},
	}
	var out strings.Builder
	for i := range works {
		w := &works[i].work
		w.Call.Shard = i // a node for each, since nodes that nothing is known of are sent one request at a time
		w.Volume, w.Class, w.Deadline = &Volume{ID: int64(i), ServiceLevel: "basic", Gateways: 1}, "read", l.Now()+int64(time.Second)
		l.Submit(works[i].session, w)
		select {
		case call := <-nodes:
			out.WriteString(call)
		case <-time.After(10 * time.Second):
			t.Fatalf("work %d is not sent", i)
		}
	}
	f, ok := l.Stats()
	fmt.Fprintf(&out, "figures %t: counts %d, held %d, out %d, by node %v, late %d\n", ok, *f.Classes["read"], f.InFlight, f.Attempts, f.AttemptsByNode, f.LateReplies)
	compareGolden(t, "calls.txt", out.String())
}
