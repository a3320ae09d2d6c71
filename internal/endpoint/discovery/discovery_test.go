package discovery_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/discovery"
	"irispost/internal/testkit"
)

// TestPartsAndWholes tells one table of each change and another of the whole list: who applies them knows the same nodes, by address,
// though ids and addresses come and go.
func TestPartsAndWholes(t *testing.T) {
	testkit.FixSeeds(t)
	rapid.Check(t, func(t *rapid.T) {
		var parts, wholes discovery.Table
		truth := map[string]discovery.Target{}
		apply := func(held map[string]endpoint.Node, l endpoint.List) {
			if !l.Partial {
				clear(held)
			}
			for _, n := range l.Nodes {
				if n.Health == endpoint.Removed {
					delete(held, n.Addr)
				} else {
					held[n.Addr] = n
				}
			}
		}
		a, b := map[string]endpoint.Node{}, map[string]endpoint.Node{}
		for rev := range rapid.IntRange(1, 30).Draw(t, "steps") {
			changes := map[string]discovery.Target{}
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				e := discovery.Target{UID: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "uid")), Endpoint: fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "address")),
					State: rapid.SampledFrom([]string{"ready", "draining", "gone"}).Draw(t, "state"), StartedMillis: int64(rev)}
				changes[e.UID] = e
			}
			form := discovery.Response{Revision: int64(rev), Full: rev == 0}
			for _, e := range changes {
				if e.State == "gone" {
					delete(truth, e.UID)
				} else {
					truth[e.UID] = e
				}
				if !form.Full || e.State != "gone" {
					form.Targets = append(form.Targets, e)
				}
			}
			l, err := parts.Apply(&form, false)
			if err != nil {
				t.Fatal(err)
			}
			apply(a, l)
			whole := discovery.Response{Revision: int64(rev), Full: true}
			for _, e := range truth {
				whole.Targets = append(whole.Targets, e)
			}
			if l, err = wholes.Apply(&whole, false); err != nil {
				t.Fatal(err)
			}
			apply(b, l)
			if fmt.Sprint(a) != fmt.Sprint(b) {
				t.Fatalf("after %d: by parts %v, by wholes %v", rev, a, b)
			}
		}
	})
}

func TestEntriesThatCannotBeRead(t *testing.T) {
	for _, e := range []discovery.Target{{UID: "a", Endpoint: "b", State: "asleep"}, {Endpoint: "b", State: "ready"}, {UID: "a", State: "ready"}} {
		var table discovery.Table
		if l, err := table.Apply(&discovery.Response{Full: true, Targets: []discovery.Target{e}}, false); err == nil {
			t.Errorf("%+v is read as %+v", e, l)
		}
	}
}

// service is a stand-in: each call is handed to the test, which answers it.
type service struct {
	*http.Server
	addr  string
	calls chan *ask
}

type ask struct {
	query  string
	answer chan string // "" ends the connection without one
}

func serve(t *testing.T) *service {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{addr: l.Addr().String(), calls: make(chan *ask)}
	s.Server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a := &ask{q.URL.String(), make(chan string)}
		select {
		case s.calls <- a:
		case <-q.Context().Done():
			return
		}
		select {
		case text := <-a.answer:
			if text == "" {
				panic(http.ErrAbortHandler)
			}
			if strings.HasPrefix(text, "{") {
				io.WriteString(w, text)
			} else {
				http.Error(w, text, 503)
			}
		case <-q.Context().Done():
		}
	}), ErrorLog: slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), slog.LevelError)}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return s
}

func form(rev int, all bool, state string) string {
	b, _ := json.Marshal(discovery.Response{Revision: int64(rev), Full: all, Targets: []discovery.Target{{UID: "s", Endpoint: "e:1", Shard: 3, State: state, StartedMillis: 7}}})
	return string(b)
}

