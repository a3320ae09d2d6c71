package webnode_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"irispost/internal/http1"
	"irispost/internal/node"
	"irispost/internal/webnode"
)

// storage is a stand-in storage node. What it does with a request is told by the request's id: the part before the first "-".
type storage struct {
	net.Listener
	lock  sync.Mutex
	open  map[net.Conn]bool // and whether a request is under way on it
	most  int               // connections open at a time
	seen  map[string]int    // whole requests by id
	wrong string
	hold  chan struct{} // closed to let those go on that are held
	held  chan string   // ids of those
}

func start(t testing.TB) *storage {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &storage{Listener: l, open: map[net.Conn]bool{}, seen: map[string]int{}, hold: make(chan struct{}), held: make(chan string, 1000)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.lock.Lock()
			s.open[c] = false
			s.most = max(s.most, len(s.open))
			s.lock.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *storage) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.lock.Lock()
		delete(s.open, c)
		s.lock.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
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
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id)+len(body), id, body)
		say := func(text string) { io.WriteString(c, text) }
		switch what {
		case "served":
			say(whole)
		case "late":
			s.held <- id
			<-s.hold
			say(whole)
		case "elsewhere":
			say(strings.Replace(whole, "Content", "X-Served-Elsewhere: 3\r\nX-Load: inflight=7,latency_ms=2\r\nContent", 1))
		case "oddreport":
			say(strings.Replace(whole, "Content", "X-Served-Elsewhere: many\r\nX-Load: ???\r\nX-Volume-Use: NaN\r\nContent", 1))
		case "hints":
			say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole)
		case "twice":
			say(whole + whole)
		case "error":
			say("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
		case "full":
			say("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case "over":
			say("HTTP/1.1 504 Over\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case "busy":
			say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		case "reset":
			return
		case "half":
			say("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nabc")
			return
		case "noise":
			say("\x00\x01\x02\x03\r\n\r\n")
			io.Copy(io.Discard, in) // the connection stays open
			return
		case "huge":
			say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 100_000))
			io.Copy(io.Discard, in)
			return
		case "long":
			long := strings.Repeat("l", 200_000)
			say(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long))
		case "close":
			say(strings.Replace(whole, "Content", "Connection: close\r\nContent", 1))
			return
		default:
			s.lock.Lock()
			s.wrong = "no such request: " + id
			s.lock.Unlock()
			return
		}
	}
}

// outcomes are what each kind comes to.
var outcomes = map[string]node.Outcome{"served": node.Served, "elsewhere": node.Served, "oddreport": node.Served, "hints": node.Served,
	"twice": node.Served, "close": node.Served, "error": node.Erred, "full": node.Full, "over": node.Moot, "busy": node.Erred, "reset": node.Reset,
	"half": node.Reset, "noise": node.Erred, "huge": node.Erred}

