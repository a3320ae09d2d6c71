package client

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/fleet/delta"
	"irispost/internal/testkit/golden"
)

// cachedDigest is the digest of the cache file under testdata/cache, which an earlier build of the gateway wrote.
const cachedDigest = "5b1cbe1664cde7a14c102c56924fb8d4f926097fc0fc30c6e5081fe52ad2c983"

// goldenFile returns the content of a file under testdata.
func goldenFile(t *testing.T, name ...string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(append([]string{"testdata"}, name...)...))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestGoldenContentFile checks that the cache folder of an earlier build can be read, and that this build writes
// the same file.
func TestGoldenContentFile(t *testing.T) {
	want := goldenFile(t, "cache", cachedDigest+".rules")
	if !bytes.Equal(want, largeContent(3, 1)) {
		t.Errorf("canonical form of the cached content: got\n%s\nwant\n%s", largeContent(3, 1), want)
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "cache"))); err != nil {
		t.Fatal(err)
	}
	file, got, err := openCacheFile(dir, "g", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	file.close()
	if !bytes.Equal(got, want) {
		t.Errorf("read another content: got %d bytes, want %d", len(got), len(want))
	}

	dir = t.TempDir()
	if file, got, err = openCacheFile(dir, "g", slog.New(slog.DiscardHandler)); err != nil || got != nil {
		t.Fatalf("opening an empty folder: got %d bytes, error %v, want none", len(got), err)
	}
	file.write(want)
	file.close()
	list, err := os.ReadDir(dir)
	if err != nil || len(list) != 1 || list[0].Name() != cachedDigest+".rules" {
		t.Fatalf("files after a write: got %v, %v, want the golden file alone", list, err)
	}
	info, err := list[0].Info()
	if err != nil || info.Mode() != 0o600 {
		t.Errorf("mode of the file: got %v, %v, want 0600", info.Mode(), err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, list[0].Name())); err != nil || !bytes.Equal(got, want) {
		t.Errorf("wrote another content: got %d bytes, want %d, error %v", len(got), len(want), err)
	}
}

// goldenReplica answers the calls of a gateway from testdata and records each distinct call.
type goldenReplica struct {
	grant   []byte
	content []byte // encoded as a delta from the content on disk

	lock     sync.Mutex
	calls    []string
	renewals int
}

func (g *goldenReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call := r.Method + " " + r.URL.RequestURI() + "\n"
	headers := []string{"Accept-Encoding", "Available-Dictionary", "Dictionary-Id", "User-Agent", "Content-Type"}
	for _, name := range headers {
		if v := r.Header.Values(name); len(v) > 0 {
			call += fmt.Sprintf("%s: %q\n", name, v)
		}
	}
	renewals := g.record(r.URL.Path, call+string(body))
	switch {
	case r.URL.Path == "/renew":
		_, _ = w.Write(bytes.Replace(g.grant, []byte(`"seq":1`), fmt.Appendf(nil, `"seq":%d`, renewals), 1))
	case strings.HasPrefix(r.URL.Path, "/content/"):
		w.Header().Set("Content-Encoding", "dcz")
		_, _ = w.Write(g.content)
	case r.URL.Path == "/news":
		<-r.Context().Done()
	default:
		http.NotFound(w, r)
	}
}

// record adds a call unless it was recorded before, and returns the number of renewals so far.
func (g *goldenReplica) record(path, call string) (renewals int) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if !slices.Contains(g.calls, call) {
		g.calls = append(g.calls, call)
	}
	if path == "/renew" {
		g.renewals++
	}
	return g.renewals
}

// firstCalls returns, sorted, the first call of each path, and for renewals the first two: before and after the first
// lease.
func (g *goldenReplica) firstCalls() []string {
	g.lock.Lock()
	defer g.lock.Unlock()
	counts := map[string]int{}
	var list []string
	for _, call := range g.calls {
		path, _, _ := strings.Cut(call[strings.Index(call, "/"):], "?")
		path, _, _ = strings.Cut(path, "\n")
		if counts[path]++; counts[path] <= 1 || path == "/renew" && counts[path] <= 2 {
			list = append(list, call)
		}
	}
	slices.Sort(list)
	return list
}

// TestGoldenCalls checks that the requests which a gateway sends to a replica on each route, and its activation
// record, are the same as those of an earlier build.
func TestGoldenCalls(t *testing.T) {
	encoded, err := delta.Encode(goldenFile(t, "cache", cachedDigest+".rules"), largeContent(3, 2))
	if err != nil {
		t.Fatal(err)
	}
	replica := &goldenReplica{grant: goldenFile(t, "grant.json"), content: encoded}
	server := httptest.NewServer(replica)
	t.Cleanup(server.Close)
	dir, record := t.TempDir(), filepath.Join(t.TempDir(), "acts")
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "cache"))); err != nil {
		t.Fatal(err)
	}
	client, err := Start(Options{
		Gateway: "g", Holder: "g/1.2", PeerAddr: "10.0.0.5:7200",
		Replicas: []string{strings.TrimPrefix(server.URL, "http://")}, RenewInterval: 100 * time.Millisecond,
		CacheDir: dir, RecordFile: record, Now: wallClock, OnChange: func() {}, Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(waitLimit); len(replica.firstCalls()) < 4 && time.Now().Before(deadline); {
		client.At(wallClock())
		time.Sleep(time.Millisecond)
	}
	client.At(wallClock())
	client.Close()
	golden.Check(t, "calls.txt", []byte(strings.Join(replica.firstCalls(), "\n\n")+"\n"))
	b, err := os.ReadFile(record)
	if err != nil || !regexp.MustCompile(`^\d+ false \[7\]\n$`).Match(b) {
		t.Errorf("activation record: got %q, %v, want one line for version 7 under a lease", b, err)
	}
	list, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(list) != 1 || filepath.Base(list[0]) == cachedDigest+".rules" {
		t.Errorf("cache files after a change: got %q, %v, want one, of the new content", list, err)
	}
}
