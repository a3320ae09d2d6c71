package capacity_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/backend/webnode"
	"irispost/internal/capacity"
	"irispost/internal/endpoint"
	"irispost/internal/endpoint/discovery"
	"irispost/internal/fleet/configversion"
	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/scheduler"
)

// desk is a list service: it holds a call until the list is another than the call knows.
type desk struct {
	net.Listener
	server *http.Server
	lock   sync.Mutex
	news   chan struct{}
	form   discovery.Response
	calls  []time.Time
	bytes  atomic.Int64
}

func openDesk(t *testing.T, nodes int) *desk {
	d := &desk{form: discovery.Response{Revision: 1, Full: true}, news: make(chan struct{})}
	for i := range nodes {
		d.form.Targets = append(d.form.Targets, target(i, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)))
	}
	d.open(t, "127.0.0.1:0")
	t.Cleanup(func() { _ = d.server.Close() })
	return d
}

func (d *desk) open(t *testing.T, addr string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	d.Listener = l
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(d) }()
}

// Accept counts what passes.
func (d *desk) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{c, &d.bytes}, nil
}

func (d *desk) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseInt(q.FormValue("from"), 10, 64)
	ms, _ := strconv.Atoi(q.FormValue("hold_ms"))
	d.lock.Lock()
	d.calls = append(d.calls, time.Now())
	rev, news := d.form.Revision, d.news
	d.lock.Unlock()
	if from == rev {
		select {
		case <-news:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
	d.lock.Lock()
	form := d.form
	d.lock.Unlock()
	if from > 0 {
		form.Full, form.Targets = false, form.Targets[:min(1, int(form.Revision-from))]
	}
	b, _ := json.Marshal(form)
	_, _ = w.Write(b) // a client that has gone asks again
}

// change has the list be another.
func (d *desk) change() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.form.Revision++
	close(d.news)
	d.news = make(chan struct{})
}

// TestMeasureList measures lists by nodes: their bytes, making and reading them.
func TestMeasureList(t *testing.T) {
	s := begin(t)
	for _, nodes := range []int{200, 900, 1800} {
		size := float64(nodes)
		d := openDesk(t, nodes)
		whole, _ := json.Marshal(d.form)
		s.add(capacity.Measured, "list_whole_bytes_by_nodes", "bytes", "nodes", size, float64(len(whole)))
		s.add(capacity.Measured, "list_make_ms_by_nodes", "ms", "nodes", size, each(50, func(int) { _, _ = json.Marshal(d.form) })/1e3)
		var table discovery.Table
		read := func(b []byte) {
			var f discovery.Response
			if err := json.Unmarshal(b, &f); err != nil {
				t.Fatal(err)
			}
			if _, err := table.Apply(&f, false); err != nil {
				t.Fatal(err)
			}
		}
		s.add(capacity.Measured, "list_whole_take_ms_by_nodes", "ms", "nodes", size, each(50, func(int) { read(whole) })/1e3)
		part, _ := json.Marshal(discovery.Response{Revision: 2, Targets: d.form.Targets[:1]})
		s.add(capacity.Measured, "list_take_us_by_nodes", "us", "nodes", size, each(300, func(int) { read(part) }))
		heard := make(chan endpoint.List)
		c, _, err := discovery.New(discovery.Options{Gateway: "g", Address: d.Addr().String(), LongPoll: 2 * time.Millisecond, Timeout: time.Minute, Log: quiet()})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx, func(l endpoint.List) {
			select {
			case heard <- l:
			case <-ctx.Done():
			}
		}, func(bool) {})
		c.Watch()
		<-heard
		<-heard
		const count = 200
		before := d.bytes.Load()
		for range count {
			<-heard
		}
		empty := float64(d.bytes.Load()-before) / count
		s.add(capacity.Measured, "list_call_bytes_by_nodes", "bytes", "nodes", size, empty)
		before = d.bytes.Load()
		seen := 0
		for range count {
			d.change()
			for l := <-heard; len(l.Nodes) == 0; l = <-heard {
				seen++
			}
		}
		s.add(capacity.Measured, "list_change_bytes_by_nodes", "bytes", "nodes", size, (float64(d.bytes.Load()-before)-float64(seen)*empty)/count)
		cancel()
		_ = d.server.Close()
	}
	s.keep()
}

