package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/fleet/lease"
	"irispost/internal/fleet/slowstart/budget"
	"irispost/internal/fleet/slowstart/epoch"
	"irispost/scheduler"
)

// goldenFile reads a file under testdata.
func goldenFile(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestGoldenRequest: the message from one gateway to another is that of 3aa21cb, as written and as read.
func TestGoldenRequest(t *testing.T) {
	want := goldenFile(t, "request.json")
	q := request{Node: "10.0.0.9:7000", Born: 1764650723000000000, Rate: 187.5,
		Request: budget.Request{Holder: "g/1.2", Seq: 41, Demand: 12.5, SmallestRequest: 2, PriorityWeight: 4, Returned: 0.25}}
	got, err := json.Marshal(&q)
	if err != nil || string(got)+"\n" != want {
		t.Errorf("written as %s, not %s: %v", got, want, err)
	}
	var read request
	if err := json.Unmarshal([]byte(want), &read); err != nil || read != q {
		t.Errorf("read as %+v, not %+v: %v", read, q, err)
	}
}

// TestGoldenRoutes: each route of a gateway's peer address answers as that of 3aa21cb does.
func TestGoldenRoutes(t *testing.T) {
	now := scheduler.Time(time.Hour)
	terms := budget.Settings{InitialFraction: 1, WarmupTime: int64(2 * time.Hour), OverloadMultiple: 2, Window: 3e8, MinUnits: 5, AllocatedShare: 0.5, AllocationTime: 3e7, MaxClockDrift: 0.01}
	a, err := Listen(Options{Gateway: "g", Holder: "g/1.2", ListenAddr: "127.0.0.1:0", Settings: terms, Now: func() scheduler.Time { return now }, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	granted := func(number uint64, member string) {
		a.HandleMembership(&lease.MembershipUpdate{RequestedAt: now, Membership: epoch.Membership{Epoch: number, Age: int64(3 * time.Hour), Members: []string{member}, LeaseDuration: int64(time.Hour), MaxClockDrift: 0.01}})
	}
	granted(1, "g/1.2")
	a.seen["known:1"] = scheduler.SlowStartDemand{Addr: "known:1", StartedAt: now - 5}
	body := func(node string, born scheduler.Time, rate float64, seq uint64, want float64) string {
		return fmt.Sprintf(`{"node":%q,"born":%d,"rate":%v,"who":"h/1.2","seq":%d,"want":%v,"least":0,"worth":1,"back":0}`, node, born, rate, seq, want)
	}
	var got strings.Builder

	for _, c := range []struct {
		name, method, path, body string
		before                   func()
	}{
		{"nothing is wanted", "POST", "/cold/ask", body("n:1", now, 100, 1, 0), nil},
		{"units are wanted, none is ready", "POST", "/cold/ask", body("n:1", now, 100, 2, 8), nil},
		{"units are wanted and ready", "POST", "/cold/ask", body("n:1", now, 100, 3, 8), func() { now += int64(time.Minute) }},
		{"older than the last", "POST", "/cold/ask", body("n:1", now, 100, 3, 8), nil},
		{"no rate is known", "POST", "/cold/ask", body("n:2", now, 0, 1, 8), nil},
		{"another start of the node", "POST", "/cold/ask", body("known:1", now-6, 100, 1, 8), nil},
		{"no JSON", "POST", "/cold/ask", "x", nil},
		{"another's node", "POST", "/cold/ask", body("n:1", now, 100, 4, 8), func() { granted(2, "h/1.2") }},
		{"another method", "GET", "/cold/ask", "", nil},
		{"another path", "POST", "/cold", "", nil},
	} {
		if c.before != nil {
			c.before()
		}
		w := httptest.NewRecorder()
		a.server.Handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), c.method, c.path, strings.NewReader(c.body)))
		fmt.Fprintf(&got, "%s: %s %s\n%d %s %s\n\n", c.name, c.method, c.path, w.Code, w.Header().Get("Content-Type"), strings.TrimSpace(w.Body.String()))
	}
	if want := goldenFile(t, "routes.txt"); got.String() != want {
		t.Errorf("routes answer\n%s\nnot\n%s", got.String(), want)
	}
}

// TestGoldenCall: a gateway asks another by the route of 3aa21cb.
func TestGoldenCall(t *testing.T) {
	var call string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		call = fmt.Sprintf("%s %s %s\n", r.Method, r.URL.RequestURI(), b)
		io.WriteString(w, goldenFile(t, "loan.json"))
	}))
	t.Cleanup(server.Close)
	a := &Agent{client: server.Client()}
	q := &request{}
	if err := json.Unmarshal([]byte(goldenFile(t, "request.json")), q); err != nil {
		t.Fatal(err)
	}
	l, err := a.post(context.Background(), strings.TrimPrefix(server.URL, "http://"), q)
	if want := (budget.Allocation{Holder: "g/1.2", Seq: 41, Units: 7.5}); err != nil || *l != want {
		t.Errorf("read as %+v, not %+v: %v", l, want, err)
	}
	if want := "POST /cold/ask " + goldenFile(t, "request.json"); call != want {
		t.Errorf("called %s, not %s", call, want)
	}
}
