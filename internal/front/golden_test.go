package front_test

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/front"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
	"irispost/internal/testkit"
	"irispost/internal/testkit/golden"
)

// fakeNodes stands for the storage nodes of all shards and writes down each call in the order of its arrival.
type fakeNodes struct {
	lock    sync.Mutex
	calls   []string
	records map[string]node.ListItem
	objects map[string][]byte
	version uint64
}

type doneCall struct{}

func (doneCall) Cancel() {}

func (*fakeNodes) AbortQueued(func(string) bool) {}
func (*fakeNodes) Retain(map[string]bool)        {}
func (*fakeNodes) LateReplies() int64            { return 0 }
func shardOf(address string) int                 { return int(address[len(address)-1] - '0') }
func nodeOf(shard int) endpoint.Node {
	return endpoint.Node{Addr: fmt.Sprint("node:", shard), Zone: "z", Shard: shard}
}
func sortedNames(m map[string]node.ListItem) (names []string) {
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (n *fakeNodes) Start(address string, call *node.Call, done func(node.Reply)) node.Attempt {
	n.lock.Lock()
	n.calls = append(n.calls, describe(call))
	reply := n.execute(shardOf(address), call)
	n.lock.Unlock()
	reply.Outcome, reply.Shard = node.Executed, shardOf(address)
	if call.Shard < 0 {
		reply.Shard = 1 // where the scheduler places a new object is none of this test's
	}
	go done(reply)
	return doneCall{}
}

func (n *fakeNodes) execute(shard int, call *node.Call) (reply node.Reply) {
	switch call.Op {
	case node.GetRecord:
		return node.Reply{Version: n.records[call.Name].Version, Data: n.records[call.Name].Data}
	case node.CompareAndSwapRecord:
		now := n.records[call.Name]
		if now.Version != call.Version {
			return node.Reply{Status: node.VersionConflict, Version: now.Version, Data: now.Data}
		}
		n.version++
		n.records[call.Name] = node.ListItem{Name: call.Name, Version: n.version, Data: slices.Clone(call.Data)}
		return node.Reply{Version: n.version}
	case node.ListRecords:
		var items []node.ListItem
		for _, name := range sortedNames(n.records) {
			path, _ := layout.Parse(name)
			if len(n.records[name].Data) > 0 && path.Parent().String() == call.Name && path.HomeShard(2) == shard && name > call.Owner {
				items = append(items, n.records[name])
			}
		}
		return node.Reply{Data: node.EncodeItems(items)}
	case node.PutObject:
		held := n.objects[call.Name]
		if end := int(call.Offset) + len(call.Data); end > len(held) {
			held = append(held, make([]byte, end-len(held))...)
		}
		copy(held[call.Offset:], call.Data)
		n.objects[call.Name] = held
	case node.GetObject:
		held := n.objects[call.Name]
		from := min(int(call.Offset), len(held))
		return node.Reply{Data: slices.Clone(held[from:min(from+int(call.Length), len(held))])}
	case node.DeleteObject:
		delete(n.objects, call.Name)
	}
	return node.Reply{}
}

// started matches the part of a name that says when the gateway was started, counted the number of a request of the
// loop, which differs between those that go side by side.
var (
	started = regexp.MustCompile(`(g[-/])[0-9a-z]{12}([-/])`)
	counted = regexp.MustCompile(`#\d+ `)
)

func unstarted(s string) string {
	return counted.ReplaceAllString(started.ReplaceAllString(s, "${1}start${2}"), "#n ")
}

// describe writes down a call without what differs from run to run: times, and the start in names.
func describe(c *node.Call) string {
	data := hex.EncodeToString(c.Data)
	if c.Op == node.CompareAndSwapRecord && len(c.Data) > 0 {
		record, err := layout.Decode(c.Data, 0)
		if err != nil {
			return err.Error()
		}
		record.ChangeID, record.MovePeer, record.LastMoveID = unstarted(record.ChangeID), unstarted(record.MovePeer), unstarted(record.LastMoveID)
		record.Modified = 0
		for i := range record.Extents {
			record.Extents[i].Object = unstarted(record.Extents[i].Object)
		}
		data = hex.EncodeToString(record.Encode())
	}
	if len(data) > 300 {
		data = fmt.Sprintf("%.16s... %d bytes", data, len(data)/2)
	}
	return unstarted(fmt.Sprintf("  op %d name %s owner %q shard %d offset %d length %d version %d volume %d units %.3g kind %d keyed %t key %s request %s data %s",
		c.Op, c.Name, c.Owner, c.Shard, c.Offset, c.Length, c.Version, c.Volume, c.Units, c.Idempotency, c.OrderingKey != 0, c.IdempotencyKey, c.RequestID, data))
}

// take returns the calls since the last take; those that go side by side are put in the order of their text.
func (n *fakeNodes) take() string {
	n.lock.Lock()
	defer n.lock.Unlock()
	calls := n.calls
	n.calls = nil
	sideBySide := func(call string) string {
		for _, op := range []node.Operation{node.ListRecords, node.GetObject, node.PutObject} {
			if prefix := fmt.Sprintf("  op %d ", op); strings.HasPrefix(call, prefix) {
				return prefix
			}
		}
		return ""
	}
	for from := 0; from < len(calls); {
		to := from + 1
		for to < len(calls) && sideBySide(calls[from]) != "" && sideBySide(calls[to]) == sideBySide(calls[from]) {
			to++
		}
		slices.Sort(calls[from:to])
		from = to
	}
	if len(calls) == 0 {
		return ""
	}
	return strings.Join(calls, "\n") + "\n"
}

// bench is a front with its loop, over fakeNodes.
type bench struct {
	t     *testing.T
	nodes *fakeNodes
	front *front.Front
	out   bytes.Buffer
}

func newBench(t *testing.T) *bench {
	t.Helper()
	c, err := config.Parse("test.hcl", fmt.Appendf(nil, testkit.Conf, "g", 2))
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	nodes := &fakeNodes{records: map[string]node.ListItem{}, objects: map[string][]byte{}}
	loop := gateway.Start(gateway.Options{Name: c.Name, Seed: 1, Settings: c.Settings, QueueSize: c.EventQueueLength,
		Clock: gateway.NewClock(), Nodes: nodes, Log: log})
	t.Cleanup(loop.Stop)
	loop.UpdateEndpoints(endpoint.List{Version: "1", Nodes: []endpoint.Node{nodeOf(0), nodeOf(1)}})
	f, err := front.Start("127.0.0.1:0", front.Options{Name: c.Name, Loop: loop, Volumes: c.Volumes, Shards: c.Shards,
		Extent: c.ExtentBytes, Units: c.Units, Limits: c.Limits, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return &bench{t: t, nodes: nodes, front: f}
}

// settle waits until no more calls come, as objects are dropped after the answer.
func (b *bench) settle() {
	b.t.Helper()
	for last := -1; ; {
		b.nodes.lock.Lock()
		now := len(b.nodes.calls)
		b.nodes.lock.Unlock()
		if now == last {
			return
		}
		last = now
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *bench) note(what, answer string) {
	b.t.Helper()
	b.settle()
	fmt.Fprintf(&b.out, "%s\n%s  answer %s\n", what, b.nodes.take(), unstarted(answer))
}

// times matches the two times of attributes, seconds the time in a line of a listing.
var (
	times   = regexp.MustCompile(`6[5-9a-f][0-9a-f]{6}6[5-9a-f][0-9a-f]{6}`)
	seconds = regexp.MustCompile(` 1\d{9} `)
)

// exchange sends one packet and reads the answer.
func (b *bench) exchange(conn net.Conn, what string, p *sftp.Packet) {
	b.t.Helper()
	if err := p.WriteOut(conn); err != nil {
		b.t.Fatal(err)
	}
	var head [4]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		b.t.Fatal(err)
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(conn, body); err != nil {
		b.t.Fatal(err)
	}
	text := hex.EncodeToString(body)
	if body[0] == byte(sftp.Attributes) {
		text = times.ReplaceAllString(text, "time")
	}
	if body[0] == byte(sftp.Status) || body[0] == byte(sftp.Version) {
		text = fmt.Sprintf("%q", body)
	}
	if body[0] == byte(sftp.Name) {
		f := sftp.NewFields(body[1:])
		id, count := f.Uint32(), f.Uint32()
		text = fmt.Sprintf("names of %d:", id)
		for range count {
			name, long, attrs := f.Text(), f.Text(), f.Attrs()
			long = seconds.ReplaceAllString(long, " time ")
			text += fmt.Sprintf(" %q %q size %d mode %o", name, long, attrs.Size, attrs.Mode)
		}
	}
	b.note(what, text)
}

// What a client's requests become at the nodes, and what it is answered, stays as it is byte for byte.
func TestGoldenRequestsOfFilesAndDisks(t *testing.T) {
	b := newBench(t)
	conn, err := net.Dial("tcp", b.front.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	id := uint32(0)
	request := func(what string, kind sftp.Type, fill func(*sftp.Packet)) {
		t.Helper()
		id++
		p := sftp.New(kind, id)
		fill(p)
		b.exchange(conn, what, p)
	}
	text := func(fields ...string) func(*sftp.Packet) {
		return func(p *sftp.Packet) {
			for _, field := range fields {
				p.Text(field)
			}
		}
	}
	open := func(path string, flags uint32) func(*sftp.Packet) {
		return func(p *sftp.Packet) { p.Text(path).Uint32(flags).Attrs(sftp.Attrs{}) }
	}
	write := func(handle string, offset uint64, data string) func(*sftp.Packet) {
		return func(p *sftp.Packet) { p.Text(handle).Uint64(offset).Text(data) }
	}
	read := func(handle string, offset uint64, length uint32) func(*sftp.Packet) {
		return func(p *sftp.Packet) { p.Text(handle).Uint64(offset).Uint32(length) }
	}
	attrs := func(name string, a sftp.Attrs) func(*sftp.Packet) {
		return func(p *sftp.Packet) { p.Text(name).Attrs(a) }
	}
	const readWrite = sftp.FlagRead | sftp.FlagWrite

	b.exchange(conn, "init", sftp.New(sftp.Init, sftp.ProtocolVersion))
	request("realpath", sftp.Realpath, text("/meals/a/../b"))
	request("realpath that climbs", sftp.Realpath, text("/meals/../.."))
	request("limits", sftp.Extended, text("limits@openssh.com"))
	request("unknown extension", sftp.Extended, text("other@openssh.com"))
	request("unknown type", sftp.Readlink, text("/meals/a"))
	request("short packet", sftp.Open, text("/meals/a"))
	request("long packet", sftp.Stat, text("/meals/a", "more"))
	request("unknown volume", sftp.Stat, text("/other/a"))
	request("mkdir", sftp.Mkdir, attrs("/meals/dir", sftp.Attrs{HasMode: true, Mode: 0o700}))
	request("mkdir again", sftp.Mkdir, attrs("/meals/dir", sftp.Attrs{}))
	request("mkdir without parent", sftp.Mkdir, attrs("/meals/none/dir", sftp.Attrs{}))
	request("mkdir of a volume", sftp.Mkdir, attrs("/meals", sftp.Attrs{}))
	request("open of nothing", sftp.Open, open("/meals/dir/a", sftp.FlagRead))
	request("open of the root", sftp.Open, open("/", sftp.FlagRead))
	request("open of a folder", sftp.Open, open("/meals/dir", sftp.FlagRead))
	request("create", sftp.Open, open("/meals/dir/a", readWrite|sftp.FlagCreate))
	request("create exclusively", sftp.Open, open("/meals/dir/a", readWrite|sftp.FlagCreate|sftp.FlagExcl))
	request("write", sftp.Write, write("1", 10, "first"))
	request("write in place", sftp.Write, write("1", 12, "second"))
	request("write of the second extent", sftp.Write, write("1", 65536, "third"))
	request("write over an edge", sftp.Write, write("1", 65534, "fourth"))
	request("write of nothing", sftp.Write, write("1", 5, ""))
	request("write beyond the end of all files", sftp.Write, write("1", 1<<51, "x"))
	request("read", sftp.Read, read("1", 8, 20))
	request("read over an edge", sftp.Read, read("1", 65530, 100))
	request("read past the end", sftp.Read, read("1", 1<<20, 10))
	request("stat before commit", sftp.Stat, text("/meals/dir/a"))
	request("fsync", sftp.Extended, text("fsync@openssh.com", "1"))
	request("fsync again", sftp.Extended, text("fsync@openssh.com", "1"))
	request("fstat", sftp.Fstat, text("1"))
	request("setstat of mode and time", sftp.Setstat, attrs("/meals/dir/a",
		sftp.Attrs{HasMode: true, Mode: 0o600, HasTimes: true, Accessed: 1_800_000_000, Modified: 1_800_000_000}))
	request("fsetstat, shorter", sftp.Fsetstat, attrs("1", sftp.Attrs{HasSize: true, Size: 65535}))
	request("fsetstat, longer", sftp.Fsetstat, attrs("1", sftp.Attrs{HasSize: true, Size: 200000}))
	request("setstat of the volume", sftp.Setstat, attrs("/meals", sftp.Attrs{HasMode: true}))
	request("setstat of size", sftp.Setstat, attrs("/meals/dir/a", sftp.Attrs{HasSize: true, Size: 190000}))
	request("open for append", sftp.Open, open("/meals/dir/a", sftp.FlagWrite|sftp.FlagAppend))
	request("append", sftp.Write, write("2", 0, "end"))
	request("read of a handle for writing", sftp.Read, read("2", 0, 1))
	request("close", sftp.Close, text("2"))
	request("close again", sftp.Close, text("2"))
	request("open and cut", sftp.Open, open("/meals/dir/a", sftp.FlagWrite|sftp.FlagTrunc))
	request("write anew", sftp.Write, write("3", 0, "anew"))
	request("close of the cut", sftp.Close, text("3"))
	request("fsetstat to nothing", sftp.Fsetstat, attrs("1", sftp.Attrs{HasSize: true}))
	request("close of the first", sftp.Close, text("1"))
	request("rename", sftp.Rename, text("/meals/dir/a", "/meals/b"))
	request("rename of nothing", sftp.Rename, text("/meals/dir/a", "/meals/b"))
	request("rename of a folder", sftp.Rename, text("/meals/dir", "/meals/d"))
	request("rename to another volume", sftp.Rename, text("/meals/b", "/"))
	request("create another", sftp.Open, open("/meals/c", readWrite|sftp.FlagCreate))
	request("write of the other", sftp.Write, write("4", 0, "other"))
	request("close of the other", sftp.Close, text("4"))
	request("rename onto a file", sftp.Rename, text("/meals/b", "/meals/c"))
	request("posix-rename onto a file", sftp.Extended, text("posix-rename@openssh.com", "/meals/b", "/meals/c"))
	request("opendir", sftp.Opendir, text("/meals"))
	request("readdir", sftp.Readdir, text("5"))
	request("readdir at the end", sftp.Readdir, text("5"))
	request("opendir of the root", sftp.Opendir, text("/"))
	request("readdir of the root", sftp.Readdir, text("6"))
	request("opendir of a file", sftp.Opendir, text("/meals/c"))
	request("fsync of a folder", sftp.Extended, text("fsync@openssh.com", "5"))
	request("remove of a folder", sftp.Remove, text("/meals/dir"))
	request("rmdir", sftp.Rmdir, text("/meals/dir"))
	request("rmdir of a file", sftp.Rmdir, text("/meals/c"))
	request("remove", sftp.Remove, text("/meals/c"))
	request("remove again", sftp.Remove, text("/meals/c"))
	b.disk()
	golden.Check(t, "requests.txt", b.out.Bytes())
}

func formOf(r front.Result) string {
	return fmt.Sprintf("outcome %d after %s at byte %d: %q", r.Outcome, r.RetryAfter, r.MismatchOffset, r.Reason)
}

// disk runs the requests of a disk's client.
func (b *bench) disk() {
	b.t.Helper()
	disk, err := b.front.Disk("/meals/disk", 256<<10)
	if err != nil {
		b.t.Fatal(err)
	}
	b.note("disk", fmt.Sprint(disk.ExtentSize()))
	_, err = b.front.Disk("/meals/disk", 128<<10)
	b.note("disk smaller than the file", fmt.Sprint(err))
	_, err = b.front.Disk("/other/disk", 128<<10)
	b.note("disk of no volume", fmt.Sprint(err))
	client := b.front.NewClient()
	b.note("client", client.Name())
	b.note("disk write", formOf(client.Write(disk, 1, 100, []byte("abcdef"), false)))
	b.note("disk write through", formOf(client.Write(disk, 2, 102, []byte("xy"), true)))
	data, result := client.Read(disk, 3, 98, 10)
	b.note("disk read", fmt.Sprintf("%q %s", data, formOf(result)))
	b.note("disk compare, different", formOf(client.CompareAndWrite(disk, 4, 100, []byte("abcd"), []byte("1234"), false)))
	b.note("disk compare, equal", formOf(client.CompareAndWrite(disk, 5, 100, []byte("abxy"), []byte("1234"), true)))
	b.note("disk zero", formOf(client.Zero(disk, 6, 101, 128<<10)))
	b.note("disk sync", formOf(client.Sync(disk, 7)))
	b.note("disk close", fmt.Sprint(disk.Close()))
	client.Close()
	b.note("left client", formOf(client.Write(disk, 8, 0, []byte("a"), false)))
}
