package meter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestQuantiles(t *testing.T) {
	for _, c := range []struct {
		list []float64
		want Quantiles
	}{
		{nil, Quantiles{}}, {[]float64{7}, Quantiles{7, 7, 7}}, {[]float64{2, 1}, Quantiles{1, 2, 2}}, {[]float64{3, 1, 2}, Quantiles{2, 3, 3}},
		{[]float64{5, 1, 4, 2, 3, 3, 2, 4, 1, 100}, Quantiles{3, 100, 100}},
	} {
		was := slices.Clone(c.list)
		if got := QuantilesOf(c.list); got != c.want || !slices.Equal(was, c.list) {
			t.Errorf("%v: %+v, and the list is now %v", was, got, c.list)
		}
	}
}

// Quantiles are held against their definition, counted.
func TestQuantilesByDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Float64Range(-1e6, 1e6), 1, 300).Draw(t, "list")
		q := QuantilesOf(list)
		for part, got := range map[float64]float64{0.5: q.P50, 0.99: q.P99, 1: q.Worst} {
			below, upTo := 0, 0
			for _, v := range list {
				if v < got {
					below++
				}
				if v <= got {
					upTo++
				}
			}
			if n := part * float64(len(list)); float64(upTo) < n || float64(below) >= n || !slices.Contains(list, got) {
				t.Fatalf("%v of %d values: %v has %d below and %d up to it", part, len(list), got, below, upTo)
			}
		}
	})
}

func TestParse(t *testing.T) {
	const rest = " S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1 0 100 9999 42"
	for _, name := range []string{"keeper", "a (b) c", ") 1 2"} {
		if cpu, err := parseStat("77 (" + name + ")" + rest); err != nil || cpu != 2*time.Second {
			t.Errorf("%q: %v, %v", name, cpu, err)
		}
	}
	if pages, err := parseStatm("900 33 7 1 0 8 0\n"); err != nil || pages != 33 {
		t.Errorf("%d pages, %v", pages, err)
	}
	for _, bad := range []string{"", "1 (x) S", "77 (x) S 1 2 3 4 5 6 7 8 9 10 a 50", "77 (x) S 1 2 3 4 5 6 7 8 9 10 1 b"} {
		if _, err := parseStat(bad); err == nil {
			t.Errorf("%q is read as a process's state", bad)
		}
		if _, err := parseStatm(bad); err == nil {
			t.Errorf("%q is read as a process's memory", bad)
		}
	}
}

func TestProcess(t *testing.T) {
	before, err := Process(os.Getpid())
	if err != nil || before.MB < 1 {
		t.Fatalf("%+v, %v", before, err)
	}
	held := make([]byte, 64<<20)
	for after := before; after.CPU == before.CPU || after.MB < before.MB+50; { // it spends until it is seen to
		for i := range held {
			held[i]++
		}
		if after, err = Process(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Process(1 << 30); err == nil {
		t.Error("a process that is none has used something")
	}
}

func TestFolder(t *testing.T) {
	dir := t.TempDir()
	if err := os.MkdirAll(filepath.Join(dir, "a", "b"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, size := range map[string]int{"x": 1000, "a/b/y": 234} {
		if err := os.WriteFile(filepath.Join(dir, name), make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := Folder(dir); n != 1234 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	if _, err := Folder(filepath.Join(dir, "none")); err == nil {
		t.Error("a folder that is none has bytes")
	}
}

// What a client's sockets count is what the server's see, straight and through a relay, and a relay counts the same.
func TestBytesAreThoseThatTheServerSaw(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if _, err := fmt.Fprint(w, strings.Repeat("answer", int(n))); err != nil {
			t.Error(err)
		}
	}))
	var seen Bytes
	s.Listener = countedListener{s.Listener, &seen}
	s.Start()
	defer s.Close()
	relay, err := NewRelay("127.0.0.1", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	var all Bytes
	each := map[string]*Bytes{s.Listener.Addr().String(): {}, relay.Addr(): {}}
	dial := Dialer(nil, func(addr string) []*Bytes { return []*Bytes{&all, each[addr]} })
	const clients, rounds = 8, 5
	var wait sync.WaitGroup
	for range clients {
		for addr := range each {
			wait.Go(func() {
				tr := &http.Transport{DialContext: dial}
				for i := range rounds {
					r, err := (&http.Client{Transport: tr}).Post("http://"+addr, "text/plain", strings.NewReader(strings.Repeat("x", 3000*i)))
					if err != nil {
						t.Error(err)
						return
					}
					if n, err := io.Copy(io.Discard, r.Body); n != int64(6*3000*i) || err != nil {
						t.Errorf("%d bytes of an answer, %v", n, err)
					}
					_ = r.Body.Close()
				}
				tr.CloseIdleConnections()
			})
		}
	}
	wait.Wait()
	s.Close() // all connections are done with
	relay.Close()
	straight, through := each[s.Listener.Addr().String()], each[relay.Addr()]
	if all.Out() != seen.In() || all.In() != seen.Out() || all.Both() != straight.Both()+through.Both() || relay.In() != through.Out() || relay.Out() != through.In() {
		t.Errorf("clients %d and %d, server %d and %d, relay %d and %d of %d and %d", all.Out(), all.In(), seen.In(), seen.Out(), relay.In(), relay.Out(),
			through.Out(), through.In())
	}
	if least := int64(clients * 30000 * 7); straight.Both() < least || through.Both() < least {
		t.Errorf("%d and %d bytes, of which %d are content", straight.Both(), through.Both(), least)
	}
}

type countedListener struct {
	net.Listener
	seen *Bytes
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Count(c, l.seen), nil
}

// A break on one side of a relay is one on the other; closing it ends what is open, and refuses what comes.
func TestRelayBreaks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	relay, err := NewRelay("127.0.0.1", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	open := func() (c, s net.Conn) {
		c, err := Dialer(nil, func(string) []*Bytes { return nil })(context.Background(), "tcp", relay.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if s, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		return c, s
	}
	ended := func(c net.Conn) {
		t.Helper()
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("it goes on: %v", err)
		}
		_ = c.Close()
	}
	c, s := open()
	if err := s.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	ended(c)
	c, s = open()
	_ = c.Close()
	ended(s)
	c, s = open()
	relay.Close()
	ended(c)
	ended(s)
	if _, err := net.Dial("tcp", relay.Addr()); err == nil {
		t.Error("a relay that is closed takes connections")
	}
}
