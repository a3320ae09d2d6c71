package xds_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint"
	"irispost/internal/endpoint/xds"
	"irispost/internal/xdsstandin"
)

// recorder notes what a source says. What is waited for is waited for as an event, with a limit far off.
type recorder struct {
	lock    sync.Mutex
	cond    *sync.Cond
	list    endpoint.List
	lists   int
	refused []string
	links   []bool
}

const farOff = 20 * time.Second

func newEar() *recorder {
	e := &recorder{}
	e.cond = sync.NewCond(&e.lock)
	return e
}

func (e *recorder) note(f func()) {
	e.lock.Lock()
	f()
	e.cond.Broadcast()
	e.lock.Unlock()
}

func (e *recorder) OnUpdate(l endpoint.List) { e.note(func() { e.list = l; e.lists++ }) }
func (e *recorder) OnRejected(why error) {
	e.note(func() { e.refused = append(e.refused, why.Error()) })
}
func (e *recorder) OnLink(up bool, _ string) { e.note(func() { e.links = append(e.links, up) }) }

func (e *recorder) until(t testing.TB, what string, holds func(*recorder) bool) {
	t.Helper()
	late := time.AfterFunc(farOff, func() { e.note(func() {}) })
	defer late.Stop()
	end := time.Now().Add(farOff)
	e.lock.Lock()
	defer e.lock.Unlock()
	for !holds(e) {
		if time.Now().After(end) {
			t.Fatalf("%s does not come about: %+v, %d lists, refused %q, links %v", what, e.list, e.lists, e.refused, e.links)
		}
		e.cond.Wait()
	}
}

// has waits for a list of these: "1000 1001/draining".
func (e *recorder) has(t testing.TB, want string) {
	t.Helper()
	e.until(t, want, func(e *recorder) bool { return words(e.list) == want })
}

