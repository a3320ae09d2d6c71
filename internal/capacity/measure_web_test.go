package capacity_test

import (
	"bufio"
	"encoding/json"
	"errors"
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

	"irispost/internal/capacity"
	"irispost/internal/endpoint/discovery"
)

// plant is a gateway as the platform starts it, in a process of its own, before stand-in nodes and a stand-in list service.
type plant struct {
	t     *testing.T
	cmd   *exec.Cmd
	addr  string
	nodes int
	bytes atomic.Int64 // that nodes have read and written
	asked atomic.Int64
	ids   atomic.Int64
}

// startPlant starts the program that IRISPOST_BIN names, built before: go build -o FILE ./cmd/irispost.
func startPlant(t *testing.T, nodes int) *plant {
	t.Helper()
	bin := os.Getenv("IRISPOST_BIN")
	if bin == "" {
		t.Fatal("IRISPOST_BIN names no program: go build -o FILE ./cmd/irispost")
	}
	p := &plant{t: t, nodes: nodes}
	form := discovery.Response{Revision: 1, Full: true}
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go p.accept(l)
		form.Targets = append(form.Targets, target(i, l.Addr().String()))
	}
	whole, _ := json.Marshal(form)
	none, _ := json.Marshal(discovery.Response{Revision: 1})
	service, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		p.asked.Add(1)
		if q.FormValue("from") == "1" {
			ms, _ := strconv.Atoi(q.FormValue("hold_ms"))
			select {
			case <-time.After(time.Duration(ms) * time.Millisecond):
			case <-q.Context().Done():
			}
			_, _ = w.Write(none)
			return
		}
		_, _ = w.Write(whole)
	})}
	go func() { _ = server.Serve(service) }()
	t.Cleanup(func() { _ = server.Close() })
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = front.Addr().String()
	_ = front.Close()
	conf := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":2,"memory_mb":1024,"sockets":30000},
		"settings":{"contract":{"ask_every_ms":40000.0},"contracts":[{"name":"gold","proportion":1.0,"base_rate":100000.0,"floor_rate":100000.0}],
		"domain":{"unit_mean":2.0,"largest":8},"lanes":[{"name":"read","effect":"read_like","target_ms":300.0,"hard_limit_ms":2500.0}],
		"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,"max_retry_after_ms":1000.0,"dial_timeout_ms":250.0,
		"idle_close_ms":30000.0}}}`, p.addr, service.Addr().String())
	if err := os.WriteFile(conf, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(bin, "web")
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+conf)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		_ = p.cmd.Wait() // it reports the kill
	})
	for p.asked.Load() < 2 { // the first list is told
		time.Sleep(10 * time.Millisecond)
	}
	return p
}

func target(i int, addr string) discovery.Target {
	return discovery.Target{UID: fmt.Sprintf("store-%06d", i), Endpoint: addr, Zone: fmt.Sprint("zone-", i%7), Model: "m", Shard: i, State: "ready", Weight: 1,
		StartedMillis: 1_700_000_000_000 + int64(i)}
}

// counted counts what passes a connection.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// accept has a node answer each request with as many bytes as came.
func (p *plant) accept(l net.Listener) {
	for raw, err := l.Accept(); err == nil; raw, err = l.Accept() {
		go func() {
			defer func() { _ = raw.Close() }()
			c := counted{raw, &p.bytes}
			for in := bufio.NewReader(c); ; {
				q, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, err := io.ReadAll(q.Body)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		}()
	}
}

// visitor is a client's connection.
type visitor struct {
	net.Conn
	in *bufio.Reader
}

func (p *plant) dial(bytes *atomic.Int64) *visitor {
	raw, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	c := raw
	if bytes != nil {
		c = counted{raw, bytes}
	}
	return &visitor{c, bufio.NewReaderSize(c, 1024)}
}

func (p *plant) text(shard, body int) string {
	return fmt.Sprintf("PUT /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r%d\r\nX-Class: read\r\nX-Plan: gold\r\nX-Deadline-Ms: 2500\r\n"+
		"Content-Length: %d\r\nX-IO: volume=%016x,units=2,shard=%d,hosts=1\r\n\r\n%s", p.ids.Add(1), body, shard+1, shard, strings.Repeat("x", body))
}

func (p *plant) ask(v *visitor, shard, body int) error {
	if _, err := io.WriteString(v, p.text(shard, body)); err != nil {
		return err
	}
	a, err := http.ReadResponse(v.in, nil)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", a.StatusCode)
	}
	return nil
}

// several does something for each number under count, many at a time.
func several(count, workers int, do func(i int)) {
	var all sync.WaitGroup
	for w := range workers {
		all.Go(func() {
			for i := w; i < count; i += workers {
				do(i)
			}
		})
	}
	all.Wait()
}

// mb is the process's resident memory, cpu its processor time so far.
func (p *plant) mb() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(b))[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

func (p *plant) cpu() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// core is the part of a core in percent that the process takes while something is done.
func (p *plant) core(do func()) float64 {
	at, cpu := time.Now(), p.cpu()
	do()
	return 100 * float64(p.cpu()-cpu) / float64(time.Since(at))
}

// TestMeasureWeb measures `irispost web` as a process: processor time and memory by nodes, requests and connections, and bytes by bodies.
func TestMeasureWeb(t *testing.T) {
	s := begin(t)
	s.command = "IRISPOST_BIN=FILE " + s.command
	for _, nodes := range []int{200, 900, 1800} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			p := startPlant(t, nodes)
			time.Sleep(time.Second)
			s.add(capacity.Measured, "web_rest_core_by_nodes", "% of a core", "nodes", float64(nodes), p.core(func() { time.Sleep(5 * time.Second) }))
			s.add(capacity.Measured, "web_mb_by_nodes", "MB", "nodes", float64(nodes), p.mb())
		})
	}
	t.Run("requests", func(t *testing.T) { measureRequests(t, s) })
	if !t.Failed() && os.Getenv("IRISPOST_TRIAL") == "" {
		s.keep()
	}
}

// TestMeasureHalfRequests measures the memory of connections that each stop in the middle of a request, a process for each number.
func TestMeasureHalfRequests(t *testing.T) {
	s := begin(t)
	s.command = "IRISPOST_BIN=FILE " + s.command
	for _, count := range []int{1000, 2500, 5256} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			p := startPlant(t, 1800)
			conns := make([]*visitor, count)
			several(count, 64, func(i int) {
				conns[i] = p.dial(nil)
				text := p.text(i%p.nodes, 4096)
				if _, err := io.WriteString(conns[i], text[:len(text)-2048]); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(900 * time.Millisecond) // all are read by then; a first request has 2.5 s
			s.add(capacity.Measured, "web_mb_by_half_requests", "MB", "connections", float64(count), p.mb())
			for i, v := range conns[:50] { // and none was closed before
				_ = v.SetReadDeadline(time.Now().Add(time.Millisecond))
				if _, err := v.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatalf("connection %d: %v", i, err)
				}
			}
			for _, v := range conns {
				_ = v.Close()
			}
		})
	}
	if !t.Failed() && os.Getenv("IRISPOST_TRIAL") == "" {
		s.keep()
	}
}

// measureRequests has one gateway come by connections to nodes, then by connections of clients, and then take requests at three rates.
func measureRequests(t *testing.T, s *set) {
	p := startPlant(t, 1800)
	first := p.dial(nil)
	for at, to := 0, 0; to < p.nodes; {
		for to = map[int]int{0: 200, 200: 900, 900: 1800}[at]; at < to; at++ {
			if err := p.ask(first, at, 64); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(500 * time.Millisecond)
		s.add(capacity.Measured, "web_mb_by_node_connections", "MB", "connections", float64(to), p.mb())
	}
	var conns []*visitor
	var failed atomic.Int64
	for _, count := range []int{1000, 2500, 5256} {
		from := len(conns)
		conns = append(conns, make([]*visitor, count-from)...)
		several(count-from, 16, func(i int) {
			conns[from+i] = p.dial(nil)
			if err := p.ask(conns[from+i], i%p.nodes, 64); err != nil {
				failed.Add(1)
			}
		})
		time.Sleep(500 * time.Millisecond)
		s.add(capacity.Measured, "web_mb_by_connections", "MB", "connections", float64(count), p.mb())
	}
	const workers, span = 32, 8 * time.Second
	for _, rate := range []int{400, 800, 1269} {
		count := rate * int(span/time.Second)
		core := p.core(func() {
			began := time.Now()
			several(count, workers, func(i int) {
				time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				// one connection has one worker, so that its requests follow each other
				v := conns[i%workers+workers*(i/workers%(len(conns)/workers))]
				if err := p.ask(v, i*7919%p.nodes, 4096); err != nil && failed.Add(1) < 4 {
					t.Log(err)
				}
			})
		})
		s.add(capacity.Measured, "web_core_by_requests", "% of a core", "requests a second", float64(rate), core)
		s.add(capacity.Measured, "web_mb_by_requests", "MB", "requests a second", float64(rate), p.mb())
	}
	for _, body := range []int{1, 4096, 32768} {
		var bytes atomic.Int64
		v := p.dial(&bytes)
		nodeBytes := p.bytes.Load()
		for i := range 100 {
			if err := p.ask(v, i, body); err != nil {
				t.Fatal(err)
			}
		}
		s.add(capacity.Measured, "web_client_bytes_by_body", "bytes", "bytes of a body", float64(body), float64(bytes.Load())/100)
		s.add(capacity.Measured, "web_node_bytes_by_body", "bytes", "bytes of a body", float64(body), float64(p.bytes.Load()-nodeBytes)/100)
	}
	if n := failed.Load(); n > 0 {
		t.Errorf("%d requests were not served", n)
	}
}
