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

// sourceFunc is a source that is a function.
type sourceFunc func(ctx context.Context, to endpoint.Subscriber) error

func (f sourceFunc) Run(ctx context.Context, to endpoint.Subscriber) error { return f(ctx, to) }

// logBuffer is a log that may be read while it is written.
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

// wantLog fails the test unless a log has all of these texts.
func wantLog(t *testing.T, log *logBuffer, texts ...string) {
	t.Helper()
	for _, text := range texts {
		if !strings.Contains(log.String(), text) {
			t.Errorf("the log has no %q:\n%s", text, log)
		}
	}
}

// run runs a manager until the test ends, and returns the lists that it hands on and its log.
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

// await waits for a value or the end of a channel.
func await[T any](t *testing.T, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(timeout):
		t.Fatalf("%s does not come", what)
	}
	return value
}

func TestManagerWithoutSourcesIsSynced(t *testing.T) {
	m, _, _ := run(t, "")
	await(t, "the end of the wait for sources", m.Synced())
}

// A source that ends counts as disconnected, with its error as a rejection; that is a report as well.
func TestSourceThatEndsIsDisconnected(t *testing.T) {
	sourceErr := errors.New("no such directory")
	m, _, log := run(t, "", NamedSource{"own", sourceFunc(func(_ context.Context, to endpoint.Subscriber) error {
		to.OnLink(true, "")
		return sourceErr
	})})
	await(t, "the source's report", m.Synced())
	var state membership.SourceState
	var rejections int
	for end := time.Now().Add(timeout); state != membership.Disconnected && time.Now().Before(end); {
		m.View(func(_, _ int64, tracker *membership.Tracker) {
			source := tracker.Sources()[0]
			state, rejections = source.State, source.Rejections
		})
	}
	if state != membership.Disconnected || rejections != 1 {
		t.Errorf("state %v, %d rejections", state, rejections)
	}
	wantLog(t, log, "endpoint list update rejected", "the source has ended: "+sourceErr.Error(), "gateway=g0", "source=own")
}

// A loss of all nodes is held down until it is confirmed; then the empty list is handed on.
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
		t.Errorf("%+v", list)
	}
	updates <- endpoint.List{Version: "2"}
	held := false
	for end := time.Now().Add(timeout); !held && time.Now().Before(end); {
		m.View(func(now, changedAt int64, tracker *membership.Tracker) {
			_, _, _, held = tracker.HoldDown()
			if changedAt == 0 || changedAt > now {
				t.Errorf("changed at %d, now %d", changedAt, now)
			}
		})
	}
	if nodes, lists, running := m.Confirm(); nodes != 1 || lists != 0 || !running {
		t.Errorf("confirmed %d nodes, %d lists, running %v", nodes, lists, running)
	}
	if list := await(t, "the empty list", lists); list.Version != "2" || len(list.Nodes) != 0 {
		t.Errorf("%+v", list)
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
			t.Errorf("%d nodes", n)
		}
	})
	wantLog(t, log, "level=WARN", "cached endpoint list ignored", "own.nodes.hcl:1")
}

func TestClosedManagerIsNotRunning(t *testing.T) {
	m, _, _ := run(t, "", NamedSource{"own", onceSource{}})
	m.Close()
	if _, _, running := m.Confirm(); running {
		t.Error("Confirm finds it running")
	}
	if m.View(func(int64, int64, *membership.Tracker) {}) {
		t.Error("View finds it running")
	}
}