// each is the time in microseconds that something takes.
func each(count int, do func(i int)) float64 {
	at := time.Now()
	for i := range count {
		do(i)
	}
	return float64(time.Since(at).Nanoseconds()) / float64(count) / 1e3
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// nowhere are nodes that nothing is sent to.
type nowhere struct{}

func (nowhere) Start(string, *node.Call, func(node.Reply)) node.Attempt { return nil }
func (nowhere) Retain(map[string]bool)                                  {}
func (nowhere) AbortQueued(func(string) bool)                           {}
func (nowhere) LateReplies() int64                                      { return 0 }

// TestMeasureListReturns has the list service be away for 4 s, and measures when the last gateway has its list again, and the calls of the first
// second. The list has 16 nodes: what a large one costs is in TestMeasureList.
func TestMeasureListReturns(t *testing.T) {
	s := begin(t)
	for _, gateways := range []int{100, 300, 780} {
		d := openDesk(t, 16)
		addr := d.Addr().String()
		var there atomic.Int64
		var back atomic.Pointer[string]
		all := make(chan struct{}, 1)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var loops []*gateway.Loop
		expect := func(rev string) { there.Store(0); back.Store(&rev) }
		expect("1")
		for i := range gateways {
			c, _, err := discovery.New(discovery.Options{Gateway: "g", Address: addr, LongPoll: 3 * time.Second, Timeout: time.Second, Log: quiet()})
			if err != nil {
				t.Fatal(err)
			}
			loop := gateway.Start(gateway.Options{Name: "g", Seed: uint64(i), QueueSize: 64, Clock: gateway.NewClock(), Nodes: nowhere{}, Watch: c.Watch, Log: quiet(),
				Settings: scheduler.Settings{"discovery": "ask", "units.mean": "1", "products.count": "1", "products.0.name": "r", "products.0.goal": "300"}})
			loops = append(loops, loop)
			last := ""
			running.Go(func() {
				c.Run(ctx, func(l endpoint.List) {
					loop.UpdateEndpoints(l)
					if want := *back.Load(); l.Version == want && last != want {
						if last = want; there.Add(1) == int64(gateways) {
							all <- struct{}{}
						}
					}
				}, loop.EndpointListFailed)
			})
		}
		<-all
		_ = d.server.Close()
		time.Sleep(4 * time.Second)
		expect("2")
		d.lock.Lock()
		d.form.Revision, d.calls = 2, nil
		d.lock.Unlock()
		at := time.Now()
		d.open(t, addr)
		<-all
		took := time.Since(at)
		time.Sleep(max(0, time.Second-took))
		d.lock.Lock()
		first := 0
		for _, call := range d.calls {
			if call.Sub(at) < time.Second {
				first++
			}
		}
		d.lock.Unlock()
		s.add(capacity.Measured, "list_return_ms_by_gateways", "ms", "gateways", float64(gateways), float64(took.Milliseconds()))
		s.add(capacity.Measured, "list_return_calls_by_gateways", "calls", "gateways", float64(gateways), float64(first))
		cancel()
		_ = d.server.Close()
		running.Wait()
		for _, loop := range loops {
			loop.Stop()
		}
	}
	s.keep()
}

// TestMeasureVersion measures the content of versions, with names, zones and ages, by nodes.
func TestMeasureVersion(t *testing.T) {
	s := begin(t)
	for _, nodes := range []int{200, 900, 1800} {
		size := float64(nodes)
		a, b := content(nodes, 10), content(nodes, 9)
		text := a.Canonical()
		s.add(capacity.Measured, "version_bytes_by_nodes", "bytes", "nodes", size, float64(len(text)))
		s.add(capacity.Measured, "version_make_ms_by_nodes", "ms", "nodes", size, each(30, func(int) { a.Digest() })/1e3)
		s.add(capacity.Measured, "version_read_ms_by_nodes", "ms", "nodes", size, each(30, func(int) {
			if _, err := configversion.Parse(text); err != nil {
				t.Fatal(err)
			}
		})/1e3)
		s.add(capacity.Measured, "version_compare_ms_by_nodes", "ms", "nodes", size, each(30, func(int) { configversion.Conflicts(a, b) })/1e3)
	}
	s.keep()
}

// TestMeasureVersionMemory measures what a version that was read holds, over fifty of them.
func TestMeasureVersionMemory(t *testing.T) {
	s := begin(t)
	for _, nodes := range []int{200, 900, 1800} {
		text := content(nodes, 10).Canonical()
		list := make([]*configversion.Config, 50)
		before := heap()
		for i := range list {
			list[i], _ = configversion.Parse(text)
		}
		s.add(capacity.Measured, "version_kb_by_nodes", "KB", "nodes", float64(nodes), (heap()-before)/float64(len(list)))
		for _, r := range list { // held until here
			if len(r.Nodes) != nodes || len(text) == 0 {
				t.Fatal("another version")
			}
		}
	}
	s.keep()
}

// content is a version's, with names, zones and ages.
func content(nodes int, limit float64) *configversion.Config {
	r := &configversion.Config{RequiredFormat: configversion.Format, Shards: nodes, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: limit}}, RequestClasses: map[string]configversion.RequestClass{},
		Dispatch: configversion.DispatchPolicy{MaxAttempts: 1}, Nodes: map[string]configversion.Node{}}
	for i := range nodes {
		r.Nodes[fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)] = configversion.Node{Name: fmt.Sprintf("store-%04d.zone%d.example.net", i, i%7), Zone: fmt.Sprint("zone", i%7), Shard: i,
			StartedAt: 1_700_000_000_000_000_000 + int64(i)*1_000_003, Weight: 1}
	}
	return r
}

