package discovery_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/discovery"
)

// service is a discovery service for which the test answers the requests.
type service struct {
	addr     string
	requests chan *request
}

type request struct {
	url    string
	answer chan string // JSON, or the body of a 503; empty: the connection is closed without a response
}

func startService(t *testing.T) *service {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{addr: l.Addr().String(), requests: make(chan *request)}
	server := &http.Server{
		Handler:  http.HandlerFunc(s.handle),
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	go func() { _ = server.Serve(l) }() // returns when the test ends
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *service) handle(w http.ResponseWriter, r *http.Request) {
	q := &request{r.URL.String(), make(chan string)}
	select {
	case s.requests <- q:
	case <-r.Context().Done():
		return
	}
	select {
	case text := <-q.answer:
		switch {
		case text == "":
			panic(http.ErrAbortHandler)
		case strings.HasPrefix(text, "{"):
			_, _ = io.WriteString(w, text) // the client may have disconnected
		default:
			http.Error(w, text, http.StatusServiceUnavailable)
		}
	case <-r.Context().Done():
	}
}

// answerNext answers the next request, and checks its URL.
func (s *service) answerNext(t *testing.T, url, answer string) {
	t.Helper()
	q := <-s.requests
	if q.url != url {
		t.Fatalf("got request for %s, want %s", q.url, url)
	}
	q.answer <- answer
}

// response returns a JSON response with one target.
func response(t *testing.T, revision int64, full bool, state string) string {
	t.Helper()
	target := discovery.Target{UID: "s", Endpoint: "e:1", Shard: 3, State: state, StartedMillis: 7}
	b, err := json.Marshal(discovery.Response{Revision: revision, Full: full, Targets: []discovery.Target{target}})
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// watcher is a Client that runs until the test ends.
type watcher struct {
	*discovery.Client
	cached *endpoint.List
	lists  chan endpoint.List
	failed chan bool // noResponse of each failure
	stop   func()
}

func startWatcher(t *testing.T, opt discovery.Options) *watcher {
	t.Helper()
	opt.Log = slog.New(slog.DiscardHandler)
	c, cached, err := discovery.New(opt)
	if err != nil {
		t.Fatal(err)
	}
	w := &watcher{Client: c, cached: cached, lists: make(chan endpoint.List), failed: make(chan bool)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx, func(l endpoint.List) { w.lists <- l }, func(noResponse bool) { w.failed <- noResponse })
	}()
	w.stop = func() {
		cancel()
		for {
			select {
			case <-w.failed: // a failure before Run ended
			case <-ended:
				return
			}
		}
	}
	t.Cleanup(w.stop)
	return w
}

// wantList checks the next list: not stale, with the given version and kind, and with a node of the given health.
func (w *watcher) wantList(t *testing.T, version string, partial bool, health endpoint.Health) {
	t.Helper()
	l := <-w.lists
	has := slices.ContainsFunc(l.Nodes, func(n endpoint.Node) bool { return n.Health == health })
	if l.Version != version || l.Partial != partial || l.Stale || !has {
		t.Fatalf("got list %+v, which is stale or does not have the wanted version, kind or health", l)
	}
}

// wantFailure checks that the next poll fails for another reason than a missing response.
func (w *watcher) wantFailure(t *testing.T) {
	t.Helper()
	if <-w.failed {
		t.Error("a poll that failed otherwise is reported as one without a response")
	}
}

// The cached list is available at once. A poll follows each successful poll immediately, and a failed poll only after
// the next Watch.
func TestClientWatchesUntilFailure(t *testing.T) {
	s := startService(t)
	var cached discovery.Response
	if err := json.Unmarshal([]byte(response(t, 41, false, "ready")), &cached); err != nil {
		t.Fatal(err)
	}
	w := startWatcher(t, discovery.Options{
		Gateway:  "n1",
		Address:  s.addr,
		Cached:   &cached,
		LongPoll: time.Second,
		Timeout:  time.Minute,
	})
	l := w.cached
	if !l.Stale || l.Partial || len(l.Nodes) != 1 || l.Nodes[0].StartedAt != 7e6 || l.Nodes[0].Shard != 3 {
		t.Fatalf("got cached list %+v, want one node of shard 3, stale and complete", l)
	}

	w.Watch()
	s.answerNext(t, "/v1/servers?from=41&hold_ms=1000", response(t, 43, false, "draining"))
	w.wantList(t, "43", true, endpoint.Draining)
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(response(t, 44, true, "ready")), "", "  "); err != nil {
		t.Fatal(err)
	}
	s.answerNext(t, "/v1/servers?from=43&hold_ms=1000", indented.String())
	w.wantList(t, "44", false, endpoint.Ready)

	for _, answer := range []string{"busy", "", `{"rev":"x"}`} {
		s.answerNext(t, "/v1/servers?from=44&hold_ms=1000", answer)
		w.wantFailure(t) // no request follows until the next Watch
		w.Watch()
	}
	s.answerNext(t, "/v1/servers?from=44&hold_ms=1000", response(t, 45, true, "ready"))
	w.wantList(t, "45", false, endpoint.Ready)
}

// A new address is polled at once, both after a failure and during a poll. The interrupted poll is not reported as
// failed.
func TestNewAddressIsPolledAtOnce(t *testing.T) {
	one, two := startService(t), startService(t)
	w := startWatcher(t, discovery.Options{Gateway: "n1", Address: one.addr, LongPoll: time.Second, Timeout: time.Minute})
	w.Watch()
	one.answerNext(t, "/v1/servers", response(t, 44, true, "ready"))
	w.wantList(t, "44", false, endpoint.Ready)
	one.answerNext(t, "/v1/servers?from=44&hold_ms=1000", "busy")
	w.wantFailure(t)

	w.SetAddress(two.addr)
	two.answerNext(t, "/v1/servers?from=44&hold_ms=1000", response(t, 45, false, "gone"))
	w.wantList(t, "45", true, endpoint.Removed)

	<-two.requests
	w.SetAddress(one.addr)
	one.answerNext(t, "/v1/servers?from=45&hold_ms=1000", response(t, 46, true, "ready"))
	w.wantList(t, "46", false, endpoint.Ready)
	if w.PendingWatches() != 0 {
		t.Error("the Watch of SetAddress is still pending and would cause a retry after the next failure")
	}
	<-one.requests
}

// A poll without a response is aborted soon after LongPoll, and distinguished from one that failed otherwise. The next
// poll does not wait for changes, so that its response shows at once that the service is back.
func TestPollWithoutResponse(t *testing.T) {
	s := startService(t)
	w := startWatcher(t, discovery.Options{
		Gateway:  "n1",
		Address:  s.addr,
		LongPoll: 50 * time.Millisecond,
		Timeout:  50 * time.Millisecond,
	})
	w.Watch()
	(<-s.requests).answer <- response(t, 1, true, "ready")
	<-w.lists
	for _, url := range []string{"/v1/servers?from=1&hold_ms=50", "/v1/servers?from=1&hold_ms=1"} {
		if q := <-s.requests; q.url != url {
			t.Fatalf("got request for %s, want %s", q.url, url)
		}
		if !<-w.failed {
			t.Error("a poll without a response is reported as one that failed otherwise")
		}
		w.Watch()
	}
	(<-s.requests).answer <- response(t, 2, false, "draining")
	if l := <-w.lists; l.Version != "2" {
		t.Errorf("got list %+v, want version 2", l)
	}
	if q := <-s.requests; q.url != "/v1/servers?from=2&hold_ms=50" {
		t.Errorf("got request for %s, want a long poll from revision 2", q.url)
	}
}
