package membership

import (
	"fmt"
	"strconv"
	"strings"

	"irispost/internal/endpoint"
)

const sec = Time(1e9)

// tester has the common methods of testing.T and rapid.T.
type tester interface {
	Helper()
	Errorf(string, ...any)
	Fatalf(string, ...any)
}

// harness runs a tracker as the endpoint manager does: it calls Reconcile after each event and whenever it is due.
type harness struct {
	t       tester
	tracker *Tracker
	now     Time
	update  Update   // result of the last Reconcile
	logs    []string // all events so far
}

// newHarness returns a harness in which all sources are connected.
func newHarness(t tester, settings Settings, sources ...string) *harness {
	h := &harness{t: t, tracker: New(settings, sources...), now: 1000 * sec}
	for _, s := range h.tracker.Sources() {
		s.LinkUp(h.now)
	}
	return h
}

func (h *harness) reconcile() {
	h.update = h.tracker.Reconcile(h.now)
	for _, event := range h.update.Events {
		h.logs = append(h.logs, event.String())
	}
}

// advance advances the time, and calls Reconcile whenever it is due.
func (h *harness) advance(span Time) {
	h.t.Helper()
	end := h.now + span
	for h.update.NextAt > 0 && h.update.NextAt <= end {
		if h.update.NextAt < h.now {
			h.t.Fatalf("the Reconcile due at %d is %d ns late", h.update.NextAt, h.now-h.update.NextAt)
		}
		if h.now == h.update.NextAt {
			h.now++ // a Reconcile that stays due forever ends with the timeout of the test
		}
		h.now = max(h.now, h.update.NextAt)
		h.reconcile()
	}
	h.now = end
	h.reconcile()
}

// report makes a source send a list, given in the notation of parseNodes.
func (h *harness) report(source int, version, nodes string) {
	h.t.Helper()
	list := endpoint.List{Version: version, Nodes: parseNodes(h.t, nodes)}
	h.tracker.Sources()[source].Receive(h.now, list)
	h.reconcile()
}

// disconnect makes a source lose its connection.
func (h *harness) disconnect(source int) {
	h.tracker.Sources()[source].LinkDown(h.now, "connection reset")
	h.reconcile()
}

var healthByName = map[string]endpoint.Health{
	"":         endpoint.Ready,
	"draining": endpoint.Draining,
	"gone":     endpoint.Removed,
	"unwell":   endpoint.Unhealthy,
}

// parseNodes parses nodes such as "a:0 b:1/draining c:1@5!1": address, shard, health, start time in seconds, priority.
func parseNodes(t tester, text string) (list []endpoint.Node) {
	t.Helper()
	number := func(digits string) int {
		if digits == "" {
			return 0
		}
		n, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		return n
	}
	for word := range strings.FieldsSeq(text) {
		word, priority, _ := strings.Cut(word, "!")
		word, start, _ := strings.Cut(word, "@")
		word, health, _ := strings.Cut(word, "/")
		addr, shard, _ := strings.Cut(word, ":")
		list = append(list, endpoint.Node{
			Addr:      addr,
			Shard:     number(shard),
			Health:    healthByName[health],
			StartedAt: int64(number(start)) * sec,
			Priority:  number(priority),
		})
	}
	return list
}

// listed returns the list for the scheduler in the notation of parseNodes, without priorities.
func (h *harness) listed() string {
	var out []string
	for _, n := range h.update.List.Nodes {
		word := fmt.Sprintf("%s:%d", n.Addr, n.Shard)
		if n.Health == endpoint.Draining {
			word += "/draining"
		}
		if n.StartedAt > 0 {
			word += fmt.Sprintf("@%d", n.StartedAt/sec)
		}
		out = append(out, word)
	}
	return strings.Join(out, " ")
}

// want checks the list for the scheduler.
func (h *harness) want(what, nodes string) {
	h.t.Helper()
	if got := h.listed(); got != nodes {
		h.t.Errorf("%s: got list %q, want %q; events:\n%s", what, got, nodes, strings.Join(h.logs, "\n"))
	}
}

func (h *harness) state(addr string) State {
	if m := h.tracker.members[addr]; m != nil {
		return m.State
	}
	return Absent
}
