package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/testkit/golden"
	"irispost/scheduler"
)

// TestTranslationsMatchGolden compares three translations with a golden file: node outcomes to scheduler outcomes,
// health in an endpoint list to scheduler endpoint states, and request states to the counters that they increment.
func TestTranslationsMatchGolden(t *testing.T) {
	var out strings.Builder
	for outcome := node.Failed; outcome <= node.ConnectionReset; outcome++ {
		fmt.Fprintf(&out, "outcome %d is %d\n", outcome, outcomes[outcome])
	}
	for health := endpoint.Health(0); health < 5; health++ {
		state, known := endpointStates[health]
		fmt.Fprintf(&out, "standing %d is %d, %t\n", health, state, known)
	}
	for state := scheduler.RequestState(0); state < 12; state++ {
		counts := Counts{}
		counts.add(state)
		fmt.Fprintf(&out, "state %d counts %d\n", state, counts)
	}
	golden.Check(t, "names.txt", []byte(out.String()))
}

// fixedClock is a clock that always returns the same time.
type fixedClock scheduler.Time

func (c fixedClock) Now() scheduler.Time { return scheduler.Time(c) }

// recordingNodes is a node client that passes each attempt it gets, as a line of text, to a channel.
type recordingNodes chan string

func (n recordingNodes) Start(addr string, call *node.Call, _ func(node.Reply)) node.Attempt {
	n <- fmt.Sprintf("%s %q within %d\n", addr, call.Packet(1).Body(), call.StartWithin)
	return unsentAttempt{}
}
func (recordingNodes) AbortQueued(func(string) bool) {}
func (recordingNodes) Retain(map[string]bool)        {}
func (recordingNodes) LateReplies() int64            { return 7 }

// TestCallsMatchGolden compares calls to nodes with a golden file. It guards the fields that the loop sets: sender,
// request ID, keys and remaining time.
func TestCallsMatchGolden(t *testing.T) {
	const now = fixedClock(1_790_000_000_000_000_000)
	nodes, log := make(recordingNodes, 1), slog.New(slog.NewTextHandler(io.Discard, nil))
	list := &endpoint.List{Nodes: []endpoint.Node{{Addr: "10.0.0.1:5"}, {Addr: "10.0.0.2:5", Shard: 1},
		{Addr: "10.0.0.3:5", Shard: 2}}}
	l := Start(Options{Name: "gateway-1", Seed: 1, QueueSize: 4, Clock: now, Nodes: nodes, Log: log, CachedList: list})
	t.Cleanup(l.Stop)
	submissions := []struct {
		session *Session
		spec    RequestSpec
	}{
		{nil, RequestSpec{Units: 1, Call: node.Call{Op: node.GetObject, Name: "a"}}},
		{NewSession("gateway-1/2"), RequestSpec{Units: 1.5, Key: 9, ClientRequest: 3,
			Call: node.Call{Op: node.GetObject, Name: "b"}}},
		{NewSession("gateway-1/3"), RequestSpec{Units: 2, Key: 9, HasKey: true, Idempotency: 2,
			Call: node.Call{Op: node.PutObject, Name: "c", IdempotencyKey: "mark"}}},
	}
	var out strings.Builder
	for i := range submissions {
		spec := &submissions[i].spec
		spec.Call.Shard = i // a separate node, because a node of which nothing is known gets one request at a time
		spec.Volume = &Volume{ID: int64(i), ServiceLevel: "basic", GatewayCount: 1}
		spec.Class = "read"
		spec.Deadline = l.Now() + int64(time.Second)
		l.Submit(submissions[i].session, spec)
		select {
		case call := <-nodes:
			out.WriteString(call)
		case <-time.After(10 * time.Second):
			t.Fatalf("request %d was not sent within 10 s", i)
		}
	}
	stats, ok := l.Stats()
	fmt.Fprintf(&out, "figures %t: counts %d, held %d, out %d, by node %v, late %d\n",
		ok, *stats.Classes["read"], stats.InFlight, stats.Attempts, stats.AttemptsByNode, stats.LateReplies)
	golden.Check(t, "calls.txt", []byte(out.String()))
}
