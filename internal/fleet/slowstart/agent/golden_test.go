package agent

import (
	"bytes"
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
	"irispost/internal/testkit/golden"
	"irispost/scheduler"
)

// goldenRequest returns the request in testdata/request.json.
func goldenRequest() request {
	return request{
		Node: "10.0.0.9:7000", StartedAt: 1764650723000000000, Rate: 187.5,
		Request: budget.Request{
			Holder: "g/1.2", Seq: 41, Demand: 12.5, SmallestRequest: 2, PriorityWeight: 4, Returned: 0.25,
		},
	}
}

// readGolden reads a file under testdata.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestGoldenRequest: a request between gateways is encoded and decoded in the same JSON form as by earlier builds.
func TestGoldenRequest(t *testing.T) {
	want := goldenRequest()
	b, err := json.Marshal(&want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "request.json", append(b, '\n'))
	var read request
	if err := json.Unmarshal(readGolden(t, "request.json"), &read); err != nil || read != want {
		t.Errorf("got %+v, want %+v (error: %v)", read, want, err)
	}
}

// TestGoldenRoutes: the routes of a gateway for its peers give the same responses as in earlier builds.
func TestGoldenRoutes(t *testing.T) {
	now := scheduler.Time(time.Hour)
	a := newTestAgent(t, Options{
		Gateway: "g", Holder: "g/1.2", Now: func() scheduler.Time { return now },
		Settings: budget.Settings{
			InitialFraction: 1, WarmupTime: int64(2 * time.Hour), OverloadMultiple: 2, Window: 3e8, MinUnits: 5,
			AllocatedShare: 0.5, AllocationTime: 3e7, MaxClockDrift: 0.01,
		},
	})
	t.Cleanup(a.Close)
	setOwner := func(number uint64, member string) {
		a.HandleMembership(&lease.MembershipUpdate{RequestedAt: now, Membership: epoch.Membership{
			Epoch: number, Age: int64(3 * time.Hour), Members: []string{member},
			LeaseDuration: int64(time.Hour), MaxClockDrift: 0.01,
		}})
	}
	minutePasses := func() { now += int64(time.Minute) }
	ownerChanges := func() { setOwner(2, "h/1.2") }
	setOwner(1, "g/1.2")
	a.demands["known:1"] = scheduler.SlowStartDemand{Addr: "known:1", StartedAt: now - 5}
	body := func(node string, startedAt scheduler.Time, rate float64, seq uint64, demand float64) string {
		const form = `{"node":%q,"born":%d,"rate":%v,"who":"h/1.2","seq":%d,"want":%v,"least":0,"worth":1,"back":0}`
		return fmt.Sprintf(form, node, startedAt, rate, seq, demand)
	}
	var got bytes.Buffer
	for _, c := range []struct {
		name, method, path, body string
		before                   func()
	}{
		{"nothing is wanted", "POST", "/cold/ask", body("n:1", now, 100, 1, 0), nil},
		{"units are wanted, none is ready", "POST", "/cold/ask", body("n:1", now, 100, 2, 8), nil},
		{"units are wanted and ready", "POST", "/cold/ask", body("n:1", now, 100, 3, 8), minutePasses},
		{"older than the last", "POST", "/cold/ask", body("n:1", now, 100, 3, 8), nil},
		{"no rate is known", "POST", "/cold/ask", body("n:2", now, 0, 1, 8), nil},
		{"another start of the node", "POST", "/cold/ask", body("known:1", now-6, 100, 1, 8), nil},
		{"no JSON", "POST", "/cold/ask", "x", nil},
		{"another's node", "POST", "/cold/ask", body("n:1", now, 100, 4, 8), ownerChanges},
		{"another method", "GET", "/cold/ask", "", nil},
		{"another path", "POST", "/cold", "", nil},
	} {
		if c.before != nil {
			c.before()
		}
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), c.method, c.path, strings.NewReader(c.body))
		a.server.Handler.ServeHTTP(w, r)
		fmt.Fprintf(&got, "%s: %s %s\n%d %s %s\n\n",
			c.name, c.method, c.path, w.Code, w.Header().Get("Content-Type"), strings.TrimSpace(w.Body.String()))
	}
	golden.Check(t, "routes.txt", got.Bytes())
}

// TestGoldenCall: a gateway sends its request to the same route as earlier builds, and can decode their response.
func TestGoldenCall(t *testing.T) {
	var call string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		call = fmt.Sprintf("%s %s %s\n", r.Method, r.URL.RequestURI(), b)
		_, _ = w.Write(readGolden(t, "allocation.json")) // the caller checks the response
	}))
	t.Cleanup(server.Close)
	a := &Agent{client: server.Client()}
	request := goldenRequest()
	got, err := a.call(t.Context(), strings.TrimPrefix(server.URL, "http://"), &request)
	if want := (budget.Allocation{Holder: "g/1.2", Seq: 41, Units: 7.5}); err != nil || *got != want {
		t.Errorf("got %+v, want %+v (error: %v)", got, want, err)
	}
	if want := "POST /cold/ask " + string(readGolden(t, "request.json")); call != want {
		t.Errorf("got call %s, want %s", call, want)
	}
}

// newTestAgent returns an agent that listens at a free address.
func newTestAgent(t *testing.T, options Options) *Agent {
	t.Helper()
	options.ListenAddr = "127.0.0.1:0"
	options.Logger = slog.New(slog.DiscardHandler)
	a, err := Listen(options)
	if err != nil {
		t.Fatal(err)
	}
	return a
}
