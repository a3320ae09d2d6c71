package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"irispost/internal/testkit/testaddr"
	"irispost/internal/webstandin"
)

// webProcess is a gateway with an HTTP front end, run as a process.
type webProcess struct {
	*exec.Cmd
	t        testing.TB
	file     string
	addr     string
	lock     sync.Mutex
	logLines []string
	over     chan error // receives the exit error of the process
}

func webConfig(listen, list, more string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":128},%s
		"settings":{"discovery":"push","contract":{"drain_grace_ms":250.0},
		"contracts":[{"name":"gold","proportion":1.0,"base_rate":1000.0,"floor_rate":1000.0}],
		"domain":{"unit_mean":2.0,"largest":8},
		"lanes":[{"name":"read","effect":"read_like","target_ms":60000.0,"hard_limit_ms":120000.0}],
		"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,
		"max_retry_after_ms":1000.0,"dial_timeout_ms":5000.0,"idle_close_ms":60000.0}}}`, listen, list, more)
}

// startWeb starts a gateway process with a limit of 128 file descriptors. It returns before the gateway is listening.
func startWeb(t testing.TB, list, more string, env ...string) *webProcess {
	w := newWebProcess(t)
	w.write(webConfig(w.addr, list, more))
	w.start(128, (*exec.Cmd).Start, env...)
	return w
}

// newWebProcess returns a process that has an address and a configuration file, which the caller writes.
func newWebProcess(t testing.TB) *webProcess {
	file := filepath.Join(t.TempDir(), "proxy.json")
	return &webProcess{t: t, file: file, addr: testaddr.Reserve(t), over: make(chan error, 1)}
}

// start starts the process by startCommand, with a limit on its file descriptors. IRISPOST_TEST_PROGRAM may name
// another build of the program.
func (w *webProcess) start(descriptors int, startCommand func(*exec.Cmd) error, env ...string) {
	w.t.Helper()
	program, err := os.Executable()
	if err != nil {
		w.t.Fatal(err)
	}
	program = cmp.Or(os.Getenv("IRISPOST_TEST_PROGRAM"), program)
	w.Cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" web`, descriptors), program)
	w.Env = append(append(os.Environ(), "IRISPOST_TEST_AS_PROGRAM=1", "PROXY_CONFIG="+w.file), env...)
	log, err := w.StderrPipe()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := startCommand(w.Cmd); err != nil {
		w.t.Fatal(err)
	}
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			w.lock.Lock()
			w.logLines = append(w.logLines, lines.Text())
			w.lock.Unlock()
		}
		w.over <- w.Wait()
	}()
	w.t.Cleanup(func() { _ = w.Process.Kill() })
}

// signal sends a signal, unless the process has exited already.
func (w *webProcess) signal(s syscall.Signal) {
	w.t.Helper()
	if err := w.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		w.t.Error(err)
	}
}

func (w *webProcess) write(config string) {
	if err := os.WriteFile(w.file+".new", []byte(config), 0o600); err != nil {
		w.t.Fatal(err)
	}
	if err := os.Rename(w.file+".new", w.file); err != nil {
		w.t.Fatal(err)
	}
}

// waitForLog waits until the log has a number of lines that contain the text.
func (w *webProcess) waitForLog(text string, count int) {
	for n := 0; n < count; time.Sleep(time.Millisecond) {
		n = 0
		w.lock.Lock()
		for _, line := range w.logLines {
			if strings.Contains(line, text) {
				n++
			}
		}
		w.lock.Unlock()
	}
}