// TestMeasureNodeConnections measures an execution over a new connection and over one that is kept: processor time of gateway and node together.
func TestMeasureNodeConnections(t *testing.T) {
	s := begin(t)
	for _, nodes := range []int{200, 900, 1800} {
		c := webnode.NewClient(webnode.Options{Host: "origin.svc", ConnectTimeout: time.Minute, IdleTimeout: time.Minute, MaxConnections: 4000, Bounds: http1.DefaultLimits, MaxLongBody: 1, LongBodyBudget: 1})
		var addrs []string
		for range nodes {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			addrs = append(addrs, l.Addr().String())
			go func() {
				for raw, err := l.Accept(); err == nil; raw, err = l.Accept() {
					go func() {
						for in := bufio.NewReader(raw); ; {
							if _, err := http.ReadRequest(in); err != nil {
								_ = raw.Close()
								return
							}
							_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
						}
					}()
				}
			}()
		}
		done := make(chan node.Reply, 1)
		pass := func() float64 {
			at := used(t)
			for i, addr := range addrs {
				c.Start(addr, &node.Call{Op: node.GetObject, Name: "/api", IdempotencyKey: strconv.Itoa(i), Timeout: time.Minute}, func(a node.Reply) { done <- a })
				if a := <-done; a.Outcome != node.Executed {
					t.Fatalf("%+v", a)
				}
			}
			return float64((used(t) - at).Nanoseconds()) / 1e3 / float64(nodes)
		}
		s.add(capacity.Measured, "node_open_us_by_nodes", "us", "nodes", float64(nodes), pass())
		pass()
		s.add(capacity.Measured, "node_reuse_us_by_nodes", "us", "nodes", float64(nodes), pass())
		c.Close()
	}
	s.keep()
}

// used is this process's processor time so far.
func used(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

var coldLine = regexp.MustCompile(`(\d+) gateways, ([^:]+): (\d+) calls in 4 s, at worst (-?[0-9.]+)`)

// TestMeasureCold takes what TestFleetStaysWithinTheBudgetOfAWarmingNode says of each fleet, with 780 gateways too: the worst of its cases, and the fewest calls.
func TestMeasureCold(t *testing.T) {
	s := begin(t)
	cmd := exec.Command("go", "test", "-count=1", "-v", "-run", "TestFleetStaysWithinTheBudgetOfAWarmingNode$", "irispost/scheduler")
	cmd.Env = append(os.Environ(), "IRISPOST_MEASURE=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	worst, least, order := map[string]float64{}, map[string]float64{}, []string{}
	for _, m := range coldLine.FindAllStringSubmatch(string(out), -1) {
		calls, _ := strconv.ParseFloat(m[3], 64)
		past, _ := strconv.ParseFloat(m[4], 64)
		if _, known := worst[m[1]]; !known {
			worst[m[1]], least[m[1]], order = past, calls, append(order, m[1])
		}
		worst[m[1]], least[m[1]] = max(worst[m[1]], past), min(least[m[1]], calls)
	}
	for _, name := range order {
		size, _ := strconv.ParseFloat(name, 64)
		s.add(capacity.Simulated, "cold_worst_by_gateways", "of the way from N calls to the bound", "gateways", size, worst[name])
		s.add(capacity.Simulated, "cold_calls_by_gateways", "calls in 4 s", "gateways", size, least[name])
	}
	s.keep()
}
