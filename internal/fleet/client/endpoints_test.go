package client

import (
	"flag"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
)

// TestEndpointChangesAddUpToTheList checks that applying each change in turn results in the full list, and that an
// endpoint is never newly removed in a partial list, which would leave its connections open.
func TestEndpointChangesAddUpToTheList(t *testing.T) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "7"} { // fixed seed, no files
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		var previous []endpoint.Node
		known := map[string]endpoint.Node{}
		for range 8 {
			current := drawEndpoints(t)
			change := endpointChange(previous, current)
			previous = current
			if !change.Partial {
				clear(known)
			} else if slices.ContainsFunc(current, func(n endpoint.Node) bool { return newlyRemoved(known, n) }) {
				t.Fatalf("a partial list removes an endpoint, so its connections stay open: %+v", change)
			}
			for _, node := range change.Nodes {
				known[node.Addr] = node
			}
			byAddr := func(a, b endpoint.Node) int { return int(a.Addr[0]) - int(b.Addr[0]) }
			if got := slices.SortedFunc(maps.Values(known), byAddr); !slices.Equal(got, current) {
				t.Fatalf("after the change: got %v, want %v", got, current)
			}
			if none := endpointChange(current, current); !none.Partial || len(none.Nodes) > 0 {
				t.Fatalf("unchanged list: got %+v, want an empty partial list", none)
			}
		}
	})
}

// drawEndpoints draws a list of endpoints, sorted by address.
func drawEndpoints(t *rapid.T) []endpoint.Node {
	list := []endpoint.Node{}
	for _, addr := range []string{"a", "b", "c", "d", "e"} {
		if rapid.IntRange(0, 3).Draw(t, addr) > 0 {
			startedAt := rapid.Int64Range(0, 1).Draw(t, "started at")
			health := endpoint.Health(rapid.IntRange(0, 2).Draw(t, "health"))
			list = append(list, endpoint.Node{Addr: addr, StartedAt: startedAt, Health: health})
		}
	}
	return list
}

// newlyRemoved reports whether an endpoint is removed now and was known as not removed before.
func newlyRemoved(known map[string]endpoint.Node, node endpoint.Node) bool {
	before, exists := known[node.Addr]
	return node.Health == endpoint.Removed && exists && before.Health != endpoint.Removed
}
