package capacity_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"irispost/internal/endpoint/discovery"
	"irispost/internal/scale/meter"
	"irispost/internal/testkit/testaddr"
)

// webGateway is `irispost web` in a separate process, with test nodes and a test discovery service.
type webGateway struct {
	t          *testing.T
	command    *exec.Cmd
	addr       string
	nodes      int
	nodeBytes  meter.Counter // on the connections of all nodes
	polls      atomic.Int64  // received by the discovery service
	requestIDs atomic.Int64
}

// startWebGateway starts the program that IRISPOST_BIN names, which has to be built first: go build -o FILE
// ./cmd/irispost. It returns once the gateway has its first endpoint list.
func startWebGateway(t *testing.T, nodes int) *webGateway {
	t.Helper()
	program := os.Getenv("IRISPOST_BIN")
	if program == "" {
		t.Fatal("IRISPOST_BIN is not set; build the program with: go build -o FILE ./cmd/irispost")
	}
	g := &webGateway{t: t, nodes: nodes}
	list := discovery.Response{Revision: 1, Full: true}
	for i := range nodes {
		list.Targets = append(list.Targets, target(i, g.startEchoNode()))
	}
	discoveryAddr := g.startDiscovery(list)
	g.addr = testaddr.Reserve(t)
	config := g.writeConfig(discoveryAddr)
	g.command = exec.Command(program, "web")
	g.command.Env = append(os.Environ(), "PROXY_CONFIG="+config)
	if err := g.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = g.command.Process.Signal(syscall.SIGKILL)
		_ = g.command.Wait() // returns an error because of the signal
	})
	for g.polls.Load() < 2 { // the second poll follows the receipt of the first list
		time.Sleep(10 * time.Millisecond)
	}
	return g
}

// writeConfig writes the gateway's configuration file and returns its path.
func (g *webGateway) writeConfig(discoveryAddr string) string {
	g.t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1",
		"limits":{"cores":2,"memory_mb":1024,"sockets":30000},
		"settings":{"contract":{"ask_every_ms":40000.0},
		"contracts":[{"name":"gold","proportion":1.0,"base_rate":100000.0,"floor_rate":100000.0}],
		"domain":{"unit_mean":2.0,"largest":8},
		"lanes":[{"name":"read","effect":"read_like","target_ms":300.0,"hard_limit_ms":2500.0}],
		"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,
		"max_retry_after_ms":1000.0,"dial_timeout_ms":250.0,"idle_close_ms":30000.0}}}`, g.addr, discoveryAddr)
	file := filepath.Join(g.t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		g.t.Fatal(err)
	}
	return file
}

// startDiscovery starts a discovery service whose list never changes, and returns its address.
func (g *webGateway) startDiscovery(list discovery.Response) string {
	g.t.Helper()
	full := encode(g.t, list)
	unchanged := encode(g.t, discovery.Response{Revision: list.Revision})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		g.polls.Add(1)
		if request.FormValue("from") != strconv.FormatInt(list.Revision, 10) {
			_, _ = w.Write(full) // a client that has disconnected polls again
			return
		}
		holdMillis, _ := strconv.Atoi(request.FormValue("hold_ms")) // 0: the caller does not wait
		select {
		case <-time.After(time.Duration(holdMillis) * time.Millisecond):
		case <-request.Context().Done():
		}
		_, _ = w.Write(unchanged) // a client that has disconnected polls again
	})}
	go func() { _ = server.Serve(listener) }() // returns an error once the server is closed
	g.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// startEchoNode starts a node that answers each request with its body, and returns its address.
func (g *webGateway) startEchoNode() string {
	g.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go echoBodies(meter.CountBytes(conn, &g.nodeBytes))
		}
	}()
	return listener.Addr().String()
}

// echoBodies answers each request with its body until the connection is closed.
func echoBodies(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err != nil {
			return
		}
	}
}

// clientConn is a client's connection to the gateway.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a client connection. If bytes is not nil, the connection's bytes are added to it.
func (g *webGateway) dial(bytes *meter.Counter) *clientConn {
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	if bytes != nil {
		conn = meter.CountBytes(conn, bytes)
	}
	return &clientConn{conn, bufio.NewReaderSize(conn, 1024)}
}

// requestText returns the text of a request to a shard, with a body of the given length.
func (g *webGateway) requestText(shard, bodyLength int) string {
	var b strings.Builder
	b.WriteString("PUT /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\n")
	fmt.Fprintf(&b, "X-Request-Id: r%d\r\nX-Class: read\r\nX-Plan: gold\r\nX-Deadline-Ms: 2500\r\n", g.requestIDs.Add(1))
	fmt.Fprintf(&b, "Content-Length: %d\r\n", bodyLength)
	fmt.Fprintf(&b, "X-IO: volume=%016x,units=2,shard=%d,hosts=1\r\n\r\n", shard+1, shard)
	b.WriteString(strings.Repeat("x", bodyLength))
	return b.String()
}

// request sends a request and reads its response. It fails unless the status is 200.
func (g *webGateway) request(client *clientConn, shard, bodyLength int) error {
	if _, err := io.WriteString(client, g.requestText(shard, bodyLength)); err != nil {
		return err
	}
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("got status %d, want 200", response.StatusCode)
	}
	return nil
}

// usage returns the resource usage of the gateway's process.
func (g *webGateway) usage() meter.Usage {
	used, err := meter.ProcessUsage(g.command.Process.Pid)
	if err != nil {
		g.t.Fatal(err)
	}
	return used
}

// memoryMB returns the resident memory of the gateway's process.
func (g *webGateway) memoryMB() float64 { return g.usage().MB }

// corePercent returns the processor time that the gateway's process uses during a call, in percent of one core.
func (g *webGateway) corePercent(call func()) float64 {
	startedAt, before := time.Now(), g.usage().CPU
	call()
	return 100 * float64(g.usage().CPU-before) / float64(time.Since(startedAt))
}

// forEachNumber calls do for all numbers from 0 to count-1 in concurrent goroutines, one for each worker, and waits for
// them to finish. Worker w handles the numbers w, w+workers, w+2*workers and so on, in this order.
func forEachNumber(count, workers int, do func(i int)) {
	var running sync.WaitGroup
	for worker := range workers {
		running.Go(func() {
			for i := worker; i < count; i += workers {
				do(i)
			}
		})
	}
	running.Wait()
}
