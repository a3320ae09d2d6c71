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

// world runs a tracker as the endpoint manager does: Reconcile after each event, and whenever it is due.
type world struct {
	t       tester
	tracker *Tracker
	now     Time
	update  Update   // the last one
	logs    []string // all events so far
}

// newWorld returns a world in which all sources are connected.
func newWorld(t tester, settings Settings, sources ...string) *world {
	w := &world{t: t, tracker: New(settings, sources...), now: 1000 * sec}
	for _, s := range w.tracker.Sources() {
		s.LinkUp(w.now)
	}
	return w
}

func (w *world) reconcile() {
	w.update = w.tracker.Reconcile(w.now)
	for _, event := range w.update.Events {
		w.logs = append(w.logs, event.String())
	}
}

// pass lets time go by, and calls Reconcile whenever it is due.
func (w *world) pass(span Time) {
	w.t.Helper()
	end := w.now + span
	for w.update.NextAt > 0 && w.update.NextAt <= end {
		if w.update.NextAt < w.now {
			w.t.Fatalf("the call due at %d is %d ns late", w.update.NextAt, w.now-w.update.NextAt)
		}
		if w.now == w.update.NextAt {
			w.now++ // one that stays due is found by the limit of the test's time
		}
		w.now = max(w.now, w.update.NextAt)
		w.reconcile()
	}
	w.now = end
	w.reconcile()
}

// report has a source send a list, written as for parseNodes.
func (w *world) report(source int, version, nodes string) {
	w.t.Helper()
	list := endpoint.List{Version: version, Nodes: parseNodes(w.t, nodes)}
	w.tracker.Sources()[source].Receive(w.now, list)
	w.reconcile()
}

// disconnect has a source lose its connection.
func (w *world) disconnect(source int) {
	w.tracker.Sources()[source].LinkDown(w.now, "connection reset")
	w.reconcile()
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
func (w *world) listed() string {
	var out []string
	for _, n := range w.update.List.Nodes {
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
func (w *world) want(what, nodes string) {
	w.t.Helper()
	if got := w.listed(); got != nodes {
		w.t.Errorf("%s: the list is %q, want %q\n%s", what, got, nodes, strings.Join(w.logs, "\n"))
	}
}

func (w *world) state(addr string) State {
	if m := w.tracker.members[addr]; m != nil {
		return m.State
	}
	return Absent
}
