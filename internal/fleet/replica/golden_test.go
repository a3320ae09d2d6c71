package replica

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
	"irispost/internal/fleet/lease"
	"irispost/internal/loopback"
)

// The files under testdata were written by commit 3aa21cb. They pin what other builds, scripts and folders on disk rest on, so that -update
// is for a change of these forms that is meant.
var update = flag.Bool("update", false, "write the golden files under testdata, except the folder")

// golden compares text with a file under testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	wanted, lines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range max(len(wanted), len(lines)) {
		if i >= len(wanted) || i >= len(lines) || wanted[i] != lines[i] {
			t.Fatalf("%s differs from line %d on\n got: %q\nwant: %q", file, i+1, lines[min(i, len(lines)):min(i+3, len(lines))], wanted[min(i, len(wanted)):min(i+3, len(wanted))])
		}
	}
}

// goldenReplica starts a replica under number 1 whose folder is dir.
func goldenReplica(t *testing.T, dir string, peers map[uint64]string) *Replica {
	t.Helper()
	k, err := Start(Options{ID: 1, Listen: loopback.Own() + ":0", Peers: peers, Dir: dir, LeaseSettings: lease.Settings{LeaseDuration: 6e10, MaxClockDrift: 0.01}, TickInterval: 10 * time.Millisecond,
		CompactionEntries: 20, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

// goldenRequest is one request of a sequence. It is sent until the answer has the text until.
type goldenRequest struct {
	method, path string
	head         map[string]string
	body         string
	until        string
}

// variable is what differs from run to run: times that have passed or are left.
var variable = regexp.MustCompile(`("heard_ms_ago":|"heard_ms_ago":0,"lease_ms":|runs on for )-?[1-9]\d*`)

// send writes down the answer: status, headers and body, binary bodies as hex.
func (g goldenRequest) send(t *testing.T, addr string) string {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		r, err := http.NewRequestWithContext(t.Context(), g.method, "http://"+addr+g.path, strings.NewReader(g.body))
		if err != nil {
			t.Fatal(err)
		}
		for name, value := range g.head {
			r.Header.Set(name, value)
		}
		a, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a.Body)
		if cause := a.Body.Close(); err != nil || cause != nil {
			t.Fatal(err, cause)
		}
		if !strings.Contains(string(body), g.until) {
			if time.Now().After(deadline) {
				t.Fatalf("%s %s never has %s: %s", g.method, g.path, g.until, body)
			}
			continue
		}
		out := &strings.Builder{}
		fmt.Fprintf(out, "## %s %s %s\n%s\n", g.method, g.path, g.body, a.Status)
		for _, name := range slices.Sorted(maps.Keys(a.Header)) {
			value := strings.Join(a.Header[name], ", ")
			if name == "Date" || name == "Content-Length" && variable.Match(body) {
				value = "(some)"
			}
			fmt.Fprintf(out, "%s: %s\n", name, value)
		}
		text := string(body)
		if a.Header.Get("Content-Encoding") != "" {
			text = hex.EncodeToString(body)
		}
		return fmt.Sprintf("%s\n%s\n\n", out, variable.ReplaceAllString(variable.ReplaceAllString(text, "${1}0"), "${1}0"))
	}
}

// Each route answers with the recorded status, headers and body, at a replica that leads and at one that does not.
func TestRoutesMatchGolden(t *testing.T) {
	first, second := some(1), some(2)
	digest, next := configversion.DigestOf(first), configversion.DigestOf(second)
	sum := content.NewCache(first, 0).Fetch(next, 1).NextRequest().BaseHash()
	delta := map[string]string{"Accept-Encoding": "dcz, zstd", "Available-Dictionary": fmt.Sprintf(":%s:", base64.StdEncoding.EncodeToString(sum[:])), "Dictionary-ID": `"` + digest + `"`}
	propose := func(p lease.Proposal) string { return jsonOf(t, p) }
	leading := []goldenRequest{
		{method: "POST", path: "/propose", body: propose(lease.Proposal{ID: "a", Author: "ann", Reason: "first", CreatedAt: "2026-12-02T04:00:00Z", Content: first}), until: "number"},
		{method: "GET", path: "/status", until: `"in_force":1`},
		{method: "GET", path: "/metrics"},
		{method: "POST", path: "/renew", body: `{"who":"g1/1","seq":1,"state":"following","form":1}`, until: `"lease":60000000000`},
		{method: "POST", path: "/renew", body: `{"who":"g1/1","seq":2,"term":2,"taken":1,"holds":[1],"trouble":"cannot read it","state":"following"}`},
		{method: "POST", path: "/propose", body: propose(lease.Proposal{ID: "b", Parent: 1, Author: "ann", Reason: "second", Content: second})},
		{method: "POST", path: "/propose", body: propose(lease.Proposal{ID: "c", Parent: 2, Author: "ben", Content: second})},
		{method: "POST", path: "/propose", body: propose(lease.Proposal{ID: "d", Parent: 1, Author: "ben", Content: second})},
		{method: "POST", path: "/propose", body: "{"},
		{method: "GET", path: "/status"},
		{method: "GET", path: "/metrics"},
		{method: "POST", path: "/renew", body: `{"who":"g1/1","seq":3,"term":2,"taken":2,"holds":[1],"state":"following"}`},
		{method: "POST", path: "/renew", body: "x"},
		{method: "GET", path: "/versions?from=2"},
		{method: "GET", path: "/versions?from=3"},
		{method: "GET", path: "/versions"},
		{method: "GET", path: "/news?term=2&in_force=1&announced=1&hold_ms=60000"},
		{method: "GET", path: "/news?term=2&in_force=1&announced=2&hold_ms=1"},
		{method: "GET", path: "/content/" + next},
		{method: "GET", path: "/content/" + next, head: map[string]string{"Accept-Encoding": "zstd"}},
		{method: "GET", path: "/content/" + next, head: delta},
		{method: "GET", path: "/content/0"},
		{method: "POST", path: "/hello", body: `{"from":9,"starts":2,"incarnation":7,"form":2}`},
		{method: "POST", path: "/hello", body: `{"from":9,"starts":1,"incarnation":8}`},
		{method: "POST", path: "/hello", body: "x"},
		{method: "POST", path: "/raft"},
		{method: "POST", path: "/raft", body: "x"},
		{method: "POST", path: "/voters", body: `{"add":{"1":"first:7000"}}`},
		{method: "POST", path: "/voters", body: `{"remove":[7]}`},
		{method: "POST", path: "/voters", body: `{"add":{"1":"other:7000"}}`},
		{method: "POST", path: "/voters", body: `{}`},
		{method: "POST", path: "/voters", body: `x`},
		{method: "GET", path: "/propose"},
		{method: "POST", path: "/status"},
		{method: "GET", path: "/"},
	}
	alone := []goldenRequest{
		{method: "GET", path: "/status"},
		{method: "GET", path: "/versions?from=1"},
		{method: "GET", path: "/news?hold_ms=60000"},
		{method: "POST", path: "/renew", body: `{"who":"g1/1","seq":1,"state":"following"}`},
		{method: "POST", path: "/propose", body: propose(lease.Proposal{ID: "a", Content: first})},
		{method: "POST", path: "/voters", body: `{"remove":[2]}`},
		{method: "GET", path: "/content/" + digest},
		{method: "POST", path: "/raft"},
		{method: "GET", path: "/metrics"},
	}
	out := &strings.Builder{}
	k := goldenReplica(t, t.TempDir(), map[uint64]string{1: "first:7000"})
	for _, g := range leading {
		out.WriteString(g.send(t, k.Addr()))
	}
	out.WriteString("# of three, the others are not there\n\n")
	k = goldenReplica(t, t.TempDir(), map[uint64]string{1: "first:7000", 2: "127.9.9.2:20002", 3: "127.9.9.3:20003"})
	for _, g := range alone {
		out.WriteString(g.send(t, k.Addr()))
	}
	golden(t, "routes.golden", out.String())
}

// The messages of replicas to each other, the requests of the client and the texts of the status are as recorded.
func TestMessagesMatchGolden(t *testing.T) {
	out := &strings.Builder{}
	for _, message := range []struct {
		name  string
		value any
	}{
		{"greeting", greeting{From: 1}},
		{"greeting", greeting{From: 1, Starts: 2, Incarnation: 3, Form: 2}},
		{"change of voters", MembershipChange{}},
		{"change of voters", MembershipChange{Add: map[uint64]string{4: "d:7000"}, Remove: []uint64{2}}},
		{"identity", identity{Number: 1, Voters: []uint64{1, 2, 3}, Starts: 4}},
		{"identity", identity{Number: 4}},
		{"status", Status{}},
		{"status", Status{Replica: 1, Leader: 2, Term: 3, InForce: 4, Announced: 5, LeaseMillis: 6, ConvergenceBoundMillis: 7, Voters: []uint64{1, 2, 3}, WaitingFor: []string{"g1/1: why"},
			Gateways: []lease.GatewayStatus{{Holder: "g1/1", State: "following", HeldVersions: []uint64{4}, LastHeardMillis: 8, LeaseLeftMillis: 9, Unresponsive: true, Fault: "why"}},
			Latest:   &configversion.Version{Number: 5, Parent: 4, Digest: "abc", Author: "ann", Reason: "because", CreatedAt: "now", Content: []byte("{}")}}},
	} {
		fmt.Fprintf(out, "%s %s\n", message.name, jsonOf(t, message.value))
	}
	change := (&MembershipChange{Add: map[uint64]string{5: "e:1", 4: "d:1"}, Remove: []uint64{2, 1}}).change()
	fmt.Fprintf(out, "entry of a change of voters %v %s\n", changesOf(change), change.GetContext())
	framed, err := frames([]*raftpb.Message{{To: proto.Uint64(2), From: proto.Uint64(1), Term: proto.Uint64(3), Type: raftpb.MsgHeartbeat.Enum()}, {To: proto.Uint64(2)}})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(out, "frames %x\n", framed)
	fmt.Fprintf(out, "stated %d\n", ConvergenceBound(lease.Settings{LeaseDuration: 1e9, MaxClockDrift: 0.01}))

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(out, "%s %s %v %s\n", r.Method, r.RequestURI, headersOf(r.Header), body)
		io.WriteString(w, map[string]string{"/versions": "[]", "/voters": "true"}[r.URL.Path])
		if r.URL.Path == "/status" || r.URL.Path == "/propose" {
			io.WriteString(w, "{}")
		}
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	c := &Client{Replicas: []string{addr}, Timeout: time.Minute}
	base := content.NewCache(some(1), 0)
	for _, call := range []func() error{
		func() error { _, err := c.Status(); return err },
		func() error {
			_, err := c.Propose(&lease.Proposal{ID: "a", Parent: 1, ReplacePending: true, Author: "ann", Reason: "because", CreatedAt: "now", Content: []byte("{}")})
			return err
		},
		func() error { _, err := c.Versions(3); return err },
		func() error { _, err := c.Version(4); return err },
		func() error { return c.ChangeMembership(&MembershipChange{Remove: []uint64{2}}) },
		func() error {
			_, _, err := c.FetchContent(t.Context(), addr, content.NewCache(nil, 0).Fetch("abc", 1).NextRequest())
			return err
		},
		func() error {
			_, _, err := c.FetchContent(t.Context(), addr, base.Fetch("abc", 1).NextRequest())
			return err
		},
	} {
		if err := call(); err != nil {
			t.Error(err)
		}
	}
	golden(t, "messages.golden", out.String())
}

// A folder that is written by this build has the buckets, keys and values that are recorded.
func TestFolderIsWrittenAsGolden(t *testing.T) {
	s, err := openStore(t.TempDir(), 1, []uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	defer s.db.Close()
	for _, start := range [][3]uint64{{2, 1, 7}, {3, 4, 0}} {
		if ok, err := s.hello(start[0], start[1], start[2]); !ok || err != nil {
			t.Fatal(ok, err)
		}
	}
	if err := s.address(map[uint64]string{1: "a:1", 4: "d:1"}); err != nil {
		t.Fatal(err)
	}
	rd := &raft.Ready{HardState: &raftpb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(1), Commit: proto.Uint64(4)}}
	for index := uint64(2); index <= 5; index++ {
		rd.Entries = append(rd.Entries, &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(3), Type: raftpb.EntryNormal.Enum(), Data: []byte(fmt.Sprint(index))})
	}
	if err := s.save(rd); err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= 70; n++ {
		v := &configversion.Version{Number: n, Parent: n - 1, Author: "ann", Reason: fmt.Sprint("change ", n), CreatedAt: "now", Content: some(float64(n))}
		v.Digest = configversion.DigestOf(v.Content)
		s.history.pending = append(s.history.pending, forgotten{version: v})
	}
	if err := s.compact(3, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte("the state"), 1); err != nil {
		t.Fatal(err)
	}
	golden(t, "buckets.golden", dump(t, s.db))
}

