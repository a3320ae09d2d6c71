package xds_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

// inBothVariants runs a test in both variants of the protocol, with a client of a server that has four nodes in the
// given number of clusters.
func inBothVariants(t *testing.T, clusters int, test func(*testing.T, *xdsstandin.Server, *recorder)) {
	t.Helper()
	for _, incremental := range []bool{false, true} {
		t.Run(variantName(incremental), func(t *testing.T) {
			s := startServer(t, clusters, nodes("1000", "1001", "2000", "3000")...)
			r := startNamedClient(t, s, incremental, "g1")
			r.awaitList(t, "1000 1001 2000 3000")
			test(t, s, r)
		})
	}
}

// Nodes that are added, drained, ready again, unhealthy or removed are reported, with one cluster and with several.
func TestClientReportsChanges(t *testing.T) {
	for _, clusters := range []int{1, 3} {
		inBothVariants(t, clusters, func(t *testing.T, s *xdsstandin.Server, r *recorder) {
			runCommands(t, s, "add 127.0.0.1:4000 4 z")
			r.awaitList(t, "1000 1001 2000 3000 4000")
			runCommands(t, s, "drain 127.0.0.1:1000")
			r.awaitList(t, "1000/draining 1001 2000 3000 4000")
			runCommands(t, s, "ready 127.0.0.1:1000", "unwell 127.0.0.1:2000")
			r.awaitList(t, "1000 1001 2000/unwell 3000 4000")
			runCommands(t, s, "remove 127.0.0.1:2000")
			r.awaitList(t, "1000 1001 3000 4000")
			runCommands(t, s, "everybody unwell")
			r.awaitList(t, "1000/unwell 1001/unwell 3000/unwell 4000/unwell")
			runCommands(t, s, "nothing")
			r.awaitList(t, "")
		})
	}
}

