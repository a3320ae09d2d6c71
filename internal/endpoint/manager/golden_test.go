package manager

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
)

const (
	cachedFile = "g0.plane.nodes.hcl" // named after the gateway and the source
	timeout    = 30 * time.Second
)

// onceSource is a source that reports one list, or never connects if list is nil.
type onceSource struct{ list *endpoint.List }

func (s onceSource) Run(ctx context.Context, to endpoint.Subscriber) error {
	if s.list != nil {
		to.OnLink(true, "")
		to.OnUpdate(*s.list)
	}
	<-ctx.Done()
	return nil
}

// start runs a source under the name "plane" for gateway g0 until the test ends, and returns the lists passed on.
func start(t *testing.T, dir string, source endpoint.Source) <-chan endpoint.List {
	t.Helper()
	lists := make(chan endpoint.List, 8)
	begin := time.Now()
	m := Start(Options{
		Gateway:  "g0",
		Settings: membership.DefaultSettings,
		Sources:  []NamedSource{{Name: "plane", Source: source}},
		Dir:      dir,
		Now:      func() int64 { return 1e18 + int64(time.Since(begin)) },
		OnChange: func(list endpoint.List) { lists <- list },
		Log:      slog.New(slog.DiscardHandler),
	})
	t.Cleanup(m.Close)
	return lists
}

// awaitFile waits until a file exists, and returns its content.
func awaitFile(t *testing.T, file string) string {
	t.Helper()
	for end := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		content, err := os.ReadFile(file)
		if err == nil {
			return string(content)
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// The file name and the format of a cached list stay as they are, so that a later run can read it.
func TestGoldenCachedList(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata", cachedFile))
	if err != nil {
		t.Fatal(err)
	}
	list := endpoint.List{Version: "c:3 e:9", Nodes: []endpoint.Node{
		{Addr: "127.0.0.1:7000", Zone: "a"},
		{
			Addr:      "127.0.0.1:7001",
			Name:      "one",
			Zone:      "b",
			Shard:     1,
			Weight:    2.5,
			StartedAt: 1_767_366_245_123_456_789,
			Priority:  1,
		},
		{Addr: "127.0.0.1:7002", Zone: "b", Shard: 2, Health: endpoint.Draining},
	}}
	dir := t.TempDir()
	start(t, dir, onceSource{&list})
	if got := awaitFile(t, filepath.Join(dir, cachedFile)); got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", cachedFile, got, want)
	}

	next := t.TempDir()
	if err := os.WriteFile(filepath.Join(next, cachedFile), want, 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-start(t, next, onceSource{}):
		if got.Version != list.Version || !got.Stale || len(got.Nodes) != len(list.Nodes) {
			t.Fatalf("cached list: got %+v, want it stale, with the version and the number of nodes that were written", got)
		}
		second, third := got.Nodes[1], got.Nodes[2]
		if second.Weight != 2.5 || second.StartedAt != list.Nodes[1].StartedAt || third.Health != endpoint.Draining {
			t.Errorf("nodes of the cached list: got %+v, want the weight, the start and the health that were written",
				got.Nodes)
		}
	case <-time.After(timeout):
		t.Fatal("timed out waiting for the cached list")
	}
}
