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
	"irispost/internal/xdsstandin"
)

// feedFromServer has gateways take their list from a management server.
func feedFromServer(w *testkit.Testbed, s *xdsstandin.Server, delta bool) {
	w.EndpointSources = func(name string) []manager.NamedSource {
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

// managed is an installation whose gateways have their list from a management server, with clients that work until the
// end.
type managed struct {
	*testkit.Testbed
	t           *testing.T
	server      *xdsstandin.Server
	record      *audit.Recorder
	servedCount atomic.Int64
	failedCount atomic.Int64 // with an error that is not the gateway's own answer
	grace       time.Duration
}

// startManaged starts one gateway with clients; delta chooses the incremental form of xDS.
func startManaged(t *testing.T, delta bool, shards int, unit time.Duration) *managed {
	t.Helper()
	clock := gateway.NewClock()
	m := &managed{t: t, record: &audit.Recorder{Clock: clock.Now}, grace: 2 * time.Second}
	m.Testbed = testkit.Start(t, testkit.Conf, shards, 0, func(o *standin.Options) {
		o.Recorder = m.record
		o.UnitTime = unit
	})
	s, err := xdsstandin.Start("127.0.0.1:0", 2, m.List().Nodes...)
	if err != nil {
		t.Fatal(err)
	}
	m.server = s
	feedFromServer(m.Testbed, s, delta)
	m.Gateway("g0")
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range 8 {
		client := m.Client(0)
		all.Go(func() { m.runClient(client, i, stop) })
	}
	t.Cleanup(func() {
		close(stop)
		all.Wait()
		s.Close()
		if m.failedCount.Load() > 0 {
			t.Errorf("%d requests had no answer of the gateway's own", m.failedCount.Load())
		}
	})
	m.awaitServed(20)
	return m
}

// runClient writes and reads files until stop is closed.
func (m *managed) runClient(client *pkgsftp.Client, number int, stop <-chan struct{}) {
	for n := uint64(0); ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		path := fmt.Sprintf("/meals/f%d.%d", number, n%7)
		err := put(client, path, random(n, 60_000))
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

// awaitServed waits until so many more requests are served.
func (m *managed) awaitServed(n int64) {
	m.t.Helper()
	target := m.servedCount.Load() + n
	for end := time.Now().Add(farOff); m.servedCount.Load() < target; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("%d served, want %d", m.servedCount.Load(), target)
		}
	}
}

// awaitAccepted makes a change and returns the time at which the gateway has accepted the update of endpoints.
func (m *managed) awaitAccepted(change func()) int64 {
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
	if err := m.server.WaitForAcks(farOff, func(list []xdsstandin.Ack) bool { return count(list) > before }); err != nil {
		m.t.Fatal(err)
	}
	return m.record.Clock()
}

// expectNoNewRequests fails the test if a node gets a request later than the grace after a time, or got hardly any before.
func (m *managed) expectNoNewRequests(node *standin.Node, since int64) {
	m.t.Helper()
	end := since + int64(m.grace)
	for m.record.Clock() < end {
		m.awaitServed(1)
	}
	m.awaitServed(30)
	last, before := since, 0
	for _, e := range m.record.Events() {
		if e.Type != audit.AttemptReceived || e.Node != node.Addr() {
			continue
		}
		if last = max(last, e.At); e.At < since {
			before++
		}
	}
	if before < 20 {
		m.t.Errorf("%s got only %d requests before", node.Addr(), before)
	}
	if last > end {
		m.t.Errorf("%s gets a request %d ms after it was to get none", node.Addr(), (last-since)/1e6)
	}
	m.t.Logf("%d requests before, the last one %.1f ms after the list", before, float64(last-since)/1e6)
}

// successor starts a cold node for a shard and lists it.
func (m *managed) successor(shard int) *standin.Node {
	n, err := standin.Start(standin.Options{
		Addr:        "127.0.0.1:0",
		Shard:       shard,
		Zone:        "z",
		Store:       m.Stores[shard],
		Cores:       2,
		Queue:       256,
		DedupWindow: time.Minute,
		Recorder:    m.record,
	})
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(n.Close)
	return n
}

func (m *managed) command(text string) {
	m.t.Helper()
	if err := m.server.Command(text); err != nil {
		m.t.Fatal(err)
	}
}

// TestNodeRemovedByXDSGetsNoNewRequests: after a drain, a removal, or a report that it is not healthy, a node gets no
// new requests, those in flight go on at its successor, and each gets its response: as the nodes' sockets saw it, in
// both forms of the protocol.
func TestNodeRemovedByXDSGetsNoNewRequests(t *testing.T) {
	for _, delta := range []bool{false, true} {
		for _, how := range []string{"drain", "remove", "unwell"} {
			t.Run(fmt.Sprintf("%s,delta=%v", how, delta), func(t *testing.T) {
				t.Parallel()
				m := startManaged(t, delta, 3, 2*time.Millisecond)
				old := m.Nodes[0]
				next := m.successor(0)
				since := m.awaitAccepted(func() { m.command("add " + next.Addr() + " 0") })
				m.awaitAccepted(func() { m.command(how + " " + old.Addr()) })
				m.expectNoNewRequests(old, since) // the successor's later start is enough
				if how == "drain" {               // undone: the successor still serves, as it started later
					m.awaitAccepted(func() { m.command("ready " + old.Addr()) })
					m.awaitServed(30)
					m.expectNoNewRequests(old, since)
				}
			})
		}
	}
}

// TestNodeRemovedWithoutSuccessorServesAgain: the requests of a removed node without a successor are answered all the
// same, and it serves again once it is back.
func TestNodeRemovedWithoutSuccessorServesAgain(t *testing.T) {
	m := startManaged(t, true, 3, time.Millisecond)
	since := m.awaitAccepted(func() { m.command("remove " + m.Nodes[2].Addr()) })
	time.Sleep(100 * time.Millisecond) // its shard's requests wait meanwhile
	m.server.UpdateNodes(func(list []endpoint.Node) []endpoint.Node {
		for i := range list {
			list[i].Health = endpoint.Ready
		}
		return list
	})
	m.awaitServed(50)
	for _, e := range m.record.Events() {
		if e.Type == audit.AttemptReceived && e.Node == m.Nodes[2].Addr() && e.At > since+int64(100*time.Millisecond) {
			return
		}
	}
	t.Error("a node that is back gets no work")
}

// report returns the endpoints as the gateway has them.
func (m *managed) report() admin.EndpointReport {
	m.t.Helper()
	report, err := m.Gateways[0].Members()
	if err != nil {
		m.t.Fatal(err)
	}
	return report
}

// awaitReport waits until the report meets a condition.
func (m *managed) awaitReport(what string, condition func(admin.EndpointReport) bool) {
	m.t.Helper()
	for end := time.Now().Add(farOff); !condition(m.report()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("%s does not come about: %+v", what, m.report())
		}
	}
}

