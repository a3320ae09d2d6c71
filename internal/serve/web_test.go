package serve_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"irispost/internal/endpoint/discovery"
	"irispost/internal/platform"
	"irispost/internal/serve"
	"irispost/internal/webstandin"
)

// lists is a stand-in for discovery: a watch answers when there is something newer.
type lists struct {
	*httptest.Server
	lock  sync.Mutex
	cond  sync.Cond
	form  discovery.Response
	asked int
}

func startLists(t *testing.T, form discovery.Response) *lists {
	l := &lists{form: form}
	l.cond.L = &l.lock
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		l.lock.Lock()
		defer l.lock.Unlock()
		l.asked++
		l.cond.Broadcast()
		for q.FormValue("from") == fmt.Sprint(l.form.Revision) && q.Context().Err() == nil {
			l.cond.Wait()
		}
		json.NewEncoder(w).Encode(l.form)
	}))
	t.Cleanup(func() { l.say(func(f *discovery.Response) {}); l.CloseClientConnections(); l.Close() })
	return l
}

func (l *lists) say(change func(*discovery.Response)) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.form.Revision++
	change(&l.form)
	l.cond.Broadcast()
}

// until waits for a state of things; the test's own end is the limit.
func until(what func() bool) {
	for !what() {
		time.Sleep(time.Millisecond)
	}
}

// TestWebGateway runs a whole gateway over stand-ins. What it believes is out, open and held is compared with what its nodes see on
// their sockets, under load and after; then the list's service moves, a node is taken away, and the gateway ends.
func TestWebGateway(t *testing.T) {
	stores := []*webstandin.Node{webstandin.Start(t), webstandin.Start(t), webstandin.Start(t)}
	form := discovery.Response{Revision: 1, Full: true}
	for i, s := range stores {
		form.Targets = append(form.Targets, discovery.Target{UID: fmt.Sprint("s", i), Endpoint: s.Listener.Addr().String(), Shard: i, State: "ready"})
	}
	list, other := startLists(t, form), startLists(t, form)
	conf, err := platform.Parse([]byte(fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"discovery":"ask","contract":{"ask_every_ms":40000.0},"contracts":[{"name":"gold","proportion":1.0,"base_rate":1000.0,"floor_rate":1000.0}],
		"domain":{"unit_mean":2.0,"largest":8},"lanes":[{"name":"read","effect":"read_like","target_ms":60000.0,"hard_limit_ms":120000.0}],
		"permissions":{"attempts_cap":3,"second_copies":true,"cancelling":true,"retry_after":true,"max_retry_after_ms":1000.0,"dial_timeout_ms":5000.0,
		"idle_close_ms":60000.0}}}`, list.Listener.Addr().String())), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	g, err := serve.StartWebGateway(conf, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	count := 0
	ask := func(kind string, shard int) (id string, done chan string) {
		count++
		id, done = fmt.Sprintf("%s-%d", kind, count), make(chan string, 1)
		q, _ := http.NewRequest("PUT", "http://"+g.Frontend.Addr()+"/api?extent=7f3a9c21e0b4d655", bytes.NewReader([]byte("body")))
		for name, v := range map[string]string{"X-Request-Id": id, "X-Class": "read", "X-Plan": "gold", "X-Deadline-Ms": "120000",
			"X-IO": fmt.Sprintf("volume=00000003b4d60021,units=2,shard=%d,hosts=1", shard)} {
			q.Header.Set(name, v)
		}
		go func() {
			a, err := client.Do(q)
			if err != nil {
				done <- err.Error()
				return
			}
			b, _ := io.ReadAll(a.Body)
			a.Body.Close()
			done <- fmt.Sprint(a.StatusCode, " ", string(b))
		}()
		return id, done
	}
	until(func() bool { list.lock.Lock(); defer list.lock.Unlock(); return list.asked >= 2 }) // the first list is told
	waits := map[string]chan string{}
	for i := range 6 {
		id, done := ask("held", i%3)
		waits[id] = done
	}
	agree := func() bool {
		f, ok := g.Loop.Stats()
		open, idle := g.Nodes.ConnectionCounts()
		sum, conns := 0, 0
		for _, s := range stores {
			held, c := s.Counts()
			sum, conns = sum+held, conns+c
			if f.AttemptsByNode[s.Listener.Addr().String()] != held {
				return false
			}
		}
		_, requests := g.Frontend.Counts()
		return ok && f.Attempts == sum && open-idle == sum && open == conns && f.InFlight == requests
	}
	until(func() bool { held, _ := stores[0].Counts(); return held > 0 && agree() })
	for _, s := range stores {
		close(s.Release)
	}
	for id, done := range waits {
		if got := <-done; got != "200 "+id+"body" {
			t.Errorf("%s: %q", id, got)
		}
	}
	until(func() bool { f, _ := g.Loop.Stats(); return f.Attempts == 0 && f.InFlight == 0 && agree() })
	for _, s := range stores {
		for id, n := range s.Seen {
			if n != 1 {
				t.Errorf("%s was sent %d times", id, n)
			}
		}
	}

	moved := *conf
	moved.Discovery = other.Listener.Addr().String()
	g.Reload(&moved)
	until(func() bool { other.lock.Lock(); defer other.lock.Unlock(); return other.asked >= 1 })
	other.say(func(f *discovery.Response) { f.Targets = f.Targets[:2] })
	until(func() bool { other.lock.Lock(); defer other.lock.Unlock(); return other.asked >= 2 })
	until(func() bool { _, conns := stores[2].Counts(); return conns == 0 }) // its idle connections are closed
	if _, done := ask("served", 1); (<-done)[:3] != "200" {
		t.Error("a node that is left does not serve")
	}
	client.CloseIdleConnections()
	g.Shutdown()
	if conns, requests := g.Frontend.Counts(); conns != 0 || requests != 0 {
		t.Errorf("%d connections and %d requests are left", conns, requests)
	}
	until(func() bool { open, _ := g.Nodes.ConnectionCounts(); return open == 0 })
}
