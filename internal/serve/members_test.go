package serve_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/admin"
	"irispost/internal/audit"
	"irispost/internal/endpoint"
	"irispost/internal/testkit"
	"irispost/internal/testkit/testaddr"
	"irispost/internal/xdsstandin"
)

// TestNodeRemovedByXDSGetsNoNewRequests: a node that is drained, removed or reported unhealthy receives no new
// requests, those in flight continue at its successor, and each gets its response. The nodes record what they receive;
// both variants of xDS are tested.
func TestNodeRemovedByXDSGetsNoNewRequests(t *testing.T) {
	for _, delta := range []bool{false, true} {
		for _, change := range []string{"drain", "remove", "unwell"} {
			t.Run(fmt.Sprintf("%s,delta=%v", change, delta), func(t *testing.T) {
				t.Parallel()
				m := startManagedTestbed(t, delta, 3, 2*time.Millisecond)
				old := m.Nodes[0]
				next := m.startSuccessor(0)
				since := m.awaitAccepted(func() { m.command("add " + next.Addr() + " 0") })
				m.awaitAccepted(func() { m.command(change + " " + old.Addr()) })
				m.expectNoNewRequests(old, since) // listing the successor, which started later, is sufficient
				if change == "drain" {            // undo the drain: the successor keeps the shard, as it started later
					m.awaitAccepted(func() { m.command("ready " + old.Addr()) })
					m.awaitServed(30)
					m.expectNoNewRequests(old, since)
				}
			})
		}
	}
}

// TestNodeRemovedWithoutSuccessorServesAgain: requests for the shard of a removed node without a successor are still
// answered, and the node serves again once it is listed again.
func TestNodeRemovedWithoutSuccessorServesAgain(t *testing.T) {
	m := startManagedTestbed(t, true, 3, time.Millisecond)
	since := m.awaitAccepted(func() { m.command("remove " + m.Nodes[2].Addr()) })
	time.Sleep(100 * time.Millisecond) // requests for its shard wait meanwhile
	m.server.UpdateNodes(func(list []endpoint.Node) []endpoint.Node {
		for i := range list {
			list[i].Health = endpoint.Ready
		}
		return list
	})
	m.awaitServed(50)
	for _, e := range m.recorder.Events() {
		if e.Type == audit.AttemptReceived && e.Node == m.Nodes[2].Addr() && e.At > since+int64(100*time.Millisecond) {
			return
		}
	}
	t.Error("a node that is listed again receives no requests, want at least one")
}

// TestInvalidUpdatesKeepLastGoodList: invalid updates are rejected with a reason, the last valid list stays in force,
// and requests are still served.
func TestInvalidUpdatesKeepLastGoodList(t *testing.T) {
	m := startManagedTestbed(t, false, 3, 0)
	version := m.report().Sources[0].Version
	for i, kind := range []string{"endpoints", "clusters"} {
		m.command("broken " + kind)
		m.awaitReport("a rejection", func(r admin.EndpointReport) bool { return r.Sources[0].RejectedUpdates > i })
		report := m.report()
		source := report.Sources[0]
		if source.Version != version || serving(report) != 3 || !strings.Contains(source.LastRejection, kind) {
			t.Errorf("invalid update: got %+v, want an unchanged version, 3 serving endpoints and a reason", report)
		}
		m.awaitServed(30)
	}
	rejections := 0
	for _, a := range m.server.Acks() {
		if a.Refusal != "" {
			rejections++
		}
	}
	if rejections != 2 {
		t.Errorf("%d rejections sent to the server, want 2", rejections)
	}
}

// TestListWithoutHealthyEndpointsIsHeld: an empty list, or one in which all endpoints are unhealthy, is held and
// reported until the source replaces it or an operator confirms it.
func TestListWithoutHealthyEndpointsIsHeld(t *testing.T) {
	m := startManagedTestbed(t, false, 3, 0)
	isHeld := func(r admin.EndpointReport) bool {
		return r.HeldLoss != nil && r.HeldLoss.LeavesNoNodes && r.HeldLoss.Nodes == 3
	}
	for _, list := range []string{"nothing", "everybody unwell"} {
		m.command("cut")
		before := m.server.Nodes()
		m.command(list)
		m.awaitReport("a held list", isHeld)
		if report := m.report(); serving(report) != 3 {
			t.Errorf("%s: got %+v, want 3 serving endpoints", list, report)
		}
		m.awaitServed(30)
		m.server.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return before })
		m.awaitReport("recovery", func(r admin.EndpointReport) bool { return r.HeldLoss == nil && serving(r) == 3 })
		m.awaitServed(30)
	}
	m.command("nothing")
	m.awaitReport("a list held again", func(r admin.EndpointReport) bool { return r.HeldLoss != nil })
	if confirmation, err := m.Gateways[0].Confirm(); err != nil || confirmation.Nodes != 3 {
		t.Errorf("confirmation %+v, error %v, want 3 nodes", confirmation, err)
	}
	m.awaitReport("the confirmed loss", func(r admin.EndpointReport) bool { return r.HeldLoss == nil && serving(r) == 0 })
	m.server.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return m.List().Nodes })
	m.awaitReport("3 serving endpoints", func(r admin.EndpointReport) bool { return serving(r) == 3 })
	m.awaitServed(30)
}

// TestStartWithCachedListWhileServerIsDown: a gateway that starts while the management server is down serves with its
// cached endpoint list, and with the server's list once the server is back.
func TestStartWithCachedListWhileServerIsDown(t *testing.T) {
	dir := t.TempDir() // created before the testbed, to be removed after the gateways that write there have stopped
	testbed := testkit.Start(t, testkit.Conf, 2, 0, nil)
	s, err := xdsstandin.Start(testaddr.Reserve(t), 1, testbed.List().Nodes...)
	if err != nil {
		t.Fatal(err)
	}
	useXDSServer(testbed, s, true)
	testbed.Conf += "members {\n  folder = \"" + dir + "\"\n  first = \"20s\"\n}\n"
	g := testbed.StartGateway("g0")
	if err := put(testbed.Client(0), "/meals/f", randomBytes(1, 100_000)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(failureTimeout); ; time.Sleep(time.Millisecond) {
		if files, _ := filepath.Glob(filepath.Join(dir, "g0.plane.nodes.hcl")); len(files) == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("timeout: the endpoint list is not cached")
		}
	}
	g.Kill()
	testbed.Gateways = nil
	s.Close()
	testbed.Conf = strings.Replace(testbed.Conf, "20s", "10ms", 1)
	g = testbed.StartGateway("g0")
	testkit.RetryUntilDone(t, "get", func() error { _, err := get(testbed.Client(0), "/meals/f"); return err })
	v, err := g.Members()
	if err != nil {
		t.Fatal(err)
	}
	source := v.Sources[0]
	if source.State != "starting" || source.LastError == "" || source.Nodes != 2 || len(v.Nodes) != 2 {
		t.Errorf("got %+v, want source \"starting\" with an error and 2 cached endpoints", v)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	isCurrent := func() bool { return v.Sources[0].State == "current" && v.Sources[0].Version == "c:1 e:1" }
	for end := time.Now().Add(failureTimeout); !isCurrent(); time.Sleep(time.Millisecond) {
		if v, _ = g.Members(); time.Now().After(end) {
			t.Fatalf("timeout: got %+v, want source \"current\" at version \"c:1 e:1\"", v)
		}
	}
	testkit.RetryUntilDone(t, "get", func() error { _, err := get(testbed.Client(0), "/meals/f"); return err })
}
