package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeInvalidList writes an endpoint list with a node state that does not exist, and returns the file name.
func writeInvalidList(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "nodes.hcl")
	if err := os.WriteFile(file, []byte("node \"a\" {\n  shard = 0\n  standing = \"ill\"\n}\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestCheckNamesTheFileThatIsWrong(t *testing.T) {
	invalid := writeInvalidList(t)
	out, err := run("check", "../../examples/canteen.hcl", invalid, "../../examples/day-quiet.hcl")
	if err == nil || !strings.Contains(err.Error(), "1 of 3") || strings.Count(out, "is in order") != 2 ||
		!strings.Contains(out, "nodes.hcl:1") {
		t.Errorf("got output %q and error %v, want 1 of 3 files reported as invalid, at nodes.hcl:1", out, err)
	}
}

// The check of a configuration includes the files of its sources.
func TestCheckReadsTheFilesOfSources(t *testing.T) {
	dir := t.TempDir()
	src, err := os.ReadFile("../../examples/canteen.hcl")
	if err != nil {
		t.Fatal(err)
	}
	conf := filepath.Join(dir, "gateway.hcl")
	const source = "source \"xds-file\" \"f\" {\n  clusters = \"c.json\"\n  endpoints = \"e.json\"\n}\n"
	text := strings.Replace(string(src), "  nodes    = \"nodes.hcl\"\n", "", 1) + source
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("gateway.hcl", text)
	if out, err := run("check", conf); err != nil { // a missing source file is not an error
		t.Errorf("without source files: got output %q and error %v, want no error", out, err)
	}
	write("c.json", `{"resources": [{"@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster",
		"name": "a", "type": "STRICT_DNS"}]}`)
	write("e.json", `{}`)
	out, err := run("check", conf)
	if err == nil || !strings.Contains(out, "STRICT_DNS is not supported") || !strings.Contains(out, "c.json") {
		t.Errorf("got output %q and error %v, want STRICT_DNS in c.json rejected", out, err)
	}
}
