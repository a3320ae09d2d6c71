package membership

import (
	"slices"
	"strings"
	"testing"

	"irispost/internal/endpoint"
)

// The list of a disconnected source stays in force, and becomes stale after StaleAfter.
func TestListOfDisconnectedSourceTurnsStale(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	s := h.tracker.Sources()[0]
	h.report(0, "1", "a:0")
	h.disconnect(0)
	h.advance(59 * sec)
	h.want("disconnected", "a:0")
	if h.update.List.Stale || s.State != Disconnected {
		t.Errorf("before StaleAfter: got state %v, stale %v; want Disconnected, false", s.State, h.update.List.Stale)
	}
	h.advance(sec)
	h.want("stale", "a:0")
	if !h.update.List.Stale || s.State != Stale {
		t.Errorf("after StaleAfter: got state %v, stale %v; want Stale, true", s.State, h.update.List.Stale)
	}
	s.LinkUp(h.now)
	h.reconcile()
	h.want("connected again", "a:0")
	if h.update.List.Stale || s.State != Connected {
		t.Errorf("connected again: got state %v, stale %v; want Connected, false", s.State, h.update.List.Stale)
	}
}

// A cached list is in force and stale until the source sends one. A node that only the latter has does not count as
// new.
func TestCachedListIsStaleUntilSourceReports(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	h.tracker = New(DefaultSettings, "own")
	h.tracker.Sources()[0].Receive(h.now, endpoint.List{Version: "1", Stale: true, Nodes: parseNodes(t, "a:0 b:1 c:2")})
	h.reconcile()
	h.want("cached", "a:0 b:1 c:2")
	if !h.update.List.Stale {
		t.Error("the cached list is not stale")
	}
	h.tracker.Sources()[0].LinkUp(h.now)
	h.report(0, "4", "a:0 b:1 d:3")
	h.want("reported", "a:0 b:1 d:3")
	if h.update.List.Stale {
		t.Error("the source's own list is stale")
	}
}

// A superseded list is held down after a reconnect. Within a connection it is accepted, and so is its version with
// other nodes.
func TestSupersededListIsHeldDownAfterReconnect(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	s := h.tracker.Sources()[0]
	reconnect := func() { s.LinkDown(h.now, "cut"); s.LinkUp(h.now); h.reconcile() }
	h.report(0, "1", "a:0 b:1 c:2")
	h.report(0, "2", "a:0 b:1/draining c:2")
	h.report(0, "1", "a:0 b:1 c:2")
	h.want("superseded within the connection", "a:0 b:1 c:2")
	h.report(0, "3", "a:0 b:1 c:2/draining")
	reconnect()
	h.report(0, "1", "a:0 b:1 c:2")
	h.want("superseded after a reconnect", "a:0 b:1 c:2/draining")
	if s.HeldVersion() != "1" || s.Version() != "3" {
		t.Errorf("got held version %q, version in force %q; want 1, 3", s.HeldVersion(), s.Version())
	}
	h.report(0, "3", "a:0 b:1 c:2/draining")
	h.want("the version in force again", "a:0 b:1 c:2/draining")
	if s.HeldVersion() != "" {
		t.Errorf("version %q is still held down", s.HeldVersion())
	}
	reconnect()
	h.report(0, "1", "a:0 b:1 c:2")
	s.LinkDown(h.now, "cut")
	h.advance(20 * sec)
	h.want("disconnected before the hold-down time", "a:0 b:1 c:2/draining")
	s.LinkUp(h.now)
	h.report(0, "1", "a:0 b:1 c:2")
	h.advance(10 * sec)
	h.want("hold-down time elapsed", "a:0 b:1 c:2")
	reconnect()
	h.report(0, "3", "a:0 b:1 c:2/draining")
	h.tracker.Confirm()
	h.reconcile()
	h.want("confirmed", "a:0 b:1 c:2/draining")
	reconnect()
	h.report(0, "1", "a:0/draining b:1 c:2")
	h.want("the version with other nodes", "a:0/draining b:1 c:2")
}

// A rejected update is counted and logged, and changes nothing else.
func TestRejectedUpdateChangesNothing(t *testing.T) {
	h := newHarness(t, DefaultSettings, "own")
	s := h.tracker.Sources()[0]
	h.report(0, "1", "a:0")
	s.Reject(h.now, "port 0")
	h.reconcile()
	h.want("rejected", "a:0")
	if h.update.Changed || s.RejectReason != "port 0" || s.Rejections != 1 || s.RejectedAt != h.now {
		t.Errorf("rejected update: got changed %v, source %+v; want no change and one rejection, of port 0, now",
			h.update.Changed, s)
	}
	if !slices.ContainsFunc(h.logs, func(l string) bool { return strings.Contains(l, "port 0") }) {
		t.Errorf("the rejection is not logged: %q", h.logs)
	}
}
