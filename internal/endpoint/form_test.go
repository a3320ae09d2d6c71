package endpoint

import (
	"reflect"
	"strings"
	"testing"
)

// A list that is formatted and parsed again is unchanged. An invalid list is rejected with its file and line, or the
// invalid value.
func TestListRoundTripAndErrors(t *testing.T) {
	l := List{Nodes: []Node{
		{Addr: "127.0.0.1:1", Zone: "a", Shard: 0},
		{Addr: "127.0.0.1:2", Zone: "b", Shard: 3, Weight: 2, StartedAt: 1_700_000_000_123_456_789, Health: Draining},
		{Addr: "127.0.0.1:3", Health: Removed},
		{Addr: "127.0.0.1:4", Name: "four", Priority: 2, Health: Unhealthy},
	}}
	got, err := ParseList("nodes.hcl", FormatList(l))
	if err != nil || !reflect.DeepEqual(got.Nodes, l.Nodes) || got.Version == "" {
		t.Errorf("formatted and parsed: %+v gives %+v, error %v; want the same nodes, and a version", l, got, err)
	}
	for text, want := range map[string]string{
		"node \"a\" {\n  shard = -1\n}":                           "nodes.hcl:1",
		"node \"a\" {\n  shard = 1\n  standing = \"tired\"\n}":    "tired",
		"node \"a\" {\n  shard = 1\n  born = \"yesterday\"\n}":    "yesterday",
		"node \"a\" {\n  shard = 1\n}\nnode \"a\" {\n shard=2\n}": "nodes.hcl:4",
		"node \"a\" {\n  shard = 1\n  colour = 2\n}":              "nodes.hcl:3",
		"node \"a\" {": "nodes.hcl:1",
	} {
		if _, err := ParseList("nodes.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("parsing %q: got error %v, want one with the line or the invalid value", text, err)
		}
	}
}
