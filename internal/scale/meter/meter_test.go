package meter

import (
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

func TestQuantilesOfSmallListsLeaveThemAsTheyAre(t *testing.T) {
	for _, c := range []struct {
		list []float64
		want Quantiles
	}{
		{nil, Quantiles{}},
		{[]float64{7}, Quantiles{7, 7, 7}},
		{[]float64{2, 1}, Quantiles{1, 2, 2}},
		{[]float64{3, 1, 2}, Quantiles{2, 3, 3}},
		{[]float64{5, 1, 4, 2, 3, 3, 2, 4, 1, 100}, Quantiles{3, 100, 100}},
	} {
		before := slices.Clone(c.list)
		if got := QuantilesOf(c.list); got != c.want || !slices.Equal(before, c.list) {
			t.Errorf("%v: %+v, and the list is now %v", before, got, c.list)
		}
	}
}

// Quantiles are checked against their definition, by counting.
func TestQuantilesFollowNearestRank(t *testing.T) {
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

func TestParseOfProcFilesRejectsWhatLacksFields(t *testing.T) {
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

func TestProcessSeesTimeAndMemoryGrow(t *testing.T) {
	before, err := Process(os.Getpid())
	if err != nil || before.MB < 1 {
		t.Fatalf("%+v, %v", before, err)
	}
	memory := make([]byte, 64<<20)
	for after := before; after.CPU == before.CPU || after.MB < before.MB+50; { // it uses both until that is seen
		for i := range memory {
			memory[i]++
		}
		if after, err = Process(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Process(1 << 30); err == nil {
		t.Error("a process that does not exist has used something")
	}
}

func TestFolderCountsFilesBelow(t *testing.T) {
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
		t.Error("a folder that does not exist has bytes")
	}
}

// A client's sockets count what the server's do, directly and through a relay, and a relay counts the same.
func TestClientServerAndRelayCountTheSameBytes(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if _, err := fmt.Fprint(w, strings.Repeat("answer", int(n))); err != nil {
			t.Error(err)
		}
	}))
	var seen Bytes
	server.Listener = countedListener{server.Listener, &seen}
	server.Start()
	defer server.Close()
	directAddr := server.Listener.Addr().String()
	relay, err := NewRelay("127.0.0.1", directAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	var all Bytes
	byAddr := map[string]*Bytes{directAddr: {}, relay.Addr(): {}}
	dial := Dialer(nil, func(addr string) []*Bytes { return []*Bytes{&all, byAddr[addr]} })
	const clients = 8
	var running sync.WaitGroup
	for range clients {
		for addr := range byAddr {
			running.Go(func() { postBodies(t, dial, addr) })
		}
	}
	running.Wait()
	server.Close() // ends all connections, after which all is counted
	relay.Close()
	direct, relayed := byAddr[directAddr], byAddr[relay.Addr()]
	if all.Out() != seen.In() || all.In() != seen.Out() || all.Both() != direct.Both()+relayed.Both() {
		t.Errorf("clients %d and %d, server %d and %d", all.Out(), all.In(), seen.In(), seen.Out())
	}
	if relay.In() != relayed.Out() || relay.Out() != relayed.In() {
		t.Errorf("relay %d and %d of %d and %d", relay.In(), relay.Out(), relayed.Out(), relayed.In())
	}
	if least := int64(clients * 30000 * 7); direct.Both() < least || relayed.Both() < least {
		t.Errorf("%d and %d bytes, of which %d are content", direct.Both(), relayed.Both(), least)
	}
}

// postBodies sends five bodies of 0 to 12,000 bytes over connections of its own. The answers are six times as long.
func postBodies(t *testing.T, dial Dial, addr string) {
	t.Helper()
	const rounds = 5
	transport := &http.Transport{DialContext: dial}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := range rounds {
		body := strings.NewReader(strings.Repeat("x", 3000*i))
		response, err := client.Post("http://"+addr, "text/plain", body)
		if err != nil {
			t.Error(err)
			return
		}
		if n, err := io.Copy(io.Discard, response.Body); n != int64(6*3000*i) || err != nil {
			t.Errorf("%d bytes of an answer, %v", n, err)
		}
		_ = response.Body.Close()
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

// A relay passes a broken connection on. Its Close ends open connections and rejects new ones.
func TestRelayPassesBreaksOnAndItsCloseEndsAll(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	relay, err := NewRelay("127.0.0.1", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	client, server := openThrough(t, relay, listener)
	if err := server.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	checkEnded(t, client)
	client, server = openThrough(t, relay, listener)
	_ = client.Close()
	checkEnded(t, server)
	client, server = openThrough(t, relay, listener)
	relay.Close()
	checkEnded(t, client)
	checkEnded(t, server)
	if _, err := net.Dial("tcp", relay.Addr()); err == nil {
		t.Error("a relay that is closed accepts connections")
	}
}

// openThrough opens a connection through a relay and returns both of its ends.
func openThrough(t *testing.T, relay *Relay, listener net.Listener) (client, server net.Conn) {
	t.Helper()
	dial := Dialer(nil, func(string) []*Bytes { return nil })
	client, err := dial(t.Context(), "tcp", relay.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}

// checkEnded checks that a connection ends, and closes it.
func checkEnded(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("it goes on: %v", err)
	}
	_ = conn.Close()
}
