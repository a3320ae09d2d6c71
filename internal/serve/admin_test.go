package serve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/admin"
	"irispost/internal/capture"
	"irispost/internal/replay"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// scrape reads a gateway's metrics.
func scrape(t *testing.T, socket string) string {
	t.Helper()
	c := http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", socket)
	}}}
	defer c.CloseIdleConnections()
	r, err := c.Get("http://gateway/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("%d, %v: %s", r.StatusCode, err, b)
	}
	return string(b)
}

// startAdminTestbed starts a gateway with an admin socket over slow nodes, one of which fails at times.
func startAdminTestbed(t *testing.T, socket string) *testkit.Testbed {
	t.Helper()
	conf := withBlock("  admin = \"" + socket + "\"\n")
	b := testkit.Start(t, conf, 2, 1, func(o *standin.Options) { o.UnitTime = 100 * time.Microsecond })
	command(t, b.Nodes[0], "fail 0.3")
	return b
}

// startClients starts clients that write and read files until the returned function is called.
func startClients(b *testkit.Testbed, count int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range count {
		client := b.Client(0)
		path := "/meals/f" + string(rune('a'+i))
		running.Go(func() {
			for n := uint64(0); ; n++ {
				select {
				case <-done:
					return
				default:
					_ = put(client, path, random(n, 100_000)) // may fail, as a node does
					_, _ = get(client, path)
				}
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// finished returns how many requests a gateway has finished.
func finished(t *testing.T, client *admin.Client) (count int64) {
	t.Helper()
	status, err := client.Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, class := range status.RequestClasses {
		count += class.Succeeded + class.Rejected + class.Failed + class.Cancelled
	}
	return count
}

// awaitFinished waits until so many requests more are finished.
func awaitFinished(t *testing.T, client *admin.Client, more int64) {
	t.Helper()
	target := finished(t, client) + more
	until(func() bool { return finished(t, client) >= target })
}

// expectError fails the test if an error is not there or does not contain a text.
func expectError(t *testing.T, what string, err error, text string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), text) {
		t.Errorf("%s: error %v, want one with %q", what, err, text)
	}
}

// expectReplays fails the test if the decisions of a capture don't replay.
func expectReplays(t *testing.T, file string) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	reader, err := capture.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	report, err := replay.Run(reader.Next, replay.Options{})
	if err != nil || !report.Matches() || report.State != replay.Ended || report.Decisions < 100 {
		t.Errorf("%v after %d decisions, %v, %+v", report.State, report.Decisions, err, report.Difference)
	}
}

// TestCaptureWhileServingReplays: a capture is started and stopped through the admin socket while clients work and
// nodes fail; a second one at the same time is rejected; what was captured replays to the same decisions.
func TestCaptureWhileServingReplays(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin.sock")
	b := startAdminTestbed(t, socket)
	stopClients := startClients(b, 3)
	client := admin.Dial(socket, time.Minute)
	for _, line := range []string{
		"irispost_up 1",
		`irispost_nodes{state=`,
		`irispost_jobs_total{outcome="completed",product="read"}`, // once clients work
	} {
		until(func() bool { return strings.Contains(scrape(t, socket), line) })
	}
	_, err := client.StopCapture()
	expectError(t, "stopping none", err, "no capture is on")
	_, err = client.StartCapture("")
	expectError(t, "starting without a folder", err, "no folder")
	awaitFinished(t, client, 100)
	for range 3 {
		status, err := client.StartCapture(dir)
		if err != nil || !status.On {
			t.Fatal(status, err)
		}
		_, err = client.StartCapture(dir)
		expectError(t, "a second capture", err, status.File)
		awaitFinished(t, client, 200)
		status, err = client.StopCapture()
		if err != nil || status.On || status.Dropped > 0 || status.Written == 0 {
			t.Fatal(status, err)
		}
		expectReplays(t, status.File)
	}
	stopClients()
	checkSockets(t, b, socket, filepath.Join(dir, "file"))
	b.Gateways[0].Kill()
	b.Gateways = nil
	_, err = client.Status()
	expectError(t, "a gateway that is gone", err, "does not answer")
}

// checkSockets has admin sockets rejected: one that is served, and one in place of another file.
func checkSockets(t *testing.T, b *testkit.Testbed, served, file string) {
	t.Helper()
	_, err := admin.Listen(served, b.Gateways[0])
	expectError(t, "a socket that is served", err, "another gateway")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	_, err = admin.Listen(file, b.Gateways[0])
	expectError(t, "a socket in place of a file", err, "another kind")
}