func words(l endpoint.List) string {
	var out []string
	for _, n := range l.Nodes {
		word := strings.TrimPrefix(n.Addr, "127.0.0.1:")
		out = append(out, word+map[endpoint.Health]string{endpoint.Draining: "/draining", endpoint.Unhealthy: "/unwell"}[n.Health])
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func listen(t testing.TB, s *xdsstandin.Server, delta bool, name string) *recorder {
	e := newEar()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	c := xds.NewClient(xds.Options{Address: s.Addr(), Incremental: delta, NodeID: name, InitialFetchTimeout: farOff, MinBackoff: time.Millisecond, MaxBackoff: 20 * time.Millisecond, Log: quiet})
	go func() { done <- c.Run(ctx, e) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return e
}

func do(t testing.TB, s *xdsstandin.Server, commands ...string) {
	t.Helper()
	for _, c := range commands {
		if err := s.Command(c); err != nil {
			t.Fatal(c, err)
		}
	}
}

func bothForms(t *testing.T, parts int, f func(*testing.T, *xdsstandin.Server, *recorder)) {
	for _, delta := range []bool{false, true} {
		t.Run(map[bool]string{false: "whole", true: "delta"}[delta], func(t *testing.T) {
			s, err := xdsstandin.Start("127.0.0.1:0", parts, nodes("1000", "1001", "2000", "3000")...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			e := listen(t, s, delta, "g1")
			e.has(t, "1000 1001 2000 3000")
			f(t, s, e)
		})
	}
}

// Adds, drains, drains undone and removes come through, in one cluster and in several.
func TestScriptedChanges(t *testing.T) {
	for _, parts := range []int{1, 3} {
		bothForms(t, parts, func(t *testing.T, s *xdsstandin.Server, e *recorder) {
			do(t, s, "add 127.0.0.1:4000 4 z")
			e.has(t, "1000 1001 2000 3000 4000")
			do(t, s, "drain 127.0.0.1:1000")
			e.has(t, "1000/draining 1001 2000 3000 4000")
			do(t, s, "ready 127.0.0.1:1000", "unwell 127.0.0.1:2000")
			e.has(t, "1000 1001 2000/unwell 3000 4000")
			do(t, s, "remove 127.0.0.1:2000")
			e.has(t, "1000 1001 3000 4000")
			do(t, s, "everybody unwell")
			e.has(t, "1000/unwell 1001/unwell 3000/unwell 4000/unwell")
			do(t, s, "nothing")
			e.has(t, "")
		})
	}
}

// A broken update is refused with its reason and changes nothing; the good one that follows with the same version counts,
// also when the stream was cut between the two.
func TestBrokenThenGood(t *testing.T) {
	for _, cut := range []bool{false, true} {
		bothForms(t, 1, func(t *testing.T, s *xdsstandin.Server, e *recorder) {
			for i, kind := range []string{"endpoints", "clusters"} {
				do(t, s, "broken "+kind)
				e.until(t, "a refusal", func(e *recorder) bool { return len(e.refused) > i })
				if err := s.WaitForAcks(farOff, func(list []xdsstandin.Ack) bool {
					last := list[len(list)-1]
					return last.Refusal != "" && strings.Contains(last.Refusal, map[string]string{"endpoints": "which shard", "clusters": "eds_cluster_config"}[kind])
				}); err != nil {
					t.Fatal(err)
				}
				if got := words(e.list); got != "1000 1001 2000 3000" {
					t.Errorf("in force is %q", got)
				}
				if cut {
					do(t, s, "cut")
				}
				do(t, s, "mend", fmt.Sprintf("add 127.0.0.1:%d 5", 5000+i))
				e.until(t, "the good one", func(e *recorder) bool { return strings.Contains(words(e.list), fmt.Sprint(5000+i)) })
				do(t, s, fmt.Sprintf("remove 127.0.0.1:%d", 5000+i))
				e.has(t, "1000 1001 2000 3000")
			}
		})
	}
}

// Streams that are cut, refused, slow, mute, with one nonce for all or with endpoints that nobody asked for; a server that
// starts anew with its versions: in the end the client has what the server has.
func TestTroubledStreams(t *testing.T) {
	bothForms(t, 2, func(t *testing.T, s *xdsstandin.Server, e *recorder) {
		want := "1000 1001 2000 3000"
		for i, trouble := range [][]string{{"cut"}, {"refuse on", "cut", "refuse off"}, {"slow 20ms", "cut"}, {"slow 0s"}, {"mute on", "cut", "mute off"},
			{"nonces on"}, {"nonces off", "cut"}, {"blurt"}, {"restart"}, {"cut", "cut", "restart", "cut"}} {
			do(t, s, trouble...)
			addr := fmt.Sprint(4000 + i)
			do(t, s, "add 127.0.0.1:"+addr+" 4")
			want += " " + addr
			e.has(t, want)
		}
		e.lock.Lock()
		defer e.lock.Unlock()
		if len(e.refused) > 0 {
			t.Errorf("refused: %q", e.refused)
		}
		for i := 1; i < len(e.links); i++ { // a try that does not come through is told as down again
			if e.links[i] && e.links[i-1] {
				t.Errorf("told up twice: %v", e.links)
			}
		}
	})
}

// A server that goes back to an older state after a cut gives its old list; package members holds it.
func TestOldState(t *testing.T) {
	bothForms(t, 1, func(t *testing.T, s *xdsstandin.Server, e *recorder) {
		do(t, s, "drain 127.0.0.1:1000")
		e.has(t, "1000/draining 1001 2000 3000")
		do(t, s, "old")
		e.has(t, "1000 1001 2000 3000")
		do(t, s, "drain 127.0.0.1:2000")
		e.has(t, "1000/draining 1001 2000/draining 3000")
	})
}

// Signs of life keep resources; without them they go.
func TestSignsOfLife(t *testing.T) {
	bothForms(t, 1, func(t *testing.T, s *xdsstandin.Server, e *recorder) {
		s.SetTTL(xds.EndpointType, time.Hour)
		before := e.lists
		s.SendHeartbeats(xds.EndpointType)
		e.until(t, "a beat", func(e *recorder) bool { return e.lists > before })
		e.has(t, "1000 1001 2000 3000")
		s.SetTTL(xds.EndpointType, 50*time.Millisecond)
		e.has(t, "")
	})
}

// A message that is too long is told, and what is in force stays.
func TestTooLong(t *testing.T) {
	s, err := xdsstandin.Start("127.0.0.1:0", 1, nodes("1000")...)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	e := newEar()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := xds.NewClient(xds.Options{Address: s.Addr(), NodeID: "g", MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, MaxMessageBytes: 2000, Log: quiet})
	go c.Run(ctx, e)
	e.has(t, "1000")
	s.UpdateNodes(func([]endpoint.Node) []endpoint.Node { return nodes(strings.Fields(strings.Repeat("2000 ", 1))...) })
	e.has(t, "2000")
	s.UpdateNodes(func(list []endpoint.Node) []endpoint.Node {
		for i := range 100 {
			list = append(list, nodes(fmt.Sprint(3000+i))...)
		}
		return list
	})
	e.until(t, "a refusal", func(e *recorder) bool {
		return len(e.refused) > 0 && strings.Contains(e.refused[0], "longer than may be")
	})
	if got := words(e.list); got != "2000" {
		t.Errorf("in force is %q", got)
	}
}

// 50 nodes and 200 clients, half of them in each form, on one server: all get each change, and all come back after a cut.
func TestTwoHundredClients(t *testing.T) {
	var list []endpoint.Node
	for i := range 50 {
		list = append(list, nodes(fmt.Sprint(1000+i))...)
	}
	s, err := xdsstandin.Start("127.0.0.1:0", 10, list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	var ears []*recorder
	for i := range 200 {
		ears = append(ears, listen(t, s, i%2 == 0, fmt.Sprint("g", i)))
	}
	all := func(what string, holds func(*recorder) bool) {
		for _, e := range ears {
			e.until(t, what, holds)
		}
	}
	all("50 nodes", func(e *recorder) bool { return len(e.list.Nodes) == 50 })
	do(t, s, "drain 127.0.0.1:1000")
	all("a drain", func(e *recorder) bool { return strings.Contains(words(e.list), "1000/draining") })
	do(t, s, "cut", "add 127.0.0.1:2000 2")
	all("51 nodes after a cut", func(e *recorder) bool { return len(e.list.Nodes) == 51 })
}

// The file form: JSON and binary, watched; wrong files are refused with their name, and the last good state stays.
func TestFiles(t *testing.T) {
	for _, ext := range []string{".json", ".pb"} {
		dir := t.TempDir()
		cds, eds := filepath.Join(dir, "clusters"+ext), filepath.Join(dir, "endpoints"+ext)
		write := func(file, version string, list ...proto.Message) {
			m := &discoveryv3.DiscoveryResponse{VersionInfo: version}
			for _, r := range list {
				a, _ := anypb.New(r)
				m.Resources = append(m.Resources, a)
			}
			b, err := protojson.Marshal(m)
			if ext == ".pb" {
				b, err = proto.Marshal(m)
			}
			if err != nil {
				t.Fatal(err)
			}
			put(t, file, b)
		}
		write(eds, "1", xdsstandin.Assignment("a", nodes("1000"))) // before its cluster
		e := newEar()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- xds.FileSource{Clusters: cds, Endpoints: eds, Log: quiet}.Run(ctx, e) }()
		e.until(t, "no clusters", func(e *recorder) bool { return len(e.refused) > 0 && strings.Contains(e.refused[0], "clusters"+ext) })
		write(cds, "1", xdsstandin.Cluster("a"))
		e.has(t, "1000")
		write(eds, "2", xdsstandin.Assignment("a", nodes("1000", "1001")))
		e.has(t, "1000 1001")
		if e.list.Version != "c:1 e:2" {
			t.Errorf("version %q", e.list.Version)
		}
		before := len(e.refused)
		put(t, eds, []byte("{"))
		e.until(t, "a refusal", func(e *recorder) bool {
			return len(e.refused) > before && strings.Contains(e.refused[before], "endpoints"+ext)
		})
		write(eds, "3", xdsstandin.Assignment("a", nodes("0")))
		e.until(t, "another", func(e *recorder) bool {
			return len(e.refused) > before+1 && strings.Contains(e.refused[before+1], "port_value 0")
		})
		if got := words(e.list); got != "1000 1001" {
			t.Errorf("in force is %q", got)
		}
		if _, _, err := xds.CheckFiles(cds, eds); err == nil || !strings.Contains(err.Error(), "port_value 0") {
			t.Errorf("checked: %v", err)
		}
		write(eds, "4", xdsstandin.Assignment("a", nodes("1002")))
		e.has(t, "1002")
		if n, notes, err := xds.CheckFiles(cds, eds); n != 1 || len(notes) > 0 || err != nil {
			t.Errorf("checked: %d, %q, %v", n, notes, err)
		}
		write(cds, "2", xdsstandin.Cluster("a"), xdsstandin.Cluster("b"))
		if n, _, err := xds.CheckFiles(cds, eds); n != 1 || err == nil || !strings.Contains(err.Error(), "no endpoints of cluster \"b\"") {
			t.Errorf("checked: %d, %v", n, err)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if _, err := xds.DecodeResponse("clusters.yaml", nil); err == nil || !strings.Contains(err.Error(), ".json or .pb") {
		t.Error(err)
	}
}

func put(t *testing.T, file string, b []byte) {
	t.Helper()
	if err := os.WriteFile(file+".next", b, 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".next", file); err != nil {
		t.Fatal(err)
	}
}
