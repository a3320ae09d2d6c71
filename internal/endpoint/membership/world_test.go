package membership

import (
	"fmt"
	"strconv"
	"strings"

	"irispost/internal/endpoint"
)

const sec = Time(1e9)

// tester is what testing.T and rapid.T have in common.
type tester interface {
	Helper()
	Errorf(string, ...any)
	Fatalf(string, ...any)
}

// harness runs a tracker as the endpoint manager does: Reconcile after each event, and whenever it is due.
type harness struct {
	t       tester
	tracker *Tracker
	now     Time
	update  Update   // the last one
	logs    []string // all events so far
}

// newHarness returns a world in which all sources are connected.
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

// advance lets time go by, and calls Reconcile whenever it is due.
func (h *harness) advance(span Time) {
	h.t.Helper()
	end := h.now + span
	for h.update.NextAt > 0 && h.update.NextAt <= end {
		if h.update.NextAt < h.now {
			h.t.Fatalf("the call due at %d is %d ns late", h.update.NextAt, h.now-h.update.NextAt)
		}
		if h.now == h.update.NextAt {
			h.now++ // one that stays due is found by the limit of the test's time
		}
		h.now = max(h.now, h.update.NextAt)
		h.reconcile()
	}
	h.now = end
	h.reconcile()
}

// report has a source send a list, written as for parseNodes.
func (h *harness) report(source int, version, nodes string) {
	h.t.Helper()
	list := endpoint.List{Version: version, Nodes: parseNodes(h.t, nodes)}
	h.tracker.Sources()[source].Receive(h.now, list)
	h.reconcile()
}

// disconnect has a source lose its connection.
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

// parseNodes reads nodes such as "a:0 b:1/draining c:1@5!1": address, shard, health, start in seconds, priority.
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

// listed returns the list for the scheduler in the form of parseNodes.
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

// want fails the test unless the list for the scheduler is the one given.
func (h *harness) want(what, nodes string) {
	h.t.Helper()
	if got := h.listed(); got != nodes {
		h.t.Errorf("%s: the list is %q, want %q\n%s", what, got, nodes, strings.Join(h.logs, "\n"))
	}
}

func (h *harness) state(addr string) State {
	if m := h.tracker.members[addr]; m != nil {
		return m.State
	}
	return Absent
}
