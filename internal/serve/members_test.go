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

const farOff = 30 * time.Second

// feed has gateways take their list from a management server.
func feed(w *testkit.Testbed, s *xdsstandin.Server, delta bool) {
	w.EndpointSources = func(name string) []manager.NamedSource {
		return []manager.NamedSource{{Name: "plane", Source: xds.NewClient(xds.Options{Address: s.Addr(), Incremental: delta, NodeID: name,
			MinBackoff: time.Millisecond, MaxBackoff: 20 * time.Millisecond, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})}}
	}
}

// managed is a town whose gateways have their list from a management server, with clients that work until the end.
type managed struct {
	*testkit.Testbed
	t      *testing.T
	server *xdsstandin.Server
	record *audit.Recorder
	served atomic.Int64
	failed atomic.Int64 // without being dismissed or written off
	grace  time.Duration
}

func manage(t *testing.T, delta bool, shards int, unit time.Duration) *managed {
	clock := gateway.NewClock()
	m := &managed{t: t, record: &audit.Recorder{Clock: clock.Now}, grace: 2 * time.Second}
	m.Testbed = testkit.Start(t, testkit.Conf, shards, 0, func(o *standin.Options) { o.Recorder, o.UnitTime = m.record, unit })
	s, err := xdsstandin.Start("127.0.0.1:0", 2, m.List().Nodes...)
	if err != nil {
		t.Fatal(err)
	}
	m.server = s
	feed(m.Testbed, s, delta)
	m.Gateway("g0")
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range 8 {
		c := m.Client(0)
		all.Add(1)
		go func() {
			defer all.Done()
			for n := uint64(0); ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				path := fmt.Sprintf("/meals/f%d.%d", i, n%7)
				err := put(c, path, random(n, 60_000))
				if err == nil {
					_, err = get(c, path)
				}
				switch {
				case err == nil:
					m.served.Add(1)
				case !strings.Contains(err.Error(), "dismissed") && !strings.Contains(err.Error(), "written off"):
					m.failed.Add(1)
				}
			}
		}()
	}
	t.Cleanup(func() {
		close(stop)
		all.Wait()
		s.Close()
		if m.failed.Load() > 0 {
			t.Errorf("%d requests have had no answer of the gateway's", m.failed.Load())
		}
	})
	m.more(20)
	return m
}

// more waits until so many more requests are served.
func (m *managed) more(n int64) {
	m.t.Helper()
	for end, until := time.Now().Add(farOff), m.served.Load()+n; m.served.Load() < until; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			m.t.Fatalf("%d served, %d wanted", m.served.Load(), until)
		}
	}
}

// acked waits until the gateway has accepted so many updates of endpoints more, done by f, and returns when.
func (m *managed) acked(f func()) int64 {
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
	f()
	if err := m.server.WaitForAcks(farOff, func(list []xdsstandin.Ack) bool { return count(list) > before }); err != nil {
		m.t.Fatal(err)
	}
	return m.record.Clock()
}

// quiet checks that a node gets nothing fresh later than the grace after a time, and how long it got something.
func (m *managed) quiet(node *standin.Node, since int64) {
	m.t.Helper()
	end := since + int64(m.grace)
	for m.record.Clock() < end {
		m.more(1)
	}
	m.more(30)
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
		m.t.Errorf("%s had only %d executions before", node.Addr(), before)
	}
	if last > end {
		m.t.Errorf("%s gets work %d ms after it was let go", node.Addr(), (last-since)/1e6)
	}
	m.t.Logf("%d executions before, the last one %.1f ms after the list", before, float64(last-since)/1e6)
}

