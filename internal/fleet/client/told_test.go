package client

import (
	"flag"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
)

// Whoever is told the changes alone knows what one knows who is told each list whole.
func TestChangesAreTheList(t *testing.T) {
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.seed", "7") // the same each time
	rapid.Check(t, func(t *rapid.T) {
		var told []endpoint.Node
		known := map[string]endpoint.Node{}
		for range 8 {
			now := []endpoint.Node{}
			for _, addr := range []string{"a", "b", "c", "d", "e"} {
				if rapid.IntRange(0, 3).Draw(t, addr) > 0 {
					now = append(now, endpoint.Node{Addr: addr, StartedAt: rapid.Int64Range(0, 1).Draw(t, "born"), Health: endpoint.Health(rapid.IntRange(0, 2).Draw(t, "standing"))})
				}
			}
			l := change(told, now)
			if told = now; !l.Partial {
				clear(known)
			} else if slices.ContainsFunc(now, func(n endpoint.Node) bool {
				was, there := known[n.Addr]
				return n.Health == endpoint.Removed && there && was.Health != endpoint.Removed
			}) {
				t.Fatalf("a node is gone, and its connections stay: %+v", l)
			}
			for _, n := range l.Nodes {
				known[n.Addr] = n
			}
			if got := slices.SortedFunc(maps.Values(known), func(a, b endpoint.Node) int { return int(a.Addr[0]) - int(b.Addr[0]) }); !slices.Equal(got, now) {
				t.Fatalf("known is %v, not %v", got, now)
			}
			if again := change(now, now); !again.Partial || len(again.Nodes) > 0 {
				t.Fatalf("nothing has changed: %+v", again)
			}
		}
	})
}