// serving returns how many endpoints of a report get requests.
func serving(report admin.EndpointReport) (count int) {
	for _, node := range report.Nodes {
		if node.State == "serving" || node.State == "kept" {
			count++
		}
	}
	return count
}

// TestInvalidUpdatesKeepLastGoodList: invalid updates are rejected with a reason, the last good list stays in force,
// and requests go on.
func TestInvalidUpdatesKeepLastGoodList(t *testing.T) {
	m := startManaged(t, false, 3, 0)
	version := m.report().Sources[0].Version
	for i, kind := range []string{"endpoints", "clusters"} {
		m.command("broken " + kind)
		m.awaitReport("a rejection", func(r admin.EndpointReport) bool { return r.Sources[0].RejectedUpdates > i })
		report := m.report()
		source := report.Sources[0]
		if source.Version != version || serving(report) != 3 || !strings.Contains(source.LastRejection, kind) {
			t.Errorf("%+v", report)
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
		t.Errorf("%d rejections were sent, want 2", rejections)
	}
}

// TestListWithoutHealthyEndpointsIsHeld: a list of nothing, and one in which all are unhealthy, is held and reported
// until the source takes it back or an operator confirms it.
func TestListWithoutHealthyEndpointsIsHeld(t *testing.T) {
	m := startManaged(t, false, 3, 0)
	isHeld := func(r admin.EndpointReport) bool {
		return r.HeldLoss != nil && r.HeldLoss.LeavesNoNodes && r.HeldLoss.Nodes == 3
	}
	for _, list := range []string{"nothing", "everybody unwell"} {
		m.command("cut")
		before := m.server.Nodes()
		m.command(list)
		m.awaitReport("held", isHeld)
		if report := m.report(); serving(report) != 3 {
			t.Errorf("%s: %+v", list, report)
		}
		m.awaitServed(30)
		m.server.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return before })
		m.awaitReport("as before", func(r admin.EndpointReport) bool { return r.HeldLoss == nil && serving(r) == 3 })
		m.awaitServed(30)
	}
	m.command("nothing")
	m.awaitReport("held again", func(r admin.EndpointReport) bool { return r.HeldLoss != nil })
	if confirmation, err := m.Gateways[0].Confirm(); err != nil || confirmation.Nodes != 3 {
		t.Errorf("%+v, %v", confirmation, err)
	}
	m.awaitReport("confirmed", func(r admin.EndpointReport) bool { return r.HeldLoss == nil && serving(r) == 0 })
	m.server.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return m.List().Nodes })
	m.awaitReport("back", func(r admin.EndpointReport) bool { return serving(r) == 3 })
	m.awaitServed(30)
}

