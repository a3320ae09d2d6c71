package endpoint

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden fails the test if got differs from testdata/name.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

// formOf is a list in a form of the test's own, whatever the fields are called in code.
func formOf(t *testing.T, l List) []byte {
	t.Helper()
	nodes := []map[string]any{}
	for _, n := range l.Nodes {
		nodes = append(nodes, map[string]any{"addr": n.Addr, "name": n.Name, "zone": n.Zone, "shard": n.Shard, "weight": n.Weight,
			"born": n.StartedAt, "standing": int(n.Health), "priority": n.Priority})
	}
	b, err := json.MarshalIndent(map[string]any{"version": l.Version, "stale": l.Stale, "part": l.Partial, "nodes": nodes}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(b, '\n')
}

// The list file in our own form: what is read of it, how it is written, and the version of one that names none.
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
		{"read.json", formOf(t, named)},
		{"read-unnamed.json", formOf(t, unnamed)},
		{"written.nodes.hcl", FormatList(named)},
	} {
		checkGolden(t, c.file, c.got)
	}
}