// dump writes down all that a folder has, each value as JSON text or as hex.
func dump(t *testing.T, db *bbolt.DB) string {
	t.Helper()
	out := &strings.Builder{}
	err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			fmt.Fprintf(out, "bucket %s, sequence %d\n", name, b.Sequence())
			return b.ForEach(func(k, v []byte) error {
				key := fmt.Sprintf("%q", k)
				if len(k) == 8 && k[0] == 0 {
					key = fmt.Sprint(binary.BigEndian.Uint64(k))
				}
				value := hex.EncodeToString(v)
				if json.Valid(v) {
					value = string(v)
				}
				fmt.Fprintf(out, "  %s %s\n", key, value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// testdata/folder is of replica 1 of three that started with logs compacted after 20 entries, took 75 versions of which those before the
// newest few were forgotten, knew a gateway, and then went on with replica 1 alone. It opens, and has the versions with their digests, the
// history, who votes, and what it knows of the others; it leads and goes on from there.
func TestFolderOfEarlierBuildOpens(t *testing.T) {
	dir := t.TempDir()
	file, err := os.ReadFile(filepath.Join("testdata", "folder", "keeper.db"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "keeper.db"), file, 0o600); err != nil {
		t.Fatal(err)
	}
	k := goldenReplica(t, dir, map[uint64]string{1: "first:7000"})
	c := &Client{Replicas: []string{k.Addr()}, Timeout: time.Minute}
	s, err := c.Status()
	if err != nil {
		t.Fatal(err)
	}
	out := &strings.Builder{}
	fmt.Fprintf(out, "in force %d, announced %d, lease %d ms, stated %d ms, voters %v\n", s.InForce, s.Announced, s.LeaseMillis, s.ConvergenceBoundMillis, s.Voters)
	done := make(chan struct{})
	k.do(context.Background(), func() {
		defer close(done)
		first, _ := k.store.memory.FirstIndex()
		fmt.Fprintf(out, "start %d, addresses %v, starts of others %v, form %d, kept versions from %d, log from %d\n", k.store.starts, k.addrs, k.store.known, k.ledger.Format,
			k.ledger.Versions[0].Number, first)
	})
	<-done
	list, err := c.Versions(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range list {
		if v.Content != nil && configversion.DigestOf(v.Content) != v.Digest {
			t.Errorf("version %d has a content of digest %s", v.Number, configversion.DigestOf(v.Content))
		}
		fmt.Fprintf(out, "%d of %d, %s, %s: %s, %s, %d bytes\n", v.Number, v.Parent, v.Digest, v.Author, v.Reason, v.CreatedAt, len(v.Content))
	}
	golden(t, "folder.golden", out.String())
	if v, err := c.Propose(&lease.Proposal{ID: "next", Parent: s.Announced, ReplacePending: true, Content: some(1)}); err != nil || v.Number != s.Announced+1 {
		t.Errorf("the next version: %+v, %v", v, err)
	}
}

func jsonOf(t *testing.T, value any) string {
	t.Helper()
	b, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func headersOf(h http.Header) string {
	out := &bytes.Buffer{}
	for _, name := range slices.Sorted(maps.Keys(h)) {
		fmt.Fprintf(out, "%s: %s; ", name, strings.Join(h[name], ", "))
	}
	return out.String()
}

func changesOf(c *raftpb.ConfChangeV2) (list []string) {
	for _, one := range c.GetChanges() {
		list = append(list, fmt.Sprint(one.GetType(), " ", one.GetNodeId()))
	}
	return list
}
