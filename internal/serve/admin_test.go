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

// scrape returns the metrics of a gateway, read from its admin socket.
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
		t.Fatalf("GET /metrics: status %d, error %v, want 200: %s", r.StatusCode, err, b)
	}
	return string(b)
}

// startAdminTestbed starts a gateway with an admin socket and slow nodes, one of which fails some requests.
func startAdminTestbed(t *testing.T, socket string) *testkit.Testbed {
	t.Helper()
	conf := confWithBlock("  admin = \"" + socket + "\"\n")
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
					_ = put(client, path, randomBytes(n, 100_000)) // may fail, since a node does
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

// finished returns the number of requests that a gateway has finished.
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

// awaitFinished waits until the given number of further requests is finished.
func awaitFinished(t *testing.T, client *admin.Client, more int64) {
	t.Helper()
	target := finished(t, client) + more
	waitFor(func() bool { return finished(t, client) >= target })
}

// expectError fails the test if there is no error or its message does not contain a text.
func expectError(t *testing.T, what string, err error, text string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), text) {
		t.Errorf("%s: error %v, want one with %q", what, err, text)
	}
}

// expectReplays fails the test if a replay of a capture differs, does not reach its end, or has under 100 decisions.
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
		t.Errorf("replay: state %v after %d decisions, error %v, difference %+v; want Ended, at least 100, none",
			report.State, report.Decisions, err, report.Difference)
	}
}

// TestCaptureWhileServingReplays: a capture is started and stopped through the admin socket under load while a node
// fails requests. A second capture at the same time is rejected. The capture replays to the same decisions.
func TestCaptureWhileServingReplays(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin.sock")
	b := startAdminTestbed(t, socket)
	stopClients := startClients(b, 3)
	client := admin.Dial(socket, time.Minute)
	for _, line := range []string{
		"irispost_up 1",
		`irispost_nodes{state=`,
		`irispost_jobs_total{outcome="completed",product="read"}`, // appears once clients send requests
	} {
		waitFor(func() bool { return strings.Contains(scrape(t, socket), line) })
	}
	_, err := client.StopCapture()
	expectError(t, "stopping without a capture", err, "no capture is on")
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
	expectError(t, "status of a stopped gateway", err, "does not answer")
}

// checkSockets checks that an admin socket is not opened at the path of a socket in use or of a regular file.
func checkSockets(t *testing.T, b *testkit.Testbed, served, file string) {
	t.Helper()
	_, err := admin.Listen(served, b.Gateways[0])
	expectError(t, "listening at a socket in use", err, "another gateway")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	_, err = admin.Listen(file, b.Gateways[0])
	expectError(t, "listening at the path of a file", err, "another kind")
}
