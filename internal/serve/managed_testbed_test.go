package serve_test

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	pkgsftp "github.com/pkg/sftp"

	"irispost/internal/admin"
	"irispost/internal/audit"
	"irispost/internal/endpoint/manager"
	"irispost/internal/endpoint/xds"
	"irispost/internal/gateway"
	"irispost/internal/standin"
	"irispost/internal/testkit"
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
