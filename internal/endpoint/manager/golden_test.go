package manager

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
)

const (
	keptFile = "g0.plane.nodes.hcl" // the gateway's name and the source's
	longEnd  = 30 * time.Second
)

// script is a source that hands out one list; nil: it is never reached.
type script struct{ list *endpoint.List }

func (s script) Run(ctx context.Context, to endpoint.Subscriber) error {
	if s.list != nil {
		to.OnLink(true, "")
		to.OnUpdate(*s.list)
	}
	<-ctx.Done()
	return nil
}

// start runs a gateway's source plane over a folder, and returns where it is told.
func start(t *testing.T, folder string, source endpoint.Source) <-chan endpoint.List {
	t.Helper()
	told := make(chan endpoint.List, 8)
	begin := time.Now()
	r := Start(Options{Gateway: "g0", Settings: membership.DefaultSettings, Sources: []NamedSource{{Name: "plane", Source: source}}, Dir: folder,
		Now: func() int64 { return 1e18 + int64(time.Since(begin)) }, OnChange: func(l endpoint.List) { told <- l },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	t.Cleanup(r.Close)
	return told
}

// A list is kept in the folder under the file's name, in the form of testdata, and the file is what the next start is told of.
func TestGoldenKeptList(t *testing.T) {
	want, err := os.ReadFile(filepath.Join("testdata", keptFile))
	if err != nil {
		t.Fatal(err)
	}
	list := endpoint.List{Version: "c:3 e:9", Nodes: []endpoint.Node{
		{Addr: "127.0.0.1:7000", Zone: "a"},
		{Addr: "127.0.0.1:7001", Name: "one", Zone: "b", Shard: 1, Weight: 2.5, StartedAt: 1_767_366_245_123_456_789, Priority: 1},
		{Addr: "127.0.0.1:7002", Zone: "b", Shard: 2, Health: endpoint.Draining},
	}}
	folder := t.TempDir()
	start(t, folder, script{&list})
	file, end := filepath.Join(folder, keptFile), time.Now().Add(longEnd)
	for {
		got, err := os.ReadFile(file)
		if err == nil {
			if string(got) != string(want) {
				t.Errorf("%s is kept as\n%s\nwant\n%s", keptFile, got, want)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}

	again := t.TempDir()
	if err := os.WriteFile(filepath.Join(again, keptFile), want, 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case l := <-start(t, again, script{}):
		if l.Version != list.Version || !l.Stale || len(l.Nodes) != 3 || l.Nodes[1].Weight != 2.5 || l.Nodes[1].StartedAt != list.Nodes[1].StartedAt ||
			l.Nodes[2].Health != endpoint.Draining {
			t.Errorf("the kept list is told as %+v", l)
		}
	case <-time.After(longEnd):
		t.Fatal("the kept list is not told")
	}
}
