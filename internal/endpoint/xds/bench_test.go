package xds_test

import (
	"fmt"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

// BenchmarkUpdate takes in an update in which one endpoint has changed, from its bytes to what the module is told: 50
// endpoints in each cluster; the whole form sends all clusters' endpoints, the incremental one the changed cluster's.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range []int{50, 500, 5000} {
		for _, delta := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/%s", size, map[bool]string{false: "whole", true: "delta"}[delta]), func(b *testing.B) {
				s, f := xds.NewSession(delta, nil, time.Minute), membership.New(membership.DefaultSettings, "plane")
				s.OpenStream(sec)
				var names []string
				var lists [][]endpoint.Node
				for i := range size / 50 {
					names = append(names, fmt.Sprint("c", i))
					var list []endpoint.Node
					for j := range 50 {
						list = append(list, endpoint.Node{Addr: fmt.Sprintf("127.0.%d.%d:7000", i, j+1), Shard: i*50 + j, Zone: "z"})
					}
					lists = append(lists, list)
				}
				now := sec
				s.HandleResponse(now, clusters(b, delta, "1", "n", names...))
				make1 := func(only int, version string) xds.Response {
					u := xds.Response{Type: xds.EndpointType, Version: version, Nonce: version}
					for i, name := range names {
						if only < 0 || !delta || i == only {
							add(b, &u, delta, name, pack(b, xdsstandin.Assignment(name, lists[i])))
						}
					}
					return u
				}
				src := f.Sources()[0]
				src.LinkUp(now)
				src.Receive(now, *s.HandleResponse(now, make1(-1, "1")).List)
				f.Reconcile(now)
				var updates [2]xds.Response
				for k := range updates {
					lists[0][0].Zone = fmt.Sprint("zone", k)
					updates[k] = make1(0, fmt.Sprint(k+2))
				}
				bytes := 0
				for _, r := range updates[0].Resources {
					bytes += len(r.Value)
				}
				for _, r := range updates[0].Changed {
					bytes += len(r.Resource.Value)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now += sec
					out := s.HandleResponse(now, updates[i%2])
					src.Receive(now, *out.List)
					if told := f.Reconcile(now); !told.Changed || len(told.List.Nodes) != size {
						b.Fatalf("changed %v, %d nodes", told.Changed, len(told.List.Nodes))
					}
				}
				b.ReportMetric(float64(bytes), "wire-B/op")
			})
		}
	}
}

// BenchmarkFleet changes one of 50 nodes at one stand-in until all of 200 clients have the list, over loopback sockets.
func BenchmarkFleet(b *testing.B) {
	for _, delta := range []bool{false, true} {
		b.Run(map[bool]string{false: "whole", true: "delta"}[delta], func(b *testing.B) {
			var list []endpoint.Node
			for i := range 50 {
				list = append(list, nodes(fmt.Sprint(1000+i))...)
			}
			s, err := xdsstandin.Start("127.0.0.1:0", 10, list...)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(s.Close)
			var ears []*recorder
			for i := range 200 {
				ears = append(ears, listen(b, s, delta, fmt.Sprint("g", i)))
			}
			for _, e := range ears {
				e.until(b, "50 nodes", func(e *recorder) bool { return len(e.list.Nodes) == 50 })
			}
			b.ResetTimer()
			for i := range b.N {
				weight := float64(i + 1)
				s.UpdateNodes(func(list []endpoint.Node) []endpoint.Node { list[0].Weight = weight; return list })
				for _, e := range ears {
					e.until(b, "a change", func(e *recorder) bool {
						for _, n := range e.list.Nodes {
							if n.Addr == "127.0.0.1:1000" {
								return n.Weight == weight
							}
						}
						return false
					})
				}
			}
		})
	}
}