// awaitNACK waits until the last request that a server received is a rejection whose reason contains the text.
func awaitNACK(t *testing.T, s *xdsstandin.Server, text string) {
	t.Helper()
	err := s.WaitForAcks(timeout, func(answers []xdsstandin.Ack) bool {
		last := answers[len(answers)-1]
		return last.Refusal != "" && strings.Contains(last.Refusal, text)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// An invalid response is rejected with the reason and has no effect. A valid response with the same version that
// follows is accepted, even if the stream was cut between the two.
func TestValidResponseAfterRejectedOne(t *testing.T) {
	for _, cut := range []bool{false, true} {
		inBothVariants(t, 1, func(t *testing.T, s *xdsstandin.Server, r *recorder) {
			reasons := map[string]string{"endpoints": "its shard is unknown", "clusters": "eds_cluster_config"}
			for i, kind := range []string{"endpoints", "clusters"} {
				runCommands(t, s, "broken "+kind)
				r.awaitRejection(t, i, "")
				awaitNACK(t, s, reasons[kind])
				if got := ports(r.list); got != "1000 1001 2000 3000" {
					t.Errorf("the list in force is %q, want \"1000 1001 2000 3000\"", got)
				}
				if cut {
					runCommands(t, s, "cut")
				}
				runCommands(t, s, "mend", fmt.Sprintf("add 127.0.0.1:%d 5", 5000+i))
				r.await(t, "a list from the valid response", func(r *recorder) bool {
					return strings.Contains(ports(r.list), fmt.Sprint(5000+i))
				})
				runCommands(t, s, fmt.Sprintf("remove 127.0.0.1:%d", 5000+i))
				r.awaitList(t, "1000 1001 2000 3000")
			}
		})
	}
}

// The client ends up with the server's list after any of these faults: streams that are cut, refused, slow or silent,
// that repeat a nonce or send endpoints without a subscription, and servers that restart and use the same versions
// again.
func TestClientRecoversFromFaults(t *testing.T) {
	inBothVariants(t, 2, func(t *testing.T, s *xdsstandin.Server, r *recorder) {
		want := "1000 1001 2000 3000"
		for i, fault := range [][]string{
			{"cut"},
			{"refuse on", "cut", "refuse off"},
			{"slow 20ms", "cut"},
			{"slow 0s"},
			{"mute on", "cut", "mute off"},
			{"nonces on"},
			{"nonces off", "cut"},
			{"blurt"},
			{"restart"},
			{"cut", "cut", "restart", "cut"},
		} {
			runCommands(t, s, fault...)
			addr := fmt.Sprint(4000 + i)
			runCommands(t, s, "add 127.0.0.1:"+addr+" 4")
			want += " " + addr
			r.awaitList(t, want)
		}
		r.lock.Lock()
		defer r.lock.Unlock()
		if len(r.rejected) > 0 {
			t.Errorf("rejected: %q, want none", r.rejected)
		}
		for i := 1; i < len(r.links); i++ { // a failed attempt is reported as down even if the link is down already
			if r.links[i] && r.links[i-1] {
				t.Errorf("the link was reported as up twice in a row: %v", r.links)
			}
		}
	})
}

// If a server returns to an older state after a cut, the client reports the older list. Deciding whether to use it is
// left to package membership (hold-down).
func TestOlderStateIsReported(t *testing.T) {
	inBothVariants(t, 1, func(t *testing.T, s *xdsstandin.Server, r *recorder) {
		runCommands(t, s, "drain 127.0.0.1:1000")
		r.awaitList(t, "1000/draining 1001 2000 3000")
		runCommands(t, s, "old")
		r.awaitList(t, "1000 1001 2000 3000")
		runCommands(t, s, "drain 127.0.0.1:2000")
		r.awaitList(t, "1000/draining 1001 2000/draining 3000")
	})
}

// Resources with a time to live are kept by heartbeats and expire without them.
func TestHeartbeatsKeepResources(t *testing.T) {
	inBothVariants(t, 1, func(t *testing.T, s *xdsstandin.Server, r *recorder) {
		s.SetTTL(xds.EndpointType, time.Hour)
		before := r.lists
		s.SendHeartbeats(xds.EndpointType)
		r.await(t, "a heartbeat", func(r *recorder) bool { return r.lists > before })
		r.awaitList(t, "1000 1001 2000 3000")
		s.SetTTL(xds.EndpointType, 50*time.Millisecond)
		r.awaitList(t, "")
	})
}

// A message over the size limit is reported, and the list in force stays.
func TestMessageOverTheLimitIsRejected(t *testing.T) {
	s := startServer(t, 1, nodes("1000")...)
	r := startClient(t, xds.Options{
		Address:         s.Addr(),
		NodeID:          "g",
		MaxBackoff:      time.Millisecond,
		MaxMessageBytes: 2000,
	})
	r.awaitList(t, "1000")
	s.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return nodes("2000") })
	r.awaitList(t, "2000")
	s.UpdateNodes(func(list []endpoint.Node) []endpoint.Node {
		for i := range 100 {
			list = append(list, nodes(fmt.Sprint(3000+i))...)
		}
		return list
	})
	r.awaitRejection(t, 0, "message exceeds the limit")
	if got := ports(r.list); got != "2000" {
		t.Errorf("the list in force is %q, want \"2000\"", got)
	}
}

// With one server, 50 nodes and 200 clients, half of them in each variant of the protocol, all clients receive each
// change and recover after their streams are cut.
func TestManyClientsGetAllChanges(t *testing.T) {
	var list []endpoint.Node
	for i := range 50 {
		list = append(list, nodes(fmt.Sprint(1000+i))...)
	}
	s := startServer(t, 10, list...)
	var clients []*recorder
	for i := range 200 {
		clients = append(clients, startNamedClient(t, s, i%2 == 0, fmt.Sprint("g", i)))
	}
	awaitAll := func(what string, condition func(*recorder) bool) {
		t.Helper()
		for _, r := range clients {
			r.await(t, what, condition)
		}
	}
	awaitAll("50 nodes", func(r *recorder) bool { return len(r.list.Nodes) == 50 })
	runCommands(t, s, "drain 127.0.0.1:1000")
	awaitAll("a drain", func(r *recorder) bool { return strings.Contains(ports(r.list), "1000/draining") })
	runCommands(t, s, "cut", "add 127.0.0.1:2000 2")
	awaitAll("51 nodes after a cut", func(r *recorder) bool { return len(r.list.Nodes) == 51 })
}
