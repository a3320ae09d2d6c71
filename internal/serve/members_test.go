package serve_test

import (
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pkgsftp "github.com/pkg/sftp"

	"irispost/internal/admin"
	"irispost/internal/audit"
	"irispost/internal/endpoint"
	"irispost/internal/endpoint/manager"
	"irispost/internal/endpoint/xds"
	"irispost/internal/gateway"
	"irispost/internal/standin"
	"irispost/internal/testkit"
	"irispost/internal/testkit/testaddr"
	"irispost/internal/xdsstandin"
)

// useXDSServer makes gateways take their endpoint list from an xDS management server.
func useXDSServer(testbed *testkit.Testbed, s *xdsstandin.Server, delta bool) {
	testbed.EndpointSources = func(name string) []manager.NamedSource {
		return []manager.NamedSource{{Name: "plane", Source: xds.NewClient(xds.Options{
			Address:     s.Addr(),
			Incremental: delta,
			NodeID:      name,
			MinBackoff:  time.Millisecond,
			MaxBackoff:  20 * time.Millisecond,
			Log:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		})}}
	}
}

// managedTestbed is a testbed whose gateways take their endpoint list from an xDS management server, with clients that
// send requests until the test ends.
type managedTestbed struct {
	*testkit.Testbed
	t           *testing.T
	server      *xdsstandin.Server
	recorder    *audit.Recorder
	servedCount atomic.Int64
	failedCount atomic.Int64 // with an error other than "dismissed" and "written off", which gateways return
	grace       time.Duration
}

// startManagedTestbed starts one gateway with clients. delta selects the incremental variant of xDS.
func startManagedTestbed(t *testing.T, delta bool, shards int, unitTime time.Duration) *managedTestbed {
	t.Helper()
	clock := gateway.NewClock()
	m := &managedTestbed{t: t, recorder: &audit.Recorder{Clock: clock.Now}, grace: 2 * time.Second}
	m.Testbed = testkit.Start(t, testkit.Conf, shards, 0, func(o *standin.Options) {
		o.Recorder = m.recorder
		o.UnitTime = unitTime
	})
	s, err := xdsstandin.Start("127.0.0.1:0", 2, m.List().Nodes...)
	if err != nil {
		t.Fatal(err)
	}
	m.server = s
	useXDSServer(m.Testbed, s, delta)
	m.StartGateway("g0")
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range 8 {
		client := m.Client(0)
		running.Go(func() { m.runClient(client, i, stop) })
	}
	t.Cleanup(func() {
		close(stop)
		running.Wait()
		s.Close()
		if m.failedCount.Load() > 0 {
			t.Errorf("%d requests failed with an error other than \"dismissed\" and \"written off\", want 0",
				m.failedCount.Load())
		}
	})
	m.awaitServed(20)
	return m
}

// runClient writes and reads files until stop is closed.
func (m *managedTestbed) runClient(client *pkgsftp.Client, number int, stop <-chan struct{}) {
	for n := uint64(0); ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		path := fmt.Sprintf("/meals/f%d.%d", number, n%7)
		err := put(client, path, randomBytes(n, 60_000))
		if err == nil {
			_, err = get(client, path)
		}
		switch {
		case err == nil:
			m.servedCount.Add(1)
		case !strings.Contains(err.Error(), "dismissed") && !strings.Contains(err.Error(), "written off"):
			m.failedCount.Add(1)
		}
	}
}

// awaitServed waits until n more iterations of the clients have succeeded.
func (m *managedTestbed) awaitServed(n int64) {
	m.t.Helper()
	target := m.servedCount.Load() + n
	for end := time.Now().Add(failureTimeout); m.servedCount.Load() < target; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("timeout: %d served, want %d", m.servedCount.Load(), target)
		}
	}
}

// awaitAccepted makes a change and returns the time when the gateway has acknowledged the resulting endpoint update.
func (m *managedTestbed) awaitAccepted(change func()) int64 {
	m.t.Helper()
	count := func(list []xdsstandin.Ack) (n int) {
		for _, a := range list {
			if a.Type == xds.EndpointType && a.Refusal == "" {
				n++
			}
		}
		return n
	}
	before := count(m.server.Acks())
	change()
	if err := m.server.WaitForAcks(failureTimeout, func(list []xdsstandin.Ack) bool {
		return count(list) > before
	}); err != nil {
		m.t.Fatal(err)
	}
	return m.recorder.Clock()
}

// expectNoNewRequests fails the test if a node receives a request later than the grace period after since, or received
// fewer than 20 before.
func (m *managedTestbed) expectNoNewRequests(node *standin.Node, since int64) {
	m.t.Helper()
	end := since + int64(m.grace)
	for m.recorder.Clock() < end {
		m.awaitServed(1)
	}
	m.awaitServed(30)
	last, before := since, 0
	for _, e := range m.recorder.Events() {
		if e.Type != audit.AttemptReceived || e.Node != node.Addr() {
			continue
		}
		if last = max(last, e.At); e.At < since {
			before++
		}
	}
	if before < 20 {
		m.t.Errorf("%s received only %d requests before the change, want at least 20", node.Addr(), before)
	}
	if last > end {
		m.t.Errorf("%s received a request %d ms after the change, beyond the grace period", node.Addr(), (last-since)/1e6)
	}
	m.t.Logf("%d requests before the change, the last one %.1f ms after it", before, float64(last-since)/1e6)
}

// startSuccessor starts another node for a shard. The caller has it listed.
func (m *managedTestbed) startSuccessor(shard int) *standin.Node {
	n, err := standin.Start(standin.Options{
		Addr:        "127.0.0.1:0",
		Shard:       shard,
		Zone:        "z",
		Store:       m.Stores[shard],
		Cores:       2,
		Queue:       256,
		DedupWindow: time.Minute,
		Recorder:    m.recorder,
	})
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(n.Close)
	return n
}

func (m *managedTestbed) command(text string) {
	m.t.Helper()
	if err := m.server.Command(text); err != nil {
		m.t.Fatal(err)
	}
}

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

// report returns the gateway's report of its endpoints.
func (m *managedTestbed) report() admin.EndpointReport {
	m.t.Helper()
	report, err := m.Gateways[0].Members()
	if err != nil {
		m.t.Fatal(err)
	}
	return report
}

// awaitReport waits until the report meets a condition; what describes the condition.
func (m *managedTestbed) awaitReport(what string, condition func(admin.EndpointReport) bool) {
	m.t.Helper()
	for end := time.Now().Add(failureTimeout); !condition(m.report()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("timeout waiting for %s: %+v", what, m.report())
		}
	}
}

// serving returns the number of endpoints in a report that receive requests.
func serving(report admin.EndpointReport) (count int) {
	for _, node := range report.Nodes {
		if node.State == "serving" || node.State == "kept" {
			count++
		}
	}
	return count
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
