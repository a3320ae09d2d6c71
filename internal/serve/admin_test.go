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
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != http.StatusOK {
		t.Fatalf("%d, %v: %s", r.StatusCode, err, b)
	}
	return string(b)
}

// A capture is started and stopped through the admin socket while clients work and nodes fail; a second one at the same
// time is refused; what was captured replays to the same decisions.
func TestCaptureWhileServing(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin.sock")
	conf := strings.Replace(testkit.Conf, "gateways = 2\n", "gateways = 2\n  admin = \""+socket+"\"\n", 1)
	w := testkit.Start(t, conf, 2, 1, func(o *standin.Options) { o.UnitTime = 100 * time.Microsecond })
	w.Nodes[0].Command("fail 0.3")
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range 3 {
		c := w.Client(0)
		all.Add(1)
		go func() {
			defer all.Done()
			for n := uint64(0); ; n++ {
				select {
				case <-stop:
					return
				default:
					path := "/meals/f" + string(rune('a'+i))
					put(c, path, random(n, 100_000))
					get(c, path)
				}
			}
		}()
	}
	a := admin.Dial(socket, time.Minute)
	for _, line := range []string{"irispost_up 1", `irispost_nodes{state=`, `irispost_jobs_total{outcome="completed",product="read"}`} {
		until(func() bool { return strings.Contains(scrape(t, socket), line) }) // jobs are there once clients work
	}
	done := func() int64 { // jobs that are over
		s, err := a.Status()
		if err != nil {
			t.Fatal(err)
		}
		n := int64(0)
		for _, p := range s.RequestClasses {
			n += p.Succeeded + p.Rejected + p.Failed + p.Cancelled
		}
		return n
	}
	wait := func(jobs int64) {
		for until := done() + jobs; done() < until; {
			time.Sleep(time.Millisecond)
		}
	}
	if _, err := a.StopCapture(); err == nil || !strings.Contains(err.Error(), "no capture is on") {
		t.Errorf("stopping none: %v", err)
	}
	if _, err := a.StartCapture(""); err == nil || !strings.Contains(err.Error(), "no folder") {
		t.Errorf("starting without a folder: %v", err)
	}
	wait(100)
	for range 3 {
		c, err := a.StartCapture(dir)
		if err != nil || !c.On {
			t.Fatal(c, err)
		}
		if _, err := a.StartCapture(dir); err == nil || !strings.Contains(err.Error(), c.File) {
			t.Errorf("a second capture: %v", err)
		}
		wait(200)
		if c, err = a.StopCapture(); err != nil || c.On || c.Dropped > 0 || c.Written == 0 {
			t.Fatal(c, err)
		}
		f, err := os.Open(c.File)
		if err != nil {
			t.Fatal(err)
		}
		r, err := capture.NewReader(f)
		if err != nil {
			t.Fatal(err)
		}
		report, err := replay.Run(r.Next, replay.Options{})
		f.Close()
		if err != nil || !report.Same() || report.State != replay.Ended || report.Decisions < 100 {
			t.Errorf("%v after %d decisions, %v, %+v", report.State, report.Decisions, err, report.Difference)
		}
	}
	close(stop)
	all.Wait()
	if _, err := admin.Listen(socket, w.Gateways[0]); err == nil || !strings.Contains(err.Error(), "another gateway") {
		t.Errorf("a socket that is served: %v", err)
	}
	other := filepath.Join(dir, "file")
	os.WriteFile(other, nil, 0o644)
	if _, err := admin.Listen(other, w.Gateways[0]); err == nil || !strings.Contains(err.Error(), "another kind") {
		t.Errorf("a socket in place of a file: %v", err)
	}
	w.Gateways[0].Kill()
	w.Gateways = nil
	if _, err := a.Status(); err == nil || !strings.Contains(err.Error(), "does not answer") {
		t.Errorf("a gateway that is gone: %v", err)
	}
}