func TestWatch(t *testing.T) {
	one, two := serve(t), serve(t)
	var known discovery.Response
	if err := json.Unmarshal([]byte(form(41, false, "ready")), &known); err != nil {
		t.Fatal(err)
	}
	c, held, err := discovery.New(discovery.Options{Gateway: "n1", Address: one.addr, Cached: &known, LongPoll: time.Second, Timeout: time.Minute,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil || !held.Stale || held.Partial || len(held.Nodes) != 1 || held.Nodes[0].StartedAt != 7e6 || held.Nodes[0].Shard != 3 {
		t.Fatalf("%+v, %v", held, err)
	}
	lists, failed := make(chan endpoint.List), make(chan bool)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		c.Run(ctx, func(l endpoint.List) { lists <- l }, func(silent bool) { failed <- silent })
		close(ended)
	}()
	next := func(s *service, query, answer string) {
		t.Helper()
		a := <-s.calls
		if a.query != query {
			t.Fatalf("%s is asked, not %s", a.query, query)
		}
		a.answer <- answer
	}
	told := func(version string, part bool, s endpoint.Health) {
		t.Helper()
		l := <-lists
		if l.Version != version || l.Partial != part || l.Stale || !slices.ContainsFunc(l.Nodes, func(n endpoint.Node) bool { return n.Health == s }) {
			t.Fatalf("%+v", l)
		}
	}
	loud := func() {
		t.Helper()
		if <-failed {
			t.Error("a call that ended with a word counts as silent")
		}
	}
	c.Watch()
	next(one, "/v1/servers?from=41&hold_ms=1000", form(43, false, "draining"))
	told("43", true, endpoint.Draining)
	indented := &bytes.Buffer{}
	if err := json.Indent(indented, []byte(form(44, true, "ready")), "", "  "); err != nil {
		t.Fatal(err)
	}
	next(one, "/v1/servers?from=43&hold_ms=1000", indented.String())
	told("44", false, endpoint.Ready)
	next(one, "/v1/servers?from=44&hold_ms=1000", "busy")
	loud() // and nothing is asked until the module wants it
	c.Watch()
	next(one, "/v1/servers?from=44&hold_ms=1000", "")
	loud()
	c.Watch()
	next(one, "/v1/servers?from=44&hold_ms=1000", `{"rev":"x"}`)
	loud()
	c.SetAddress(two.addr) // asked at once
	next(two, "/v1/servers?from=44&hold_ms=1000", form(45, false, "gone"))
	told("45", true, endpoint.Removed)
	a := <-two.calls
	c.SetAddress(one.addr) // while a call is out: that is no failure
	next(one, "/v1/servers?from=45&hold_ms=1000", form(46, true, "ready"))
	told("46", false, endpoint.Ready)
	if _ = a; c.Pending() != 0 {
		t.Error("what Move asked for is left for after the next failure")
	}
	<-one.calls
	cancel()
	<-ended
}

// Guard: a service that takes a call and says nothing is found out soon after the time for which it may wait, and is told apart from
// one that fails; the next call is not to wait, so that its answer shows at once whether the service is there again.
func TestSilentService(t *testing.T) {
	s := serve(t)
	c, _, err := discovery.New(discovery.Options{Gateway: "n1", Address: s.addr, LongPoll: 50 * time.Millisecond, Timeout: 50 * time.Millisecond,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	lists, failed := make(chan endpoint.List), make(chan bool)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		c.Run(ctx, func(l endpoint.List) { lists <- l }, func(silent bool) { failed <- silent })
		close(ended)
	}()
	c.Watch()
	(<-s.calls).answer <- form(1, true, "ready")
	<-lists
	for _, query := range []string{"/v1/servers?from=1&hold_ms=50", "/v1/servers?from=1&hold_ms=1"} {
		if a := <-s.calls; a.query != query {
			t.Fatalf("%s is asked, not %s", a.query, query)
		}
		if !<-failed { // nothing was answered
			t.Error("silence counts as a word")
		}
		c.Watch()
	}
	(<-s.calls).answer <- form(2, false, "draining")
	if l := <-lists; l.Version != "2" {
		t.Errorf("%+v", l)
	}
	if a := <-s.calls; a.query != "/v1/servers?from=2&hold_ms=50" {
		t.Errorf("%s is asked", a.query)
	}
	cancel()
	go func() { // whatever is told at the end
		for {
			select {
			case <-failed:
			case <-ended:
				return
			}
		}
	}()
	<-ended
}
