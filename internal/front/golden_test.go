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
	"testing"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/config"
	"irispost/internal/endpoint"
	"irispost/internal/front"
	"irispost/internal/gateway"
	"irispost/internal/sftp"
	"irispost/internal/testkit"
	"irispost/internal/testkit/golden"
)

// testbed is a front end with its event loop, on fakeNodes. It collects a transcript of requests, calls and responses.
type testbed struct {
	t          *testing.T
	nodes      *fakeNodes
	front      *front.Front
	conn       net.Conn
	transcript bytes.Buffer
}

func newTestbed(t *testing.T) *testbed {
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
	loop.UpdateEndpoints(endpoint.List{Version: "1", Nodes: []endpoint.Node{endpointNode(0), endpointNode(1)}})
	f, err := front.Start("127.0.0.1:0", front.Options{Name: c.Name, Loop: loop, Volumes: c.Volumes, Shards: c.Shards,
		ExtentSize: c.ExtentBytes, Units: c.Units, Limits: c.Limits, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	conn, err := net.Dial("tcp", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &testbed{t: t, nodes: nodes, front: f, conn: conn}
}

// waitForIdleNodes waits until no more calls arrive: objects are deleted in the background, after the response.
func (b *testbed) waitForIdleNodes() {
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

func (b *testbed) record(what, answer string) {
	b.t.Helper()
	b.waitForIdleNodes()
	fmt.Fprintf(&b.transcript, "%s\n%s  answer %s\n", what, b.nodes.takeCalls(), maskRunSpecific(answer))
}

// attrTimesPattern matches the two times in attributes, listingTimePattern the time in a line of a listing.
var (
	attrTimesPattern   = regexp.MustCompile(`6[5-9a-f][0-9a-f]{6}6[5-9a-f][0-9a-f]{6}`)
	listingTimePattern = regexp.MustCompile(` 1\d{9} `)
)

// exchange sends a packet and reads the response.
func (b *testbed) exchange(what string, packet *sftp.Packet) {
	b.t.Helper()
	if err := packet.WriteOut(b.conn); err != nil {
		b.t.Fatal(err)
	}
	var head [4]byte
	if _, err := io.ReadFull(b.conn, head[:]); err != nil {
		b.t.Fatal(err)
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(b.conn, body); err != nil {
		b.t.Fatal(err)
	}
	b.record(what, formatAnswer(body))
}

// formatAnswer formats a response without the times in it.
func formatAnswer(body []byte) string {
	switch sftp.Type(body[0]) {
	case sftp.Status, sftp.Version:
		return fmt.Sprintf("%q", body)
	case sftp.Attributes:
		return attrTimesPattern.ReplaceAllString(hex.EncodeToString(body), "time")
	case sftp.Name:
		fields := sftp.NewFields(body[1:])
		text := fmt.Sprintf("names of %d:", fields.Uint32())
		for count := fields.Uint32(); count > 0; count-- {
			name, line, attrs := fields.Text(), fields.Text(), fields.Attrs()
			line = listingTimePattern.ReplaceAllString(line, " time ")
			text += fmt.Sprintf(" %q %q size %d mode %o", name, line, attrs.Size, attrs.Mode)
		}
		return text
	default:
		return hex.EncodeToString(body)
	}
}

// text, open, write, read and attrs append the fields of requests to a packet.
func text(fields ...string) func(*sftp.Packet) {
	return func(p *sftp.Packet) {
		for _, field := range fields {
			p.Text(field)
		}
	}
}

func open(path string, flags uint32) func(*sftp.Packet) {
	return func(p *sftp.Packet) { p.Text(path).Uint32(flags).Attrs(sftp.Attrs{}) }
}

func write(handle string, offset uint64, data string) func(*sftp.Packet) {
	return func(p *sftp.Packet) { p.Text(handle).Uint64(offset).Text(data) }
}

func read(handle string, offset uint64, length uint32) func(*sftp.Packet) {
	return func(p *sftp.Packet) { p.Text(handle).Uint64(offset).Uint32(length) }
}

func attrs(name string, a sftp.Attrs) func(*sftp.Packet) {
	return func(p *sftp.Packet) { p.Text(name).Attrs(a) }
}

const readWrite = sftp.FlagRead | sftp.FlagWrite

// requests are sent one at a time, in this order; the name describes the case. Handles are numbered from 1 in the
// order in which they are opened.
var requests = []struct {
	name   string
	kind   sftp.Type
	fields func(*sftp.Packet)
}{
	{"realpath", sftp.Realpath, text("/meals/a/../b")},
	{"realpath that climbs", sftp.Realpath, text("/meals/../..")},
	{"limits", sftp.Extended, text("limits@openssh.com")},
	{"unknown extension", sftp.Extended, text("other@openssh.com")},
	{"unknown type", sftp.Readlink, text("/meals/a")},
	{"short packet", sftp.Open, text("/meals/a")},
	{"long packet", sftp.Stat, text("/meals/a", "more")},
	{"unknown volume", sftp.Stat, text("/other/a")},
	{"mkdir", sftp.Mkdir, attrs("/meals/dir", sftp.Attrs{HasMode: true, Mode: 0o700})},
	{"mkdir again", sftp.Mkdir, attrs("/meals/dir", sftp.Attrs{})},
	{"mkdir without parent", sftp.Mkdir, attrs("/meals/none/dir", sftp.Attrs{})},
	{"mkdir of a volume", sftp.Mkdir, attrs("/meals", sftp.Attrs{})},
	{"open of nothing", sftp.Open, open("/meals/dir/a", sftp.FlagRead)},
	{"open of the root", sftp.Open, open("/", sftp.FlagRead)},
	{"open of a folder", sftp.Open, open("/meals/dir", sftp.FlagRead)},
	{"create", sftp.Open, open("/meals/dir/a", readWrite|sftp.FlagCreate)},
	{"create exclusively", sftp.Open, open("/meals/dir/a", readWrite|sftp.FlagCreate|sftp.FlagExcl)},
	{"write", sftp.Write, write("1", 10, "first")},
	{"write in place", sftp.Write, write("1", 12, "second")},
	{"write of the second extent", sftp.Write, write("1", 65536, "third")},
	{"write over an edge", sftp.Write, write("1", 65534, "fourth")},
	{"write of nothing", sftp.Write, write("1", 5, "")},
	{"write beyond the end of all files", sftp.Write, write("1", 1<<51, "x")},
	{"read", sftp.Read, read("1", 8, 20)},
	{"read over an edge", sftp.Read, read("1", 65530, 100)},
	{"read past the end", sftp.Read, read("1", 1<<20, 10)},
	{"stat before commit", sftp.Stat, text("/meals/dir/a")},
	{"fsync", sftp.Extended, text("fsync@openssh.com", "1")},
	{"fsync again", sftp.Extended, text("fsync@openssh.com", "1")},
	{"fstat", sftp.Fstat, text("1")},
	{"setstat of mode and time", sftp.Setstat, attrs("/meals/dir/a", sftp.Attrs{HasMode: true, Mode: 0o600, HasTimes: true,
		Accessed: 1_800_000_000, Modified: 1_800_000_000})},
	{"fsetstat, shorter", sftp.Fsetstat, attrs("1", sftp.Attrs{HasSize: true, Size: 65535})},
	{"fsetstat, longer", sftp.Fsetstat, attrs("1", sftp.Attrs{HasSize: true, Size: 200000})},
	{"setstat of the volume", sftp.Setstat, attrs("/meals", sftp.Attrs{HasMode: true})},
	{"setstat of size", sftp.Setstat, attrs("/meals/dir/a", sftp.Attrs{HasSize: true, Size: 190000})},
	{"open for append", sftp.Open, open("/meals/dir/a", sftp.FlagWrite|sftp.FlagAppend)},
	{"append", sftp.Write, write("2", 0, "end")},
	{"read of a handle for writing", sftp.Read, read("2", 0, 1)},
	{"close", sftp.Close, text("2")},
	{"close again", sftp.Close, text("2")},
	{"open and cut", sftp.Open, open("/meals/dir/a", sftp.FlagWrite|sftp.FlagTrunc)},
	{"write anew", sftp.Write, write("3", 0, "anew")},
	{"close of the cut", sftp.Close, text("3")},
	{"fsetstat to nothing", sftp.Fsetstat, attrs("1", sftp.Attrs{HasSize: true})},
	{"close of the first", sftp.Close, text("1")},
	{"rename", sftp.Rename, text("/meals/dir/a", "/meals/b")},
	{"rename of nothing", sftp.Rename, text("/meals/dir/a", "/meals/b")},
	{"rename of a folder", sftp.Rename, text("/meals/dir", "/meals/d")},
	{"rename to another volume", sftp.Rename, text("/meals/b", "/")},
	{"create another", sftp.Open, open("/meals/c", readWrite|sftp.FlagCreate)},
	{"write of the other", sftp.Write, write("4", 0, "other")},
	{"close of the other", sftp.Close, text("4")},
	{"rename onto a file", sftp.Rename, text("/meals/b", "/meals/c")},
	{"posix-rename onto a file", sftp.Extended, text("posix-rename@openssh.com", "/meals/b", "/meals/c")},
	{"opendir", sftp.Opendir, text("/meals")},
	{"readdir", sftp.Readdir, text("5")},
	{"readdir at the end", sftp.Readdir, text("5")},
	{"opendir of the root", sftp.Opendir, text("/")},
	{"readdir of the root", sftp.Readdir, text("6")},
	{"opendir of a file", sftp.Opendir, text("/meals/c")},
	{"fsync of a folder", sftp.Extended, text("fsync@openssh.com", "5")},
	{"remove of a folder", sftp.Remove, text("/meals/dir")},
	{"rmdir", sftp.Rmdir, text("/meals/dir")},
	{"rmdir of a file", sftp.Rmdir, text("/meals/c")},
	{"remove", sftp.Remove, text("/meals/c")},
	{"remove again", sftp.Remove, text("/meals/c")},
}

// TestGoldenRequestsOfFilesAndDisks compares the node calls that client requests lead to, and the responses, byte for
// byte with the golden file.
func TestGoldenRequestsOfFilesAndDisks(t *testing.T) {
	b := newTestbed(t)
	b.exchange("init", sftp.New(sftp.Init, sftp.ProtocolVersion))
	for i, request := range requests {
		packet := sftp.New(request.kind, uint32(i+1))
		request.fields(packet)
		b.exchange(request.name, packet)
	}
	b.runDiskRequests()
	golden.Check(t, "requests.txt", b.transcript.Bytes())
}

func formatResult(r front.Result) string {
	return fmt.Sprintf("outcome %d after %s at byte %d: %q", r.Outcome, r.RetryAfter, r.MismatchOffset, r.Reason)
}

// runDiskRequests runs the requests of a block client.
func (b *testbed) runDiskRequests() {
	b.t.Helper()
	disk, err := b.front.OpenDisk("/meals/disk", 256<<10)
	if err != nil {
		b.t.Fatal(err)
	}
	b.record("disk", fmt.Sprint(disk.ExtentSize()))
	_, err = b.front.OpenDisk("/meals/disk", 128<<10)
	b.record("disk smaller than the file", fmt.Sprint(err))
	_, err = b.front.OpenDisk("/other/disk", 128<<10)
	b.record("disk of no volume", fmt.Sprint(err))
	client := b.front.NewClient()
	b.record("client", client.Name())
	b.record("disk write", formatResult(client.Write(disk, 1, 100, []byte("abcdef"), false)))
	b.record("disk write through", formatResult(client.Write(disk, 2, 102, []byte("xy"), true)))
	data, result := client.Read(disk, 3, 98, 10)
	b.record("disk read", fmt.Sprintf("%q %s", data, formatResult(result)))
	b.record("disk compare, different",
		formatResult(client.CompareAndWrite(disk, 4, 100, []byte("abcd"), []byte("1234"), false)))
	b.record("disk compare, equal",
		formatResult(client.CompareAndWrite(disk, 5, 100, []byte("abxy"), []byte("1234"), true)))
	b.record("disk zero", formatResult(client.Zero(disk, 6, 101, 128<<10)))
	b.record("disk sync", formatResult(client.Sync(disk, 7)))
	b.record("disk close", fmt.Sprint(disk.Close()))
	client.Close()
	b.record("left client", formatResult(client.Write(disk, 8, 0, []byte("a"), false)))
}
