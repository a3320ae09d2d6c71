package web_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"irispost/internal/backend/node"
	"irispost/internal/endpoint"
	"irispost/internal/frontend/web"
	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/internal/platform"
	"irispost/internal/testkit"
)

const settings = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
	"settings":{"contracts":[{"name":"gold","proportion":1.0,"base_rate":1000.0,"floor_rate":1000.0}],"domain":{"unit_mean":2.0,"largest":8},
	"lanes":[{"name":"read","effect":"read_like","target_ms":60000.0,"hard_limit_ms":120000.0}],
	"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,"max_retry_after_ms":1000.0,"dial_timeout_ms":250.0,
	"idle_close_ms":30000.0}}}`

// nodes hold what is sent, or answer it at once.
type nodes struct {
	lock sync.Mutex
	hold bool
	out  map[string]*sent
	seen map[string]int
	more chan string // ids of what is held
}

type sent struct {
	nodes *nodes
	id    string
	call  node.Call
	done  func(node.Reply)
	off   chan struct{}
}

func (n *nodes) Start(_ string, c *node.Call, done func(node.Reply)) node.Attempt {
	s := &sent{n, c.IdempotencyKey, *c, done, make(chan struct{})}
	n.lock.Lock()
	n.seen[s.id]++
	hold := n.hold
	if hold {
		n.out[s.id] = s
	}
	n.lock.Unlock()
	if hold {
		n.more <- s.id
	} else {
		go s.serve()
	}
	return s
}

func (s *sent) serve() {
	s.done(node.Reply{Outcome: node.Executed, Data: []byte(s.id + " " + s.call.Name + " " + string(s.call.Data))})
}
func (s *sent) Cancel()                        { close(s.off) }
func (n *nodes) Retain(map[string]bool)        {}
func (n *nodes) AbortQueued(func(string) bool) {}
func (n *nodes) LateReplies() int64            { return 0 }

type town struct {
	*web.Server
	nodes *nodes
	loop  *gateway.Loop
}

func limits() web.Limits {
	return web.Limits{MaxConnections: 100, CrowdedConnections: 100, MaxBodyBytes: 1 << 20, FirstRequestTimeout: time.Minute, RequestTimeout: time.Minute, IdleTimeout: time.Minute, CrowdedIdleTimeout: time.Minute,
		WriteTimeout: time.Minute, Message: http1.DefaultLimits}
}

func start(t testing.TB, l web.Limits) *town {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startOn(t, on, l)
}

func startOn(t testing.TB, on net.Listener, l web.Limits) *town {
	c, err := platform.Parse([]byte(settings), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n := &nodes{out: map[string]*sent{}, seen: map[string]int{}, more: make(chan string, 1000)}
	loop := gateway.Start(gateway.Options{Name: "n1", Seed: 1, Settings: c.Settings, QueueSize: 64, Clock: gateway.NewClock(), Nodes: n, Log: log,
		CachedList: &endpoint.List{Nodes: []endpoint.Node{{Addr: "a:1", Zone: "z", Shard: 0}}}})
	f := web.StartOn(on, web.Options{GatewayName: "n1", Loop: loop, Settings: c.Settings, Limits: l, Logger: log})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		f.Shutdown(ctx, 0, 0)
		loop.Stop()
	})
	return &town{f, n, loop}
}

type client struct {
	net.Conn
	in *bufio.Reader
	t  testing.TB
}

func (w *town) dial(t testing.TB) *client {
	c, err := net.Dial("tcp", w.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c), t}
}

func ask(id string) string {
	return "PUT /api?extent=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id + "\r\nX-Class: read\r\nX-Plan: gold\r\n" +
		"X-Deadline-Ms: 120000\r\nContent-Length: 4\r\nX-IO: volume=00000003b4d60021,units=2,shard=0,hosts=3\r\n\r\nbody"
}

func (c *client) send(text string) { io.WriteString(c, text) }

// read reads an answer; its status is 0 when the connection ended.
func (c *client) read() (status int, head http.Header, body string) {
	a, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, nil, ""
	}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil, ""
	}
	return a.StatusCode, a.Header, string(b)
}

func (c *client) expect(status int, what string) {
	c.t.Helper()
	if got, _, body := c.read(); got != status {
		c.t.Errorf("%s: status %d, not %d (%q)", what, got, status, body)
	}
}

const served = " /api?extent=7f3a9c21e0b4d655 body"

// play carries out a script: steps parted by ";", each of words. "NAME ask ID", "NAME send BYTES ID" (the first so many bytes of a request, or
// all but so many), "NAME chunks ID", "NAME close"; "NAME STATUS" reads an answer, 0 for the connection's end, and 200 has to be the
// client's own; "hold" and "free" have the node hold what comes or serve it at once; "held", "serve ID" and "off ID" wait for one that is held, serve
// it, and wait until it is called off, "flood ID" serves it at length; "conns N" waits until so many are open at most, "rests N" until so many
// are idle.
func play(t *testing.T, w *town, script string) {
	t.Helper()
	clients, ids := map[string]*client{}, map[string][]string{}
	for step := range strings.SplitSeq(script, ";") {
		words := append(strings.Fields(step), "", "", "")
		name, verb := words[0], words[1]
		switch name {
		case "hold", "free":
			w.nodes.lock.Lock()
			w.nodes.hold = name == "hold"
			w.nodes.lock.Unlock()
			continue
		case "held":
			<-w.nodes.more
			continue
		case "serve":
			w.nodes.out[verb].serve()
			continue
		case "flood": // a long answer, of which the client reads nothing
			w.nodes.out[verb].done(node.Reply{Outcome: node.Executed, Data: make([]byte, 64<<20)})
			continue
		case "off":
			<-w.nodes.out[verb].off
			continue
		case "rests":
			for n, _ := strconv.Atoi(verb); web.Idle(w.Server) < n; time.Sleep(time.Millisecond) {
			}
			continue
		case "conns":
			for n, _ := strconv.Atoi(verb); ; time.Sleep(time.Millisecond) {
				if conns, requests := w.Counts(); conns <= n && (requests == 0 || n > 0) {
					break
				}
			}
			continue
		}
		c := clients[name]
		if c == nil {
			c = w.dial(t)
			clients[name] = c
		}
		switch verb {
		case "ask", "chunks":
			ids[name] = append(ids[name], words[2])
			text := ask(words[2])
			if verb == "chunks" {
				text = strings.Replace(strings.TrimSuffix(text, "body"), "Content-Length: 4", "Transfer-Encoding: chunked", 1) +
					"1\r\nb\r\n3\r\nody\r\n0\r\n\r\n"
			}
			c.send(text)
		case "send":
			n, _ := strconv.Atoi(words[2])
			text := ask(words[3])
			c.send(text[:(n+len(text))%len(text)])
		case "last":
			ids[name] = append(ids[name], words[2])
			c.send(strings.Replace(ask(words[2]), "Host", "Connection: close\r\nHost", 1))
		case "health":
			c.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
			ids[name] = append(ids[name], "")
		case "dial":
		case "close":
			c.Close()
		case "reset":
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
		case "noise":
			n, _ := strconv.Atoi(words[2])
			c.send(strings.Repeat("n", n))
		default:
			status, _, body := c.read()
			if fmt.Sprint(status) != verb {
				t.Fatalf("%s: status %d, not %s (%q)", step, status, verb, body)
			}
			if status == 200 {
				if id := ids[name][0]; body != id+served && (id != "" || body != "ok\n") {
					t.Fatalf("%s: %q", step, body)
				}
				ids[name] = ids[name][1:]
			}
		}
	}
}

func TestScripts(t *testing.T) {
	short := func(l *web.Limits) {
		l.FirstRequestTimeout, l.RequestTimeout, l.IdleTimeout = 30*time.Millisecond, 30*time.Millisecond, 30*time.Millisecond
	}
	for name, c := range map[string]struct {
		limits func(*web.Limits)
		script string
	}{
		"requests in turn":                 {nil, "a health; a 200; a ask 1; a 200; a ask p; a ask q; a ask r; a 200; a 200; a 200; a chunks s; a 200; a last z; a 200; a 0"},
		"an id that is open":               {nil, "hold; a ask x; held; b ask x; b 409; serve x; a 200; free; c ask x; c 200"},
		"a client that leaves":             {nil, "hold; a ask x; held; a close; off x; conns 0"},
		"one that leaves with bytes ahead": {nil, "hold; a ask x; a noise 100; held; a close; off x; conns 0"},
		"one that leaves with much ahead":  {nil, "hold; a ask x; a noise 400000; held; a close; off x; conns 0"},
		"one that resets with bytes ahead": {nil, "hold; a ask x; a ask y; held; a reset; off x; conns 0"},
		"whole requests ahead":             {nil, "hold; a ask x; held; free; a chunks y; a ask z; serve x; a 200; a 200; a 200"},
		"nothing is said":                  {short, "a dial; a 0"},
		"half a head":                      {short, "a send 40 x; a 408"},
		"half a body":                      {short, "a send -2 x; a 408; b ask y; b 200; b send 40 z; b 408"},
		"idle for too long":                {short, "a ask x; a 200; a 0"},
		"no connection free": {func(l *web.Limits) { l.MaxConnections, l.CrowdedIdleTimeout = 3, 0 },
			"hold; a ask a; held; b ask b; held; s dial; c ask c; s 0; held; d dial; d 503; serve a; a 200; serve b; b 200; serve c; c 200"},
		"a crowd": {func(l *web.Limits) { l.CrowdedConnections, l.CrowdedIdleTimeout = 2, 200*time.Millisecond },
			"a ask 1; a 200; rests 1; b ask 2; b 200; rests 2; c ask 3; c 200; hold; d ask d; held; conns 2; a 0; b 0; serve d; d 200"},
		"no bytes free":               {func(l *web.Limits) { l.MaxBodyBytes = 6 }, "hold; a ask a; held; b ask b; b 503; serve a; a 200"},
		"an answer that is not taken": {func(l *web.Limits) { l.WriteTimeout = 30 * time.Millisecond }, "hold; a ask a; held; flood a; conns 0"},
	} {
		t.Run(name, func(t *testing.T) {
			l := limits()
			if c.limits != nil {
				c.limits(&l)
			}
			play(t, start(t, l), c.script)
		})
	}
}

func TestRequestsThatCannotBe(t *testing.T) {
	w := start(t, limits())
	for name, change := range map[string][3]string{
		"no id":             {"X-Request-Id: r\r\n", "", "400"},
		"two ids":           {"X-Request-Id: r\r\n", "X-Request-Id: r\r\nX-Request-Id: s\r\n", "400"},
		"an id with spaces": {"X-Request-Id: r", "X-Request-Id: r s", "400"},
		"unknown class":     {"X-Class: read", "X-Class: gold", "400"},
		"unknown plan":      {"X-Plan: gold", "X-Plan: read", "400"},
		"no deadline":       {"X-Deadline-Ms: 120000", "X-Deadline-Ms: soon", "400"},
		"negative deadline": {"X-Deadline-Ms: 120000", "X-Deadline-Ms: -5", "400"},
		"zero deadline":     {"X-Deadline-Ms: 120000", "X-Deadline-Ms: 0", "400"},
		"huge deadline":     {"X-Deadline-Ms: 120000", "X-Deadline-Ms: 99999999999999", "400"},
		"no extent":         {"?extent=7f3a9c21e0b4d655", "", "400"},
		"odd extent":        {"extent=7f3a9c21e0b4d655", "extent=7f3a", "400"},
		"no volume":         {"volume=00000003b4d60021,", "", "400"},
		"no units":          {"units=2", "units=NaN", "400"},
		"too many units":    {"units=2", "units=9", "400"},
		"negative units":    {"units=2", "units=-2", "400"},
		"odd shard":         {"shard=0", "shard=-2", "400"},
		"no hosts":          {"hosts=3", "hosts=0", "400"},
		"another method":    {"PUT /", "POST /", "405"},
		"a read with bytes": {"PUT /", "GET /", "400"},
		"two framings":      {"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked", "400"},
		"60 MB":             {"Content-Length: 4", "Content-Length: 60000000", "413"},
	} {
		c := w.dial(t)
		c.send(strings.Replace(ask("r"), change[0], change[1], 1))
		status, _, _ := c.read()
		if fmt.Sprint(status) != change[2] {
			t.Errorf("%s: status %d, not %s", name, status, change[2])
		}
		c.expect(0, name+": the end")
	}
	if w.nodes.hold = true; len(w.nodes.more) > 0 {
		t.Errorf("%d were passed on", len(w.nodes.more))
	}
}

// Guard: the key by which a node knows a repeat goes on with the request, and so does what else is not between the client and the gateway alone.
func TestFieldsPassOn(t *testing.T) {
	w := start(t, limits())
	w.nodes.hold = true
	c := w.dial(t)
	c.send(strings.Replace(ask("x"), "Host: origin.svc\r\n", "Host: origin.svc\r\nIdempotency-Key: \tk=1; a \r\nX-Other: b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: a\r\n", 1))
	<-w.nodes.more
	want := "[idempotency-key k=1; a x-other b x-class read x-plan gold x-io volume=00000003b4d60021,units=2,shard=0,hosts=3]"
	if got := fmt.Sprint(w.nodes.out["x"].call.Headers); got != want {
		t.Errorf("%s", got)
	}
}

// TestEnd: after the word to end, open connections are served on; then each closes with its answer, and what has none is written off.
func TestEnd(t *testing.T) {
	w := start(t, limits())
	c, late, never, waits, half := w.dial(t), w.dial(t), w.dial(t), w.dial(t), w.dial(t)
	c.send(ask("1"))
	c.expect(200, "before")
	for conns := 0; conns < 5; conns, _ = w.Counts() { // all are taken
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { w.Shutdown(ctx, 0, time.Hour); close(stopped) }()
	for { // until none are taken
		conn, err := net.Dial("tcp", w.Addr())
		if err != nil {
			break
		}
		conn.Close()
	}
	c.send(ask("2"))
	c.expect(200, "while it ends")
	w.nodes.lock.Lock()
	w.nodes.hold = true
	w.nodes.lock.Unlock()
	late.send(ask("late"))
	<-w.nodes.more
	waits.send(strings.Replace(ask("waits"), "shard=0", "shard=7", 1)) // no node has that shard
	for requests := 0; requests < 2; {
		_, requests = w.Counts()
	}
	never.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
	never.expect(503, "health while it ends")
	half.send(ask("half")[:len(ask("half"))-1])
	for !web.Reading(w.Server) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	half.expect(408, "what has not come in whole")
	if err := half.end(); err != io.EOF {
		t.Errorf("its connection ends with %v", err)
	}
	late.expect(502, "what is out at the end")
	late.expect(0, "its connection")
	waits.expect(503, "what was never sent on")
	c.expect(0, "an idle connection")
	<-stopped
	if conns, requests := w.Counts(); conns != 0 || requests != 0 {
		t.Errorf("%d connections and %d requests are left", conns, requests)
	}
}

// TestAnyClients has random clients, some bad: the good ones are served what is theirs, and nothing is held in the end.
func TestAnyClients(t *testing.T) {
	w := start(t, limits())
	count := 0
	testkit.FixSeeds(t)
	rapid.Check(t, func(r *rapid.T) {
		var wait sync.WaitGroup
		for range rapid.IntRange(1, 8).Draw(r, "clients") {
			count++
			id := fmt.Sprint("x", count)
			kind := rapid.IntRange(0, 4).Draw(r, "kind")
			cut := rapid.IntRange(0, len(ask(id))-1).Draw(r, "cut")
			noise := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(r, "noise")
			c := w.dial(t)
			wait.Go(func() {
				defer c.Close()
				switch kind {
				case 0: // in two pieces
					c.send(ask(id)[:cut])
					c.send(ask(id)[cut:])
					if status, _, body := c.read(); (status != 200 || body != id+served) && status != 503 { // where many leave, some are dismissed
						t.Errorf("%s: %d %q", id, status, body)
					}
				case 1: // half of it
					c.send(ask(id)[:cut])
				case 2: // noise, then an end
					c.Write(append(noise, "\r\n\r\n"...))
					if status, _, _ := c.read(); status == 200 {
						t.Errorf("noise %q is served", noise)
					}
				case 3: // goes at once
					c.send(ask(id))
				default: // a good one, with noise behind it
					c.Write(append([]byte(ask(id)), "\x00\r\n\r\n"...))
					if status, _, body := c.read(); (status != 200 || body != id+served) && status != 503 {
						t.Errorf("%s: %d %q", id, status, body)
					}
					if status, _, _ := c.read(); status != 400 {
						t.Errorf("noise behind a request: %d", status)
					}
				}
			})
		}
		wait.Wait()
	})
	for {
		if conns, requests := w.Counts(); conns == 0 && requests == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
}

// Guard: a connection whose request has come in and is not read yet is not ended for room, which would leave it without an answer.
func TestRoomIsNotMadeOverARequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var ours, theirs []net.Conn
	for range 2 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		ours, theirs = append(ours, s), append(theirs, c)
		defer c.Close()
		defer s.Close()
	}
	io.WriteString(theirs[0], "PUT")
	for !web.Says(ours[0]) {
		time.Sleep(time.Millisecond)
	}
	if got := web.Spared(ours...); got != 1 {
		t.Errorf("the connection that goes is %d", got)
	}
	io.WriteString(theirs[1], "PUT") // ours has ended, so that only the first is there
	if got := web.Spared(ours[0]); got != -1 {
		t.Errorf("the connection that goes is %d, where all have something to say", got)
	}
}
