package xds_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

// clusterSize is the number of endpoints in each cluster of BenchmarkUpdate.
const clusterSize = 50

// benchmarkNodes holds the cluster names of a benchmark and the nodes of each cluster.
type benchmarkNodes struct {
	names []string
	lists [][]endpoint.Node
}

// newBenchmarkNodes returns size nodes, each in a shard of its own, in clusters of clusterSize.
func newBenchmarkNodes(size int) *benchmarkNodes {
	in := &benchmarkNodes{}
	for i := range size / clusterSize {
		in.names = append(in.names, fmt.Sprint("c", i))
		var list []endpoint.Node
		for j := range clusterSize {
			addr := fmt.Sprintf("127.0.%d.%d:7000", i, j+1)
			list = append(list, endpoint.Node{Addr: addr, Shard: i*clusterSize + j, Zone: "z"})
		}
		in.lists = append(in.lists, list)
	}
	return in
}

// endpoints returns a response with the endpoints of all clusters. In the incremental variant it has those of the
// cluster with the given index only, or of all clusters if the index is negative.
func (in *benchmarkNodes) endpoints(b *testing.B, incremental bool, index int, version string) xds.Response {
	b.Helper()
	r := xds.Response{Type: xds.EndpointType, Version: version, Nonce: version}
	for i, name := range in.names {
		if index < 0 || !incremental || i == index {
			addResource(&r, incremental, name, pack(b, xdsstandin.Assignment(name, in.lists[i])))
		}
	}
	return r
}

// wireBytes returns the size of a response's resources.
func wireBytes(r xds.Response) (bytes int) {
	for _, body := range r.Resources {
		bytes += len(body.Value)
	}
	for _, wrapper := range r.Changed {
		bytes += len(wrapper.Resource.Value)
	}
	return bytes
}

// BenchmarkUpdate measures the processing of a response in which one endpoint has changed, from its bytes to the list
// for the scheduler. A state-of-the-world response has the endpoints of all clusters, an incremental one those of the
// changed cluster.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range []int{50, 500, 5000} {
		for _, incremental := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/%s", size, variantName(incremental)), func(b *testing.B) {
				benchmarkUpdate(b, size, incremental)
			})
		}
	}
}

func benchmarkUpdate(b *testing.B, size int, incremental bool) {
	s, tracker := xds.NewSession(incremental, nil, time.Minute), membership.New(membership.DefaultSettings, "plane")
	in := newBenchmarkNodes(size)
	now := sec
	s.OpenStream(now)
	s.HandleResponse(now, clusters(b, incremental, "1", "n", in.names...))
	source := tracker.Sources()[0]
	source.LinkUp(now)
	source.Receive(now, *s.HandleResponse(now, in.endpoints(b, incremental, -1, "1")).List)
	tracker.Reconcile(now)
	var responses [2]xds.Response
	for i := range responses {
		in.lists[0][0].Zone = fmt.Sprint("zone", i)
		responses[i] = in.endpoints(b, incremental, 0, fmt.Sprint(i+2))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += sec
		out := s.HandleResponse(now, responses[i%2])
		source.Receive(now, *out.List)
		update := tracker.Reconcile(now)
		if !update.Changed || len(update.List.Nodes) != size {
			b.Fatalf("got changed %v, %d nodes; want true, all nodes", update.Changed, len(update.List.Nodes))
		}
	}
	b.ReportMetric(float64(wireBytes(responses[0])), "wire-B/op")
}

// BenchmarkFleet measures the time from a change of one of 50 nodes at one server until all of 200 clients have the
// new list, over loopback sockets.
func BenchmarkFleet(b *testing.B) {
	for _, incremental := range []bool{false, true} {
		b.Run(variantName(incremental), func(b *testing.B) { benchmarkFleet(b, incremental) })
	}
}

func benchmarkFleet(b *testing.B, incremental bool) {
	var list []endpoint.Node
	for i := range 50 {
		list = append(list, nodes(fmt.Sprint(1000+i))...)
	}
	s := startServer(b, 10, list...)
	var clients []*recorder
	for i := range 200 {
		clients = append(clients, startNamedClient(b, s, incremental, fmt.Sprint("g", i)))
	}
	for _, r := range clients {
		r.await(b, "50 nodes", func(r *recorder) bool { return len(r.list.Nodes) == 50 })
	}
	b.ResetTimer()
	for i := range b.N {
		weight := float64(i + 1)
		s.UpdateNodes(func(list []endpoint.Node) []endpoint.Node { list[0].Weight = weight; return list })
		changed := endpoint.Node{Addr: "127.0.0.1:1000", Weight: weight}
		for _, r := range clients {
			r.await(b, "a change", func(r *recorder) bool {
				return slices.ContainsFunc(r.list.Nodes, func(n endpoint.Node) bool {
					return n.Addr == changed.Addr && n.Weight == changed.Weight
				})
			})
		}
	}
}