func client(t testing.TB, most int) *webnode.Client {
	c := webnode.NewClient(webnode.Options{Host: "origin.svc", Connect: 5 * time.Second, Idle: time.Minute, Most: most, Bounds: http1.DefaultBounds,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	t.Cleanup(c.Close)
	return c
}

func call(id string) *node.Call {
	return &node.Call{Op: node.Put, Name: "/api?extent=00", Mark: id, Left: time.Second, Data: []byte("+body")}
}

func TestOutcomes(t *testing.T) {
	s, c := start(t), client(t, 10)
	for round := range 2 {
		for what, outcome := range outcomes {
			id := fmt.Sprintf("%s-%d", what, round)
			done := make(chan node.Answer, 2)
			c.Start(s.Addr().String(), call(id), func(a node.Answer) { done <- a })
			a := <-done
			if a.Outcome != outcome {
				t.Errorf("%s: outcome %d, not %d: %s", id, a.Outcome, outcome, a.Text)
			}
			if outcome == node.Served && string(a.Data) != id+"+body" {
				t.Errorf("%s: body %q", id, a.Data)
			}
			if others := map[bool]float64{true: 3}[what == "elsewhere"]; a.Others != others {
				t.Errorf("%s: %v units elsewhere", id, a.Others)
			}
			s.lock.Lock()
			if s.seen[id] != 1 {
				t.Errorf("%s was sent %d times", id, s.seen[id])
			}
			s.lock.Unlock()
		}
	}
	s.Close()
	done := make(chan node.Answer, 2)
	client(t, 10).Start(s.Addr().String(), call("served-none"), func(a node.Answer) { done <- a })
	if a := <-done; a.Outcome != node.Unconnected {
		t.Errorf("a node that refuses: outcome %d", a.Outcome)
	}
}

// TestLongAnswers: past the bound, an answer of a stated length is taken while there is room for it, which comes back when it is out
// of memory.
func TestLongAnswers(t *testing.T) {
	s := start(t)
	c := webnode.NewClient(webnode.Options{Host: "origin.svc", Connect: 5 * time.Second, Idle: time.Minute, Most: 10, Bounds: http1.DefaultBounds,
		Long: 250_000, LongAll: 300_000, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	defer c.Close()
	ask := func(id string) node.Answer {
		done := make(chan node.Answer, 1)
		c.Start(s.Addr().String(), call(id), func(a node.Answer) { done <- a })
		return <-done
	}
	first := ask("long-1")
	if first.Outcome != node.Served || len(first.Data) != 200_000 {
		t.Fatalf("outcome %d, %d bytes", first.Outcome, len(first.Data))
	}
	if a := ask("long-2"); a.Outcome != node.Erred {
		t.Errorf("while there is no room: outcome %d", a.Outcome)
	}
	if a := ask("huge-1"); a.Outcome != node.Erred {
		t.Errorf("longer than may be: outcome %d", a.Outcome)
	}
	runtime.KeepAlive(first.Data)
	first = node.Answer{}
	for i := 3; ask(fmt.Sprint("long-", i)).Outcome != node.Served; i++ {
		runtime.GC()
	}
}

// TestCallOffEndsTheConnection: else the attempt would be out still while another is sent.
func TestCallOffEndsTheConnection(t *testing.T) {
	s, c := start(t), client(t, 10)
	sent := c.Start(s.Addr().String(), call("late-1"), func(a node.Answer) { t.Errorf("told of %+v after it was called off", a) })
	<-s.held
	sent.CallOff()
	if open, _ := c.Open(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
	close(s.hold)
	done := make(chan node.Answer, 1)
	c.Start(s.Addr().String(), call("served-2"), func(a node.Answer) { done <- a })
	if a := <-done; string(a.Data) != "served-2+body" {
		t.Errorf("%+v", a)
	}
}

// TestSocketsAreShared: what finds none free waits for one; idle ones to other nodes go.
func TestSocketsAreShared(t *testing.T) {
	a, b, c := start(t), start(t), client(t, 2)
	done := make(chan string, 10)
	ask := func(s *storage, id string) {
		c.Start(s.Addr().String(), call(id), func(a node.Answer) { done <- fmt.Sprint(id, " ", a.Outcome) })
	}
	ask(a, "late-1")
	ask(a, "late-2")
	<-a.held
	<-a.held
	ask(b, "served-3")
	if open, _ := c.Open(); open != 2 {
		t.Fatalf("%d connections are open", open)
	}
	close(a.hold)
	got := map[string]bool{<-done: true, <-done: true, <-done: true}
	for _, id := range []string{"late-1", "late-2", "served-3"} {
		if !got[fmt.Sprint(id, " ", node.Served)] {
			t.Errorf("%s is not served: %v", id, got)
		}
	}
	if open, _ := c.Open(); open > 2 {
		t.Errorf("%d connections are open", open)
	}
}

// TestAnyMix has random executions, some called off: each has one outcome, the right one, and is sent once at most; no connection
// carries two at a time, and there are never more than may be.
func TestAnyMix(t *testing.T) {
	kinds := []string{"served", "elsewhere", "oddreport", "hints", "twice", "close", "error", "full", "over", "reset", "half", "noise", "huge", "late"}
	sameSeeds(t)
	rapid.Check(t, func(r *rapid.T) {
		s := start(t)
		c := client(t, rapid.IntRange(1, 4).Draw(r, "most"))
		type one struct {
			id    string
			sent  node.Sending
			done  chan node.Answer
			ended bool
		}
		var all []*one
		for i := range rapid.IntRange(1, 25).Draw(r, "count") {
			o := &one{id: fmt.Sprintf("%s-%d", rapid.SampledFrom(kinds).Draw(r, "kind"), i), done: make(chan node.Answer, 2)}
			o.sent = c.Start(s.Addr().String(), call(o.id), func(a node.Answer) { o.done <- a })
			all = append(all, o)
			if rapid.IntRange(0, 3).Draw(r, "off") == 0 {
				off := all[rapid.IntRange(0, len(all)-1).Draw(r, "which")]
				off.sent.CallOff()
				off.ended = true
			}
		}
		close(s.hold)
		for _, o := range all {
			if o.ended {
				continue
			}
			what, _, _ := strings.Cut(o.id, "-")
			expected := outcomes[what]
			if what == "late" {
				expected = node.Served
			}
			if a := <-o.done; a.Outcome != expected || expected == node.Served && string(a.Data) != o.id+"+body" {
				r.Fatalf("%s: %+v", o.id, a)
			}
		}
		s.lock.Lock()
		defer s.lock.Unlock()
		for _, o := range all {
			if len(o.done) > 0 && !o.ended || s.seen[o.id] > 1 {
				r.Fatalf("%s: sent %d times, %d outcomes more", o.id, s.seen[o.id], len(o.done))
			}
		}
		if s.wrong != "" {
			r.Fatal(s.wrong)
		}
	})
}

// sameSeeds has the checks draw the same each time.
func sameSeeds(t *testing.T) {
	flag.Set("rapid.nofailfile", "true")
	if err := flag.Set("rapid.seed", "7"); err != nil {
		t.Fatal(err)
	}
}
