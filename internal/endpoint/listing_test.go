package endpoint

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// A list that is written comes back; one that is wrong is refused with its line.
func TestParse(t *testing.T) {
	l := List{Nodes: []Node{{Addr: "127.0.0.1:1", Zone: "a", Shard: 0}, {Addr: "127.0.0.1:2", Zone: "b", Shard: 3, Weight: 2,
		StartedAt: 1_700_000_000_123_456_789, Health: Draining}, {Addr: "127.0.0.1:3", Health: Removed},
		{Addr: "127.0.0.1:4", Name: "four", Priority: 2, Health: Unhealthy}}}
	got, err := ParseList("nodes.hcl", FormatList(l))
	if err != nil || !reflect.DeepEqual(got.Nodes, l.Nodes) || got.Version == "" {
		t.Errorf("%+v comes back as %+v, %v", l, got, err)
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
			t.Errorf("%q: %v", text, err)
		}
	}
}

type recorder struct {
	lists chan List
	bad   chan error
}

func (e recorder) OnUpdate(l List)      { e.lists <- l }
func (e recorder) OnRejected(why error) { e.bad <- why }
func (e recorder) OnLink(bool, string)  {}

// A file that changes is read anew, whether it is put in place or written over; a bad one is told and changes nothing.
func TestFileIsWatched(t *testing.T) {
	file := filepath.Join(t.TempDir(), "nodes.hcl")
	write := func(text string) {
		next := file + ".next"
		if err := os.WriteFile(next, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, file); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	lists, bad, done := make(chan List, 10), make(chan error, 10), make(chan error, 1)
	go func() {
		done <- FileSource{file}.Run(ctx, recorder{lists, bad})
	}()
	if err := <-bad; !os.IsNotExist(err) {
		t.Errorf("no file: %v", err)
	}
	write("node \"a\" {\n  shard = 1\n}\n")
	if l := <-lists; len(l.Nodes) != 1 || l.Nodes[0].Addr != "a" {
		t.Errorf("%+v", l)
	}
	write("node \"a\" {\n")
	if err := <-bad; !strings.Contains(err.Error(), "nodes.hcl:1") {
		t.Error(err)
	}
	write("node \"b\" {\n  shard = 1\n}\n")
	if l := <-lists; len(l.Nodes) != 1 || l.Nodes[0].Addr != "b" {
		t.Errorf("%+v", l)
	}
	cancel()
	if err := <-done; err != nil || len(lists) > 0 {
		t.Errorf("%v, %d lists more", err, len(lists))
	}
}
