package endpoint

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"irispost/internal/testkit/golden"
)

// listJSON returns a list as JSON under fixed keys, independent of the names of Go fields.
func listJSON(t *testing.T, list List) []byte {
	t.Helper()
	nodes := []map[string]any{}
	for _, n := range list.Nodes {
		nodes = append(nodes, map[string]any{
			"addr":     n.Addr,
			"name":     n.Name,
			"zone":     n.Zone,
			"shard":    n.Shard,
			"weight":   n.Weight,
			"born":     n.StartedAt,
			"standing": int(n.Health),
			"priority": n.Priority,
		})
	}
	form := map[string]any{"version": list.Version, "stale": list.Stale, "part": list.Partial, "nodes": nodes}
	b, err := json.MarshalIndent(form, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(b, '\n')
}

// A list file in the native format: what is read from it, how the list is written, and the version given to a list
// without one.
func TestGoldenListFile(t *testing.T) {
	src, err := os.ReadFile(filepath.Join("testdata", "read.nodes.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	named, err := ParseList("read.nodes.hcl", src)
	if err != nil {
		t.Fatal(err)
	}
	unnamed, err := ParseList("read.nodes.hcl", bytes.Replace(src, []byte(`version = "7"`), nil, 1))
	if err != nil {
		t.Fatal(err)
	}
	named.Stale, named.Partial = true, true // neither is written
	for _, c := range []struct {
		file string
		got  []byte
	}{
		{"read.json", listJSON(t, named)},
		{"read-unnamed.json", listJSON(t, unnamed)},
		{"written.nodes.hcl", FormatList(named)},
	} {
		golden.Check(t, c.file, c.got)
	}
}