// TestStartWithCachedListWhileServerIsDown: a gateway that starts while the management server is down serves with the
// list that it cached before, and with the server's list once there is one.
func TestStartWithCachedListWhileServerIsDown(t *testing.T) {
	dir := t.TempDir() // before the testbed, so that it is removed after the gateways that write there are stopped
	w := testkit.Start(t, testkit.Conf, 2, 0, nil)
	s, err := xdsstandin.Start("127.0.0.1:0", 1, w.List().Nodes...)
	if err != nil {
		t.Fatal(err)
	}
	feedFromServer(w, s, true)
	w.Conf += "members {\n  folder = \"" + dir + "\"\n  first = \"20s\"\n}\n"
	g := w.Gateway("g0")
	if err := put(w.Client(0), "/meals/f", random(1, 100_000)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(farOff); ; time.Sleep(time.Millisecond) {
		if files, _ := filepath.Glob(filepath.Join(dir, "g0.plane.nodes.hcl")); len(files) == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no list is kept")
		}
	}
	g.Kill()
	w.Gateways = nil
	s.Close()
	w.Conf = strings.Replace(w.Conf, "20s", "10ms", 1)
	g = w.Gateway("g0")
	testkit.RetryUntilDone(t, "get", func() error { _, err := get(w.Client(0), "/meals/f"); return err })
	v, err := g.Members()
	if err != nil {
		t.Fatal(err)
	}
	source := v.Sources[0]
	if source.State != "starting" || source.LastError == "" || source.Nodes != 2 || len(v.Nodes) != 2 {
		t.Errorf("%+v", v)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	isCurrent := func() bool { return v.Sources[0].State == "current" && v.Sources[0].Version == "c:1 e:1" }
	for end := time.Now().Add(farOff); !isCurrent(); time.Sleep(time.Millisecond) {
		if v, _ = g.Members(); time.Now().After(end) {
			t.Fatalf("%+v", v)
		}
	}
	testkit.RetryUntilDone(t, "get", func() error { _, err := get(w.Client(0), "/meals/f"); return err })
}
