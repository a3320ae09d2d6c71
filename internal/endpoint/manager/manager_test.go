package manager

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/membership"
)

// sourceFunc adapts a function to endpoint.Source.
type sourceFunc func(ctx context.Context, to endpoint.Subscriber) error

func (f sourceFunc) Run(ctx context.Context, to endpoint.Subscriber) error { return f(ctx, to) }

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	lock sync.Mutex // guards text
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}

// wantLog checks that a log contains all of the texts.
func wantLog(t *testing.T, log *logBuffer, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if !strings.Contains(log.String(), text) {
			t.Errorf("the log does not contain %q:\n%s", text, log)
		}
	}
}

// run starts a manager that runs until the test ends, and returns it with the lists that it passes on and its log.
func run(t *testing.T, dir string, sources ...NamedSource) (*Manager, <-chan endpoint.List, *logBuffer) {
	t.Helper()
	lists, log := make(chan endpoint.List, 8), &logBuffer{}
	begin := time.Now()
	m := Start(Options{
		Gateway:  "g0",
		Settings: membership.DefaultSettings,
		Sources:  sources,
		Dir:      dir,
		Now:      func() int64 { return 1e18 + int64(time.Since(begin)) },
		OnChange: func(list endpoint.List) { lists <- list },
		Log:      slog.New(slog.NewTextHandler(log, nil)),
	})
	t.Cleanup(m.Close)
	return m, lists, log
}

// await waits until a channel delivers a value or is closed.
func await[T any](t *testing.T, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(timeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return value
}

func TestManagerWithoutSourcesIsSynced(t *testing.T) {
	m, _, _ := run(t, "")
	await(t, "the manager to be synced", m.Synced())
}

// A source that returns an error becomes disconnected. The error counts as a rejection, and so as a report.
func TestSourceThatEndsIsDisconnected(t *testing.T) {
	sourceErr := errors.New("no such directory")
	m, _, log := run(t, "", NamedSource{"own", sourceFunc(func(_ context.Context, to endpoint.Subscriber) error {
		to.OnLink(true, "")
		return sourceErr
	})})
	await(t, "the report of the source", m.Synced())
	var state membership.SourceState
	var rejections int
	for end := time.Now().Add(timeout); state != membership.Disconnected && time.Now().Before(end); {
		m.View(func(_, _ int64, tracker *membership.Tracker) {
			source := tracker.Sources()[0]
			state, rejections = source.State, source.Rejections
		})
	}
	if state != membership.Disconnected || rejections != 1 {
		t.Errorf("got state %v, %d rejections; want Disconnected, 1", state, rejections)
	}
	wantLog(t, log, "endpoint list update rejected", "source ended with an error: "+sourceErr.Error(),
		"gateway=g0", "source=own")
}

// A loss of all nodes is held down until it is confirmed; then the empty list is passed on.
func TestConfirmedLossIsHandedOn(t *testing.T) {
	updates := make(chan endpoint.List, 2)
	m, lists, _ := run(t, "", NamedSource{"own", sourceFunc(func(ctx context.Context, to endpoint.Subscriber) error {
		to.OnLink(true, "")
		for {
			select {
			case list := <-updates:
				to.OnUpdate(list)
			case <-ctx.Done():
				return nil
			}
		}
	})})
	updates <- endpoint.List{Version: "1", Nodes: []endpoint.Node{{Addr: "127.0.0.1:7000"}}}
	if list := await(t, "the first list", lists); list.Version != "1" || len(list.Nodes) != 1 {
		t.Errorf("got list %+v, want version 1 with one node", list)
	}
	updates <- endpoint.List{Version: "2"}
	held := false
	for end := time.Now().Add(timeout); !held && time.Now().Before(end); {
		m.View(func(now, changedAt int64, tracker *membership.Tracker) {
			_, _, _, held = tracker.HoldDown()
			if changedAt == 0 || changedAt > now {
				t.Errorf("last change at %d, want a time up to now, %d", changedAt, now)
			}
		})
	}
	if nodes, lists, running := m.Confirm(); nodes != 1 || lists != 0 || !running {
		t.Errorf("Confirm: got %d nodes, %d lists, running %v; want 1, 0, true", nodes, lists, running)
	}
	if list := await(t, "the empty list", lists); list.Version != "2" || len(list.Nodes) != 0 {
		t.Errorf("got list %+v, want version 2 without nodes", list)
	}
}

func TestUnreadableCacheIsIgnored(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "g0.own.nodes.hcl"), []byte("node {"), 0o600); err != nil {
		t.Fatal(err)
	}
	m, _, log := run(t, dir, NamedSource{"own", onceSource{}})
	m.View(func(_, _ int64, tracker *membership.Tracker) {
		if n := tracker.Sources()[0].NodeCount(); n != 0 {
			t.Errorf("got %d nodes from an unreadable cache file, want 0", n)
		}
	})
	wantLog(t, log, "level=WARN", "cached endpoint list ignored", "own.nodes.hcl:1")
}

func TestClosedManagerIsNotRunning(t *testing.T) {
	m, _, _ := run(t, "", NamedSource{"own", onceSource{}})
	m.Close()
	if _, _, running := m.Confirm(); running {
		t.Error("Confirm of a closed manager reports that it is running")
	}
	if m.View(func(int64, int64, *membership.Tracker) {}) {
		t.Error("View of a closed manager returns true")
	}
}
