package webnode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"irispost/internal/http1"
	"irispost/internal/node"
	"irispost/internal/testkit"
	"irispost/internal/webnode"
)

func whole(extra string) string {
	return "HTTP/1.1 200 OK\r\n" + extra + "Content-Length: LEN\r\n\r\nBODY"
}

const (
	keep = iota // goes on with the next request
	stay        // takes what comes, and says nothing any more
	end         // closes
)

// kinds are what a stand-in node does with a request, by the first part of its id, and what the attempt comes to.
var kinds = map[string]struct {
	say     string
	then    int
	outcome node.Outcome
}{
	"served": {whole(""), keep, node.Served}, "held": {whole(""), keep, node.Served}, "close": {whole("Connection: close\r\n"), end, node.Served},
	"elsewhere": {whole("X-Served-Elsewhere: 3\r\nX-Load: inflight=7,latency_ms=2\r\n"), keep, node.Served},
	"oddreport": {whole("X-Served-Elsewhere: many\r\nX-Load: ???\r\nX-Volume-Use: NaN\r\n"), keep, node.Served},
	"hints":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + whole(""), keep, node.Served},
	"twice":     {whole("") + whole(""), keep, node.Served}, "error": {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", keep, node.Erred},
	"full": {"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", keep, node.Full},
	"over": {"HTTP/1.1 504 Over\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", keep, node.Moot},
	"busy": {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", keep, node.Erred}, "reset": {"", end, node.Reset},
	"half": {"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nabc", end, node.Reset}, "noise": {"\x00\x01\x02\x03\r\n\r\n", stay, node.Erred},
	"huge": {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx", stay, node.Erred},
	"long": {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("l", 200_000), keep, node.Served},
}

// storage is a stand-in storage node.
type storage struct {
	net.Listener
	lock sync.Mutex
	seen map[string]int // whole requests by id
	hold chan struct{}  // closed to let those go on that are held
	held chan string    // ids of those
	gone chan bool      // a connection has ended
}

func start(t testing.TB) *storage {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &storage{Listener: l, seen: map[string]int{}, hold: make(chan struct{}), held: make(chan string, 1000), gone: make(chan bool, 1000)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go s.serve(c)
		}
	}()
	return s
}

func (s *storage) serve(c net.Conn) {
	defer func() { c.Close(); s.gone <- true }()
	for in := bufio.NewReader(c); ; {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Request-Id")
		s.lock.Lock()
		s.seen[id]++
		s.lock.Unlock()
		what, _, _ := strings.Cut(id, "-")
		if what == "held" {
			s.held <- id
			<-s.hold
		}
		text := id + string(body)
		io.WriteString(c, strings.NewReplacer("LEN", strconv.Itoa(len(text)), "BODY", text).Replace(kinds[what].say))
		switch kinds[what].then {
		case stay:
			io.Copy(io.Discard, in)
			return
		case end:
			return
		}
	}
}

// client is one with so many sockets; change its options before it starts.
func client(t testing.TB, most int, change func(*webnode.Options)) *webnode.Client {
	opt := webnode.Options{Host: "origin.svc", Connect: time.Minute, Idle: time.Minute, Most: most, Bounds: http1.DefaultBounds,
		Long: 250_000, LongAll: 300_000}
	if change != nil {
		change(&opt)
	}
	c := webnode.NewClient(opt)
	t.Cleanup(c.Close)
	return c
}

func ask(c *webnode.Client, s *storage, id string) (node.Sending, chan node.Answer) {
	done := make(chan node.Answer, 2)
	call := &node.Call{Op: node.Put, Name: "/api?extent=00", Mark: id, Left: time.Second, Data: []byte("+body")}
	return c.Start(s.Addr().String(), call, func(a node.Answer) { done <- a }), done
}

// TestAnyMix has random executions, some called off, over few sockets: each has one outcome, the right one, and is sent once at most, and
// there are never more connections than may be.
func TestAnyMix(t *testing.T) {
	testkit.SameSeeds(t)
	var names []string
	for _, name := range []string{"served", "held", "close", "elsewhere", "oddreport", "hints", "twice", "error", "full", "over", "busy", "reset", "half",
		"noise", "huge"} {
		names = append(names, name)
	}
	rapid.Check(t, func(r *rapid.T) {
		s, most := start(t), rapid.IntRange(1, 4).Draw(r, "most")
		c := client(t, most, nil)
		type one struct {
			what, id string
			sent     node.Sending
			done     chan node.Answer
			off      bool
		}
		var all []*one
		for i := range rapid.IntRange(1, 25).Draw(r, "count") {
			o := &one{what: rapid.SampledFrom(names).Draw(r, "kind")}
			o.id = fmt.Sprint(o.what, "-", i)
			o.sent, o.done = ask(c, s, o.id)
			all = append(all, o)
			if rapid.IntRange(0, 3).Draw(r, "off") == 0 {
				off := all[rapid.IntRange(0, len(all)-1).Draw(r, "which")]
				off.sent.CallOff()
				off.off = true
			}
			if open, _ := c.Open(); open > most {
				r.Fatalf("%d connections are open", open)
			}
		}
		close(s.hold)
		for _, o := range all {
			if o.off {
				continue
			}
			a, others := <-o.done, map[bool]float64{true: 3}[o.what == "elsewhere"]
			if k := kinds[o.what]; a.Outcome != k.outcome || k.outcome == node.Served && (string(a.Data) != o.id+"+body" || a.Others != others) {
				r.Fatalf("%s: %+v", o.id, a)
			}
		}
		s.lock.Lock()
		defer s.lock.Unlock()
		for _, o := range all {
			if len(o.done) > 0 && !o.off || s.seen[o.id] > 1 {
				r.Fatalf("%s: sent %d times, %d outcomes more", o.id, s.seen[o.id], len(o.done))
			}
		}
	})
}

// TestCallOffEndsTheConnection: else the attempt would be out still while another is sent.
func TestCallOffEndsTheConnection(t *testing.T) {
	s, c := start(t), client(t, 10, nil)
	sent, done := ask(c, s, "held-1")
	<-s.held
	sent.CallOff()
	close(s.hold)
	<-s.gone
	if open, _ := c.Open(); open != 0 || len(done) != 0 {
		t.Errorf("%d connections are open, %d answers", open, len(done))
	}
}

// TestLimits: a socket that does not come free, a node that refuses, a connection that nobody uses.
func TestLimits(t *testing.T) {
	s := start(t)
	c := client(t, 1, func(o *webnode.Options) { o.Connect = 40 * time.Millisecond })
	_, first := ask(c, s, "held-1")
	<-s.held
	if _, done := ask(c, s, "served-2"); (<-done).Outcome != node.Unconnected {
		t.Error("no socket came free, and the outcome is another")
	}
	close(s.hold)
	<-first
	idle := client(t, 1, func(o *webnode.Options) { o.Idle = 20 * time.Millisecond })
	_, done := ask(idle, s, "served-3")
	<-done
	<-s.gone // it is closed though the node keeps it
	s.Close()
	if _, done := ask(idle, s, "served-4"); (<-done).Outcome != node.Unconnected {
		t.Error("a node that refuses, and the outcome is another")
	}
}

// TestLongAnswers: past the bound, an answer of a stated length is taken while there is room for it, which comes back when it is out
// of memory.
func TestLongAnswers(t *testing.T) {
	s, c := start(t), client(t, 10, nil)
	get := func(id string) node.Answer { _, done := ask(c, s, id); return <-done }
	first := get("long-1")
	if first.Outcome != node.Served || len(first.Data) != 200_000 {
		t.Fatalf("outcome %d, %d bytes", first.Outcome, len(first.Data))
	}
	if a := get("long-2"); a.Outcome != node.Erred {
		t.Errorf("while there is no room: outcome %d", a.Outcome)
	}
	runtime.KeepAlive(first.Data)
	first = node.Answer{}
	for i := 3; get(fmt.Sprint("long-", i)).Outcome != node.Served; i++ {
		runtime.GC()
	}
}
