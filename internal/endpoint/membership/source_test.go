package membership

import (
	"slices"
	"strings"
	"testing"

	"irispost/internal/endpoint"
)

// The list of a disconnected source stays in force, and is stale after StaleAfter.
func TestListOfDisconnectedSourceTurnsStale(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	s := w.tracker.Sources()[0]
	w.report(0, "1", "a:0")
	w.disconnect(0)
	w.pass(59 * sec)
	w.want("disconnected", "a:0")
	if w.update.List.Stale || s.State != Disconnected {
		t.Errorf("%v, stale %v", s.State, w.update.List.Stale)
	}
	w.pass(sec)
	w.want("stale", "a:0")
	if !w.update.List.Stale || s.State != Stale {
		t.Errorf("%v, stale %v", s.State, w.update.List.Stale)
	}
	s.LinkUp(w.now)
	w.reconcile()
	w.want("connected again", "a:0")
	if w.update.List.Stale || s.State != Connected {
		t.Errorf("%v, stale %v", s.State, w.update.List.Stale)
	}
}

// A cached list is in force, and stale, until the source sends its own; a node that only that one has is not new.
func TestCachedListIsStaleUntilSourceReports(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	w.tracker = New(DefaultSettings, "own")
	w.tracker.Sources()[0].Receive(w.now, endpoint.List{Version: "1", Stale: true, Nodes: parseNodes(t, "a:0 b:1 c:2")})
	w.reconcile()
	w.want("cached", "a:0 b:1 c:2")
	if !w.update.List.Stale {
		t.Error("the cached list is not stale")
	}
	w.tracker.Sources()[0].LinkUp(w.now)
	w.report(0, "4", "a:0 b:1 d:3")
	w.want("reported", "a:0 b:1 d:3")
	if w.update.List.Stale {
		t.Error("the source's own list is stale")
	}
}

// A superseded list is held down after a reconnect; within a connection, or with other nodes, it is accepted.
func TestSupersededListIsHeldDownAfterReconnect(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	s := w.tracker.Sources()[0]
	reconnect := func() { s.LinkDown(w.now, "cut"); s.LinkUp(w.now); w.reconcile() }
	w.report(0, "1", "a:0 b:1 c:2")
	w.report(0, "2", "a:0 b:1/draining c:2")
	w.report(0, "1", "a:0 b:1 c:2")
	w.want("superseded within the connection", "a:0 b:1 c:2")
	w.report(0, "3", "a:0 b:1 c:2/draining")
	reconnect()
	w.report(0, "1", "a:0 b:1 c:2")
	w.want("superseded after a reconnect", "a:0 b:1 c:2/draining")
	if s.HeldVersion() != "1" || s.Version() != "3" {
		t.Errorf("held %q, in force %q", s.HeldVersion(), s.Version())
	}
	w.report(0, "3", "a:0 b:1 c:2/draining")
	w.want("the version in force again", "a:0 b:1 c:2/draining")
	if s.HeldVersion() != "" {
		t.Errorf("%q is still held", s.HeldVersion())
	}
	reconnect()
	w.report(0, "1", "a:0 b:1 c:2")
	s.LinkDown(w.now, "cut")
	w.pass(20 * sec)
	w.want("disconnected before the hold-down time", "a:0 b:1 c:2/draining")
	s.LinkUp(w.now)
	w.report(0, "1", "a:0 b:1 c:2")
	w.pass(10 * sec)
	w.want("hold-down time elapsed", "a:0 b:1 c:2")
	reconnect()
	w.report(0, "3", "a:0 b:1 c:2/draining")
	w.tracker.Confirm()
	w.reconcile()
	w.want("confirmed", "a:0 b:1 c:2/draining")
	reconnect()
	w.report(0, "1", "a:0/draining b:1 c:2")
	w.want("the version with other nodes", "a:0/draining b:1 c:2")
}

// A rejected update changes nothing but the source's count, and is logged.
func TestRejectedUpdateChangesNothing(t *testing.T) {
	w := newWorld(t, DefaultSettings, "own")
	s := w.tracker.Sources()[0]
	w.report(0, "1", "a:0")
	s.Reject(w.now, "port 0")
	w.reconcile()
	w.want("rejected", "a:0")
	if w.update.Changed || s.RejectReason != "port 0" || s.Rejections != 1 || s.RejectedAt != w.now {
		t.Errorf("changed %v, %+v", w.update.Changed, s)
	}
	if !slices.ContainsFunc(w.logs, func(l string) bool { return strings.Contains(l, "port 0") }) {
		t.Errorf("not logged: %q", w.logs)
	}
}