// waitUntilReady waits until the health check succeeds.
func (w *webProcess) waitUntilReady() {
	for {
		if response, err := http.Get("http://" + w.addr + "/healthz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == 200 {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// sendWrite sends a write request on a new connection. A connection failure is returned as status 0.
func (w *webProcess) sendWrite(id string) (status int, body string) {
	request, _ := http.NewRequest("PUT", "http://"+w.addr+"/api?extent=7f3a9c21e0b4d655", strings.NewReader("body"))
	for name, v := range map[string]string{"X-Request-Id": id, "X-Class": "read", "X-Plan": "gold",
		"X-Deadline-Ms": "120000",
		"X-IO":          "volume=00000003b4d60021,units=2,shard=0,hosts=1"} {
		request.Header.Set(name, v)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

// listResponse returns a discovery response with a full endpoint list of one node.
func listResponse(revision int, node string) string {
	return fmt.Sprintf(`{"rev":%d,"all":true,"targets":[{"uid":"s","endpoint":%q,"az":"a","pod_group":0,`+
		`"state":"ready","boot_ms":0}]}`, revision, node)
}

// startDiscovery starts a discovery service with a list of one node, revision 7, which never changes: watches from
// that revision wait. requests receives the URL of each request.
func startDiscovery(t testing.TB, addr, node string) (listener net.Listener, requests chan string) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	requests = make(chan string, 1000)
	quit := make(chan bool)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		requests <- request.URL.String()
		if request.FormValue("from") == "7" {
			select {
			case <-quit:
			case <-request.Context().Done():
			}
		}
		_, _ = fmt.Fprint(w, listResponse(7, node))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		close(quit)
		_ = server.Close()
	})
	return listener, requests
}

// Signals that arrive during startup, twice, or along with a new configuration still lead to a clean shutdown. A
// reload with an invalid configuration changes nothing.
func TestSignalsInAnyOrder(t *testing.T) {
	store := webstandin.Start(t)
	current, currentRequests := startDiscovery(t, "127.0.0.1:0", store.Addr().String())
	other, otherRequests := startDiscovery(t, "127.0.0.1:0", store.Addr().String())
	t.Run("configurations", func(t *testing.T) {
		w := startWeb(t, current.Addr().String(), "")
		w.waitUntilReady()
		<-currentRequests
		unknownEffect := strings.Replace(webConfig(w.addr, other.Addr().String(), ""), "read_like", "perhaps", 1)
		for i, invalid := range []string{"", `{"name":`, unknownEffect} {
			w.write(invalid)
			w.signal(syscall.SIGHUP)
			w.waitForLog("keeping the current configuration", i+1)
		}
		if status, body := w.sendWrite("served-1"); status != 200 || len(otherRequests) > 0 {
			t.Errorf("after invalid reloads: got status %d %q and %d requests at the other discovery service, want 200 and 0",
				status, body, len(otherRequests))
		}
		w.write(webConfig(w.addr, other.Addr().String(), ""))
		w.signal(syscall.SIGHUP)
		<-otherRequests
		w.signal(syscall.SIGHUP) // reload without a change
		w.signal(syscall.SIGTERM)
		w.signal(syscall.SIGHUP) // during shutdown
		w.signal(syscall.SIGTERM)
		w.waitForLog("gateway is shutting down", 1)
		if status, body := w.sendWrite("served-2"); status != 200 && status != 0 {
			t.Errorf("during shutdown: got status %d %q, want 200 or a connection failure", status, body)
		}
		if err := <-w.over; err != nil {
			t.Errorf("after SIGTERM: got exit error %v, want none", err)
		}
	})
	t.Run("an end before it is ready", func(t *testing.T) {
		for i := range 20 { // from before the start of main to after the gateway is up
			w := startWeb(t, current.Addr().String(), "")
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			w.signal(syscall.SIGTERM)
			if err := <-w.over; err != nil && !strings.Contains(err.Error(), "terminated") {
				t.Errorf("SIGTERM after %d ms: got exit error %v, want none or terminated", 2*i, err)
			}
		}
	})
}

// A gateway becomes ready even if its discovery service refuses connections, does not respond or responds with a
// corrupt list. If its configuration contains a known list, it serves from that.
func TestReadyWhateverTheListDoes(t *testing.T) {
	store := webstandin.Start(t)
	known := fmt.Sprintf(`"known":%s,`, listResponse(6, store.Addr().String()))
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	corrupt := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"rev":"x"}`)
	})}
	corruptListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = corrupt.Serve(corruptListener) }()
	defer func() { _ = corrupt.Close() }()
	for behavior, list := range map[string]string{
		"refuses":      "127.0.0.1:1",
		"unresponsive": unresponsive.Addr().String(),
		"corrupt":      corruptListener.Addr().String(),
	} {
		for _, knownList := range []string{"", known} {
			w := startWeb(t, list, knownList)
			started := time.Now()
			w.waitUntilReady()
			t.Logf("discovery %s, known list %t: ready after %v", behavior, knownList != "", time.Since(started))
			if knownList != "" {
				if status, body := w.sendWrite("served-1"); status != 200 {
					t.Errorf("discovery %s: got status %d %q with a known list, want 200", behavior, status, body)
				}
			}
			_ = w.Process.Kill()
			if err := <-w.over; err == nil {
				t.Errorf("discovery %s: the gateway exited without an error before it was killed", behavior)
			}
		}
	}
}

// Idle clients use up a gateway's file descriptors while its discovery service is down. When the service is back, the
// gateway still has descriptors to fetch the list, connect to its node and serve a new client, while the idle clients
// remain connected.
func TestIdleClientsWhileTheListIsDown(t *testing.T) {
	store := webstandin.Start(t)
	addr := testaddr.Reserve(t)
	w := startWeb(t, addr, "")
	w.waitUntilReady()
	var idle []net.Conn
	for range 300 {
		if c, err := net.Dial("tcp", w.addr); err == nil {
			idle = append(idle, c)
			defer func() { _ = c.Close() }()
		}
	}
	stop := make(chan bool)
	defer close(stop)
	go func() { // idle clients reconnect continuously
		for i := 0; ; i = (i + 1) % len(idle) {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if c, err := net.Dial("tcp", w.addr); err == nil {
				defer func() { _ = c.Close() }()
			}
		}
	}()
	_, requests := startDiscovery(t, addr, store.Addr().String())
	restarted := time.Now()
	for url := <-requests; !strings.Contains(url, "from=7"); url = <-requests { // until the gateway has the list and watches it
	}
	received := time.Now()
	for i := 0; ; i++ {
		status, body := w.sendWrite(fmt.Sprint("served-", i))
		if status == 200 {
			t.Logf("list received %v after the discovery service came back, new client served %v later, on attempt %d",
				received.Sub(restarted), time.Since(received), i+1)
			break
		}
		if status != 503 && status != 0 {
			t.Fatalf("got status %d %q, want 200, 503 or a connection failure", status, body)
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, line := range w.logLines {
		if strings.Contains(line, "too many open files") {
			t.Errorf("ran out of file descriptors: %s", line)
			break
		}
	}
}
