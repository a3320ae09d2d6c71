package xds_test

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
	"irispost/internal/testkit/testaddr"
	"irispost/internal/xdsstandin"
)

// timeout limits every wait of a test. It is far longer than any wait that succeeds.
const timeout = 20 * time.Second

var discardLog = slog.New(slog.DiscardHandler)

// variantName returns the name of a variant of the protocol, as in the configuration.
func variantName(incremental bool) string {
	if incremental {
		return "delta"
	}
	return "whole"
}

// recorder is an endpoint.Subscriber that records what it receives, so that a test can wait for it.
type recorder struct {
	lock     sync.Mutex // guards the fields below
	changed  *sync.Cond
	list     endpoint.List // the last one received
	lists    int           // number of lists received
	rejected []string
	links    []bool
}

func newRecorder() *recorder {
	r := &recorder{}
	r.changed = sync.NewCond(&r.lock)
	return r
}

func (r *recorder) update(f func()) {
	r.lock.Lock()
	defer r.lock.Unlock()
	f()
	r.changed.Broadcast()
}

func (r *recorder) OnUpdate(list endpoint.List) {
	r.update(func() { r.list = list; r.lists++ })
}

func (r *recorder) OnRejected(err error) {
	r.update(func() { r.rejected = append(r.rejected, err.Error()) })
}

func (r *recorder) OnLink(up bool, _ string) {
	r.update(func() { r.links = append(r.links, up) })
}

// await waits until a condition holds, and fails the test if that takes longer than timeout.
func (r *recorder) await(t testing.TB, what string, condition func(*recorder) bool) {
	t.Helper()
	overdue := time.AfterFunc(timeout, func() { r.update(func() {}) })
	defer overdue.Stop()
	end := time.Now().Add(timeout)
	r.lock.Lock()
	defer r.lock.Unlock()
	for !condition(r) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %q: last list %+v, %d lists, rejected %q, links %v",
				what, r.list, r.lists, r.rejected, r.links)
		}
		r.changed.Wait()
	}
}

// awaitList waits for a list, given as ports writes it.
func (r *recorder) awaitList(t testing.TB, want string) {
	t.Helper()
	r.await(t, want, func(r *recorder) bool { return ports(r.list) == want })
}

// awaitRejection waits for the rejection that follows a number of earlier ones, and that contains the text.
func (r *recorder) awaitRejection(t testing.TB, before int, text string) {
	t.Helper()
	r.await(t, "a rejection with "+text, func(r *recorder) bool {
		return len(r.rejected) > before && strings.Contains(r.rejected[before], text)
	})
}

// ports returns a list's ports with their health, sorted, such as "1000 1001/draining".
func ports(list endpoint.List) string {
	suffix := map[endpoint.Health]string{endpoint.Draining: "/draining", endpoint.Unhealthy: "/unwell"}
	var out []string
	for _, n := range list.Nodes {
		out = append(out, strings.TrimPrefix(n.Addr, "127.0.0.1:")+suffix[n.Health])
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// nodes returns a node for each port. The first digit of the port is the node's shard.
func nodes(ports ...string) (list []endpoint.Node) {
	for _, port := range ports {
		list = append(list, endpoint.Node{Addr: "127.0.0.1:" + port, Shard: int(port[0] - '0')})
	}
	return list
}

// startServer runs a management server until the test ends. Its nodes are distributed over the given number of
// clusters.
func startServer(t testing.TB, clusters int, list ...endpoint.Node) *xdsstandin.Server {
	t.Helper()
	s, err := xdsstandin.Start(testaddr.Reserve(t), clusters, list...) // it may restart at its address
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// startClient runs a client until the test ends.
func startClient(t testing.TB, opt xds.Options) *recorder {
	t.Helper()
	opt.InitialFetchTimeout = timeout
	opt.MinBackoff = time.Millisecond
	opt.Log = discardLog
	r := newRecorder()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	client := xds.NewClient(opt)
	go func() { done <- client.Run(ctx, r) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return r
}

// startNamedClient runs a client of the server, in the given variant of the protocol, until the test ends.
func startNamedClient(t testing.TB, s *xdsstandin.Server, incremental bool, name string) *recorder {
	t.Helper()
	return startClient(t, xds.Options{
		Address:     s.Addr(),
		Incremental: incremental,
		NodeID:      name,
		MaxBackoff:  20 * time.Millisecond,
	})
}

// runCommands runs commands on a server.
func runCommands(t testing.TB, s *xdsstandin.Server, commands ...string) {
	t.Helper()
	for _, command := range commands {
		if err := s.Command(command); err != nil {
			t.Fatal(command, err)
		}
	}
}

// pack packs a message into an Any.
func pack(t testing.TB, m proto.Message) *anypb.Any {
	t.Helper()
	a, err := anypb.New(m)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// clusters returns a response with clusters of the given names.
func clusters(t testing.TB, incremental bool, version, nonce string, names ...string) xds.Response {
	t.Helper()
	r := xds.Response{Type: xds.ClusterType, Version: version, Nonce: nonce}
	for _, name := range names {
		addResource(&r, incremental, name, pack(t, xdsstandin.Cluster(name)))
	}
	return r
}

// endpoints returns a response with the endpoints of one cluster.
func endpoints(t testing.TB, incremental bool, version, nonce, name string, ports ...string) xds.Response {
	t.Helper()
	r := xds.Response{Type: xds.EndpointType, Version: version, Nonce: nonce}
	addResource(&r, incremental, name, pack(t, xdsstandin.Assignment(name, nodes(ports...))))
	return r
}

// addResource adds a resource to a response of either variant.
func addResource(r *xds.Response, incremental bool, name string, body *anypb.Any) {
	if incremental {
		r.Changed = append(r.Changed, &discoveryv3.Resource{Name: name, Version: r.Version, Resource: body})
	} else {
		r.Resources = append(r.Resources, body)
	}
}