// successor starts a cold node for a shard and lists it.
func (m *managed) successor(shard int) *standin.Node {
	n, err := standin.Start(standin.Options{Addr: "127.0.0.1:0", Shard: shard, Zone: "z", Store: m.Stores[shard], Cores: 2, Queue: 256,
		DedupWindow: time.Minute, Recorder: m.record})
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

// After a drain, a removal, or word that it is not healthy, a node with jobs in flight gets no fresh work, jobs go on at its
// successor, and each request gets its answer: as the nodes' sockets saw it, in both forms of the protocol.
func TestLetGoByXDS(t *testing.T) {
	for _, delta := range []bool{false, true} {
		for _, how := range []string{"drain", "remove", "unwell"} {
			t.Run(fmt.Sprintf("%s,delta=%v", how, delta), func(t *testing.T) {
				t.Parallel()
				m := manage(t, delta, 3, 2*time.Millisecond)
				old := m.Nodes[0]
				next := m.successor(0)
				since := m.acked(func() { m.command("add " + next.Addr() + " 0") })
				m.acked(func() { m.command(how + " " + old.Addr()) })
				m.quiet(old, since) // the successor's later start is enough
				if how == "drain" { // undone: the successor still serves, as it started later
					m.acked(func() { m.command("ready " + old.Addr()) })
					m.more(30)
					m.quiet(old, since)
				}
			})
		}
	}
}

// Without a successor, a removed node's jobs are answered all the same, and it serves again once it is back.
func TestRemovedWithoutSuccessor(t *testing.T) {
	m := manage(t, true, 3, time.Millisecond)
	since := m.acked(func() { m.command("remove " + m.Nodes[2].Addr()) })
	time.Sleep(100 * time.Millisecond) // its shard's requests wait meanwhile
	m.server.UpdateNodes(func(list []endpoint.Node) []endpoint.Node {
		for i := range list {
			list[i].Health = endpoint.Ready
		}
		return list
	})
	m.more(50)
	for _, e := range m.record.Events() {
		if e.Type == audit.AttemptReceived && e.Node == m.Nodes[2].Addr() && e.At > since+int64(100*time.Millisecond) {
			return
		}
	}
	t.Error("a node that is back gets no work")
}

// Broken updates are refused with a reason, the last good list stays in force, and jobs go on; a list of nothing, and one in
// which all are unwell, is held and shown until somebody confirms it.
func TestBrokenWorld(t *testing.T) {
	m := manage(t, false, 3, 0)
	g := m.Gateways[0]
	view := func() admin.EndpointReport {
		v, err := g.Members()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	until := func(what string, holds func(admin.EndpointReport) bool) {
		t.Helper()
		for end := time.Now().Add(farOff); !holds(view()); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s does not come about: %+v", what, view())
			}
		}
	}
	serving := func(v admin.EndpointReport) (n int) {
		for _, node := range v.Nodes {
			if node.State == "serving" || node.State == "kept" {
				n++
			}
		}
		return n
	}
	version := view().Sources[0].Version
	for i, kind := range []string{"endpoints", "clusters"} {
		m.command("broken " + kind)
		until("a refusal", func(v admin.EndpointReport) bool { return v.Sources[0].RejectedUpdates > i })
		v := view()
		if v.Sources[0].Version != version || serving(v) != 3 || !strings.Contains(v.Sources[0].LastRejection, kind) {
			t.Errorf("%+v", v)
		}
		m.more(30)
	}
	refused := 0
	for _, a := range m.server.Acks() {
		if a.Refusal != "" {
			refused++
		}
	}
	if refused != 2 {
		t.Errorf("%d refusals were sent", refused)
	}
	m.command("mend")
	for _, all := range []string{"nothing", "everybody unwell"} {
		m.command("cut")
		list := m.server.Nodes()
		m.command(all)
		until("held", func(v admin.EndpointReport) bool {
			return v.HeldLoss != nil && v.HeldLoss.LeavesNone && v.HeldLoss.Nodes == 3
		})
		if serving(view()) != 3 {
			t.Errorf("%s: %+v", all, view())
		}
		m.more(30)
		m.server.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return list })
		until("as before", func(v admin.EndpointReport) bool { return v.HeldLoss == nil && serving(v) == 3 })
		m.more(30)
	}
	m.command("nothing")
	until("held again", func(v admin.EndpointReport) bool { return v.HeldLoss != nil })
	if c, err := g.Confirm(); err != nil || c.Nodes != 3 {
		t.Errorf("%+v, %v", c, err)
	}
	until("confirmed", func(v admin.EndpointReport) bool { return v.HeldLoss == nil && serving(v) == 0 })
	m.server.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return m.List().Nodes })
	until("back", func(v admin.EndpointReport) bool { return serving(v) == 3 })
	m.more(30)
}

// A gateway that starts while the management server is down serves with the list that its earlier life kept, as old, and
// goes over to the server's word when there is one.
func TestStartsWithKeptList(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 2, 0, nil)
	s, err := xdsstandin.Start("127.0.0.1:0", 1, w.List().Nodes...)
	if err != nil {
		t.Fatal(err)
	}
	feed(w, s, true)
	dir := t.TempDir()
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
	if err != nil || v.Sources[0].State != "starting" || v.Sources[0].LastError == "" || v.Sources[0].Nodes != 2 || len(v.Nodes) != 2 {
		t.Errorf("%+v, %v", v, err)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for end := time.Now().Add(farOff); v.Sources[0].State != "current" || v.Sources[0].Version != "c:1 e:1"; time.Sleep(time.Millisecond) {
		if v, _ = g.Members(); time.Now().After(end) {
			t.Fatalf("%+v", v)
		}
	}
	testkit.RetryUntilDone(t, "get", func() error { _, err := get(w.Client(0), "/meals/f"); return err })
}
