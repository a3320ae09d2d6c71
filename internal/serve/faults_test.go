package serve_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/endpoint"
	"irispost/internal/serve"
	"irispost/internal/sftp"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// A file that is written through one gateway is read back equal through another, while nodes fail, are slow, lose
// answers and break connections.
func TestEqualThroughAnotherGatewayWhileNodesFail(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 3, 2, func(o *standin.Options) { o.UnitTime = 50 * time.Microsecond })
	a, b := w.Client(0), w.Client(1)
	for i, trouble := range []string{"fail 0.3", "slow 10", "stall 50ms"} {
		if err := w.Nodes[i].Command(trouble); err != nil {
			t.Fatal(err)
		}
	}
	var all sync.WaitGroup
	for i := range 6 {
		all.Add(1)
		go func() {
			defer all.Done()
			path, data := fmt.Sprintf("/meals/f%d", i), random(uint64(i), 50_000*(i+1))
			testkit.RetryUntilDone(t, "put", func() error { return put(a, path, data) })
			if i == 3 {
				w.Nodes[1].Command("reset")
			}
			testkit.RetryUntilDone(t, "get", func() error {
				got, err := get(b, path)
				if err == nil && sha256.Sum256(got) != sha256.Sum256(data) {
					t.Errorf("%s comes back otherwise", path)
				}
				return err
			})
		}()
	}
	all.Wait()
}

// Two gateways write the same new file at once: each extent holds what one of them wrote, both read the same, and no
// object is left over.
func TestTwoGatewaysWriteOneNewFile(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 2, 2, nil)
	const run = 64 << 10
	for round := range 5 {
		path := fmt.Sprintf("/meals/both%d", round)
		var all sync.WaitGroup
		for g := range 2 {
			all.Add(1)
			go func() {
				defer all.Done()
				f, err := w.Client(g).OpenFile(path, os.O_WRONLY|os.O_CREATE)
				if err != nil {
					t.Error(err)
					return
				}
				_, err = f.Write(bytes.Repeat([]byte{byte('a' + g)}, 3*run))
				if err = errors.Join(err, f.Close()); err != nil {
					t.Error(err)
				}
			}()
		}
		all.Wait()
		x, err1 := get(w.Client(0), path)
		y, err2 := get(w.Client(1), path)
		if err1 != nil || err2 != nil || len(x) != 3*run || !bytes.Equal(x, y) {
			t.Fatalf("%d and %d bytes, equal %v, %v, %v", len(x), len(y), bytes.Equal(x, y), err1, err2)
		}
		for at := 0; at < len(x); at += run {
			if n := bytes.Count(x[at:at+run], x[at:at+1]); n != run || x[at] != 'a' && x[at] != 'b' {
				t.Errorf("extent at %d mixes writers: %d of %d bytes", at, n, run)
			}
		}
		if err := w.Client(0).Remove(path); err != nil {
			t.Fatal(err)
		}
	}
	for _, g := range w.Gateways { // what was dropped is dropped by duties
		g.Frontend.Drain(context.Background())
	}
	if n := w.Stores[0].Objects() + w.Stores[1].Objects(); n != 0 {
		t.Errorf("%d objects are left over", n)
	}
}

// A gateway that is killed between an extent's write and its record leaves an orphan; a sweep finds it, and only it.
func TestSweepFindsOrphans(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 2, 2, nil)
	if err := put(w.Client(1), "/meals/kept", random(1, 100_000)); err != nil {
		t.Fatal(err)
	}
	if err := w.Client(1).Rename("/meals/kept", "/meals/moved"); err != nil {
		t.Fatal(err)
	}
	kept := w.Stores[0].Objects() + w.Stores[1].Objects()
	conn := dialRaw(t, w, 0)
	conn.hello()
	handle := conn.open("/meals/lost", sftp.FlagWrite|sftp.FlagCreate)
	conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(0).Tail(random(2, 1000)) })
	if code, text := conn.status(); code != sftp.OK {
		t.Fatal(text)
	}
	if n := w.Stores[0].Objects() + w.Stores[1].Objects(); n != kept+1 {
		t.Fatalf("%d objects, %d were there", n, kept)
	}
	w.Gateways[0].Loop.Stop() // no commit gets through any more
	w.Gateways[0].Kill()
	w.Gateways = w.Gateways[1:]
	seen, removed := 0, 0
	for shard := range 2 {
		s, r, err := w.Gateways[0].Frontend.Sweep(shard, 0)
		if err != nil {
			t.Fatal(err)
		}
		seen, removed = seen+s, removed+r
	}
	if seen != kept+1 || removed != 1 {
		t.Errorf("%d objects seen, %d removed; %d are in use", seen, removed, kept)
	}
	if got, err := get(w.Client(0), "/meals/moved"); err != nil || !bytes.Equal(got, random(1, 100_000)) {
		t.Errorf("after the sweep: %d bytes, %v", len(got), err)
	}
}

// A file that another gateway writes anew while a handle is open is read as it was or as it is, never as a mixture.
func TestRecordChangedElsewhere(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 2, 2, nil)
	a, b := w.Client(0), w.Client(1)
	if err := put(a, "/meals/f", bytes.Repeat([]byte{'1'}, 1000)); err != nil {
		t.Fatal(err)
	}
	f, err := a.Open("/meals/f")
	if err != nil {
		t.Fatal(err)
	}
	if err := put(b, "/meals/f", bytes.Repeat([]byte{'2'}, 1000)); err != nil {
		t.Fatal(err)
	}
	w.Gateways[1].Frontend.Drain(context.Background()) // the old object is gone
	got := make([]byte, 1000)
	if _, err := f.ReadAt(got, 0); err != nil && err != io.EOF || bytes.Count(got, []byte{'2'}) != 1000 {
		t.Errorf("%q..., %v", got[:10], err)
	}
}

// Files are renamed by many at once, through two gateways, amid failures: none vanishes and none is there twice. One
// whose move was cut off half way is brought to its end by whoever meets it.
func TestRenamesLoseNothing(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 3, 2, func(o *standin.Options) { o.UnitTime = 20 * time.Microsecond })
	clients := []func(string, string) error{w.Client(0).Rename, w.Client(1).Rename, w.Client(0).Rename}
	const files, names = 4, 7
	for i := range files {
		if err := put(w.Client(0), fmt.Sprintf("/meals/n%d", i), random(uint64(i), 100+i)); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range w.Nodes {
		n.Command("fail 0.1")
	}
	var all sync.WaitGroup
	for c, rename := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewPCG(uint64(c), 9))
			for range 60 {
				rename(fmt.Sprintf("/meals/n%d", r.IntN(names)), fmt.Sprintf("/meals/n%d", r.IntN(names)))
			}
		}()
	}
	all.Wait()
	for _, n := range w.Nodes {
		n.Command("well")
	}
	found := map[string]int{}
	for i := range names {
		got, err := get(w.Client(1), fmt.Sprintf("/meals/n%d", i))
		if err == nil {
			found[string(got)]++
		} else if !errors.Is(err, os.ErrNotExist) {
			t.Error(err)
		}
	}
	for i := range files {
		if n := found[string(random(uint64(i), 100+i))]; n != 1 {
			t.Errorf("file %d is there %d times", i, n)
		}
	}
	if len(found) != files {
		t.Errorf("%d contents are there, %d were put", len(found), files)
	}
}

// A request whose nodes answer nothing gets its answer when its client's patience ends, others at other nodes are not
// held up, and a node that a list leaves out gets nothing new.
func TestHangAndDrain(t *testing.T) {
	conf := strings.ReplaceAll(strings.ReplaceAll(testkit.Conf, `"5s"`, `"1500ms"`), `"3s"`, `"1s"`)
	w := testkit.Start(t, conf, 2, 1, nil)
	c := w.Client(0)
	var files [2]string // one whose record is at each shard
	for i := 0; files[0] == "" || files[1] == ""; i++ {
		path := fmt.Sprintf("/meals/f%d", i)
		before := w.Nodes[0].AttemptsReceived()
		if err := put(c, path, nil); err != nil {
			t.Fatal(err)
		}
		if w.Nodes[0].AttemptsReceived() > before {
			files[0] = path
		} else {
			files[1] = path
		}
	}
	w.Nodes[0].Command("hang")
	if _, err := c.Stat(files[0]); err == nil || !strings.Contains(err.Error(), "dismissed") {
		t.Errorf("a read at a node that hangs: %v", err)
	}
	if _, err := c.Stat(files[1]); err != nil {
		t.Errorf("another node's: %v", err)
	}
	if _, err := c.ReadDir("/meals"); err == nil {
		t.Error("a listing without a shard is given as whole")
	}
	l := w.List()
	l.Nodes[0].Health = endpoint.Draining
	w.UpdateEndpoints(l)
	w.Nodes[0].Command("well")
	c.Stat(files[1]) // the list was told before this
	before := w.Nodes[0].AttemptsReceived()
	if _, err := c.Stat(files[0]); err == nil {
		t.Error("a node that drains serves")
	}
	if n := w.Nodes[0].AttemptsReceived() - before; n != 0 {
		t.Errorf("a node that drains gets %d executions", n)
	}
	w.UpdateEndpoints(w.List())
	testkit.RetryUntilDone(t, "stat", func() error { _, err := c.Stat(files[0]); return err })
}

// A stop answers what is out, takes nothing new and says so; at its deadline the rest is written off.
func TestStop(t *testing.T) {
	for _, hang := range []bool{false, true} {
		w := testkit.Start(t, testkit.Conf, 1, 1, func(o *standin.Options) { o.UnitTime = 20 * time.Millisecond })
		conn, g := dialRaw(t, w, 0), w.Gateways[0]
		conn.hello()
		handle := conn.open("/meals/f", sftp.FlagWrite|sftp.FlagCreate)
		if hang {
			w.Nodes[0].Command("hang")
		}
		got := w.Nodes[0].AttemptsReceived()
		conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(0).Tail(make([]byte, 32<<10)) })
		for w.Nodes[0].AttemptsReceived() == got {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(context.Background(), map[bool]time.Duration{false: time.Minute, true: 50 * time.Millisecond}[hang])
		stopped := make(chan error, 1)
		go func() { stopped <- g.Shutdown(ctx) }()
		code, text := conn.status()
		if !hang && code != sftp.OK || hang && !strings.HasPrefix(text, "written off") {
			t.Errorf("hang %v: %v %q", hang, code, text)
		}
		if err := <-stopped; (err != nil) != hang || hang && !errors.Is(err, serve.ErrRequestsInFlight) {
			t.Errorf("hang %v: stop says %v", hang, err)
		}
		cancel()
	}
}

// Bad input gets a clear answer or the end of its connection, and others notice nothing.
func TestBadInput(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 1, 1, nil)
	other := w.Client(0)
	status := func(name string, code sftp.Code, kind sftp.Type, fields func(*sftp.Packet)) {
		t.Helper()
		conn := dialRaw(t, w, 0)
		conn.hello()
		conn.send(kind, fields)
		if got, text := conn.status(); got != code || text == "" {
			t.Errorf("%s: %v %q, not %v", name, got, text, code)
		}
		conn.send(sftp.Stat, func(p *sftp.Packet) { p.Text("/") })
		if f := conn.next(); f.Type != sftp.Attributes {
			t.Errorf("%s: the connection does not go on", name)
		}
	}
	text := func(s string) func(*sftp.Packet) { return func(p *sftp.Packet) { p.Text(s) } }
	status("unknown type", sftp.OpUnsupported, 77, text("x"))
	status("symlink", sftp.OpUnsupported, sftp.Symlink, func(p *sftp.Packet) { p.Text("/meals/a").Text("/meals/b") })
	status("unknown extension", sftp.OpUnsupported, sftp.Extended, text("x@y"))
	status("string past its packet", sftp.BadMessage, sftp.Stat, func(p *sftp.Packet) { p.Uint32(1 << 30).Byte(1) })
	status("truncated", sftp.BadMessage, sftp.Read, func(p *sftp.Packet) { p.Text("1").Uint32(0) })
	status("more than its fields", sftp.BadMessage, sftp.Stat, func(p *sftp.Packet) { p.Text("/meals").Byte(1) })
	status("wrong handle", sftp.Failure, sftp.Read, func(p *sftp.Packet) { p.Text("9").Uint64(0).Uint32(1) })
	status("climbs", sftp.Denied, sftp.Stat, text("/meals/../other/x"))
	status("no such volume", sftp.NoSuchFile, sftp.Stat, text("/nothing/x"))
	status("volume removed", sftp.Denied, sftp.Mkdir, func(p *sftp.Packet) { p.Text("/").Attrs(sftp.Attrs{}) })
	for name, bytes := range map[string][]byte{
		"too long":       {0x7f, 0, 0, 0, 3},
		"too short":      {0, 0, 0, 1, 3},
		"no id":          {0, 0, 0, 3, 17, 0, 0},
		"no INIT first":  {0, 0, 0, 5, 17, 0, 0, 0, 1},
		"an old version": {0, 0, 0, 5, 1, 0, 0, 0, 2},
	} {
		conn := dialRaw(t, w, 0)
		if !strings.Contains(name, "INIT") && !strings.Contains(name, "version") {
			conn.hello()
		}
		conn.raw.Write(bytes)
		if n, err := conn.raw.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: the connection goes on with %d bytes", name, n)
		}
	}
	r := rand.New(rand.NewPCG(3, 3))
	for range 30 { // noise
		conn := dialRaw(t, w, 0)
		conn.hello()
		for range 20 {
			b := make([]byte, 4+r.IntN(60))
			for i := range b {
				b[i] = byte(r.Uint32())
			}
			b[0], b[1], b[2], b[3] = 0, 0, 0, byte(len(b)-4)
			conn.raw.Write(b)
		}
		conn.raw.Close()
	}
	if err := put(other, "/meals/fine", random(1, 1000)); err != nil {
		t.Errorf("another connection: %v", err)
	}
}

// Writes and reads that overlap have the results that they would have one at a time, however many are out.
func TestOverlappingRequestsKeepTheirOrder(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 2, 1, func(o *standin.Options) { o.UnitTime = 100 * time.Microsecond })
	conn := dialRaw(t, w, 0)
	conn.hello()
	handle := conn.open("/meals/f", sftp.FlagRead|sftp.FlagWrite|sftp.FlagCreate)
	r := rand.New(rand.NewPCG(1, 2))
	model := make([]byte, 200_000)
	want := map[uint32][]byte{}
	first := conn.id + 1
	conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(0).Tail(model) })
	for range 150 {
		from, n := r.IntN(190_000), 1+r.IntN(9000)
		if r.IntN(2) == 0 {
			data := random(r.Uint64(), n)
			copy(model[from:], data)
			conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(uint64(from)).Tail(data) })
		} else {
			conn.send(sftp.Read, func(p *sftp.Packet) { p.Text(handle).Uint64(uint64(from)).Uint32(uint32(n)) })
			want[conn.id] = bytes.Clone(model[from : from+n])
		}
	}
	for range conn.id - first + 1 {
		f := conn.next()
		id, fields := f.ID()
		if data, read := want[id]; read {
			if f.Type != sftp.Data || !bytes.Equal(fields.Bytes(), data) {
				t.Errorf("read %d gives other bytes than were written before it (type %d)", id, f.Type)
			}
		} else if code := sftp.Code(fields.Uint32()); code != sftp.OK {
			t.Errorf("write %d: %v %s", id, code, fields.Text())
		}
	}
}

// Limits of a connection have a stated answer.
func TestLimits(t *testing.T) {
	conf := strings.Replace(testkit.Conf, "gateways = 2\n", "gateways = 2\n  limits {\n    handles = 3\n    entries = 5\n    outstanding = 2\n  }\n", 1)
	w := testkit.Start(t, conf, 1, 1, nil)
	conn := dialRaw(t, w, 0)
	conn.hello()
	for i := range 3 {
		conn.open(fmt.Sprintf("/meals/f%d", i), sftp.FlagWrite|sftp.FlagCreate)
	}
	conn.send(sftp.Open, func(p *sftp.Packet) { p.Text("/meals/f0").Uint32(sftp.FlagRead).Attrs(sftp.Attrs{}) })
	if code, text := conn.status(); code != sftp.Failure || !strings.Contains(text, "3 handles") {
		t.Errorf("a handle too many: %v %q", code, text)
	}
	w.Nodes[0].Command("hang")
	got := w.Nodes[0].AttemptsReceived()
	for range 5 {
		conn.send(sftp.Stat, func(p *sftp.Packet) { p.Text("/meals/f0") })
	}
	for w.Nodes[0].AttemptsReceived() < got+2 {
		time.Sleep(time.Millisecond)
	}
	f, _ := w.Gateways[0].Loop.Stats()
	if f.InFlight != 2 {
		t.Errorf("%d jobs are held, 2 requests may be out", f.InFlight)
	}
	w.Nodes[0].Command("well")
	for range 5 {
		if f := conn.next(); f.Type != sftp.Attributes {
			t.Errorf("type %d", f.Type)
		}
	}
	for i := range 6 {
		if err := put(w.Client(0), fmt.Sprintf("/meals/f%d", i), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.Client(0).ReadDir("/meals"); err == nil || !strings.Contains(err.Error(), "5 entries") {
		t.Errorf("a folder too long: %v", err)
	}
}

// With the smallest queue of events, hundreds of requests from many connections wait at their sockets; none is dropped.
func TestFullQueuePushesBack(t *testing.T) {
	conf := strings.Replace(testkit.Conf, "gateways = 2\n", "gateways = 2\n  limits {\n    queue = 16\n  }\n", 1)
	w := testkit.Start(t, conf, 2, 1, nil)
	if err := put(w.Client(0), "/meals/f", nil); err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for range 8 {
		conn := dialRaw(t, w, 0)
		all.Add(1)
		go func() {
			defer all.Done()
			conn.hello()
			for range 400 {
				conn.send(sftp.Stat, func(p *sftp.Packet) { p.Text("/meals/f") })
			}
			answers := map[uint32]int{}
			for range 400 {
				f := conn.next()
				id, _ := f.ID()
				answers[id]++
			}
			if len(answers) != 400 {
				t.Errorf("%d of 400 requests have their answer", len(answers))
			}
		}()
	}
	all.Wait()
	f, _ := w.Gateways[0].Loop.Stats()
	sum := int64(0)
	for _, c := range f.Classes {
		if c.Accepted != c.Succeeded+c.Rejected+c.Failed+c.Cancelled {
			t.Errorf("%+v", c)
		}
		sum += c.Accepted
	}
	if sum < 3200 || f.InFlight != 0 {
		t.Errorf("%d jobs taken, %d held", sum, f.InFlight)
	}
}

// A client that sends on far ahead of its answers, or leaves far too many unread, loses its connection; others go on.
func TestClientsThatDoNotKeepStep(t *testing.T) {
	conf := strings.Replace(testkit.Conf, "gateways = 2\n", `gateways = 2
  limits {
    outstanding = 4
    ahead       = "256KiB"
    unread      = "256KiB"
    packet      = "128KiB"
  }
`, 1)
	w := testkit.Start(t, conf, 1, 1, nil)
	if err := put(w.Client(0), "/meals/f", random(1, 100_000)); err != nil {
		t.Fatal(err)
	}
	ahead := dialRaw(t, w, 0)
	ahead.hello()
	handle := ahead.open("/meals/g", sftp.FlagWrite|sftp.FlagCreate)
	w.Nodes[0].Command("hang")
	packet := sftp.New(sftp.Write, 9).Text(handle).Uint64(0).Tail(make([]byte, 60_000))
	err := error(nil)
	for i := 0; err == nil; i++ {
		if err = packet.WriteOut(ahead.raw); i > 2000 {
			t.Fatal("120 MB are taken ahead of their answers")
		}
	}
	w.Nodes[0].Command("well")
	unread := dialRaw(t, w, 0)
	unread.hello()
	handle = unread.open("/meals/f", sftp.FlagRead)
	read := sftp.New(sftp.Read, 9).Text(handle).Uint64(0).Uint32(100_000)
	for range 3000 { // 300 MB of answers; the kernel's buffers hold a few
		if read.WriteOut(unread.raw) != nil {
			break
		}
	}
	if n, _ := io.Copy(io.Discard, unread.raw); n > 200<<20 {
		t.Errorf("%d bytes were kept for a client that does not read", n)
	}
	testkit.RetryUntilDone(t, "another's", func() error { _, err := w.Client(0).Stat("/meals/f"); return err })
}

// Requests for the root of all volumes, which has no product, wait for each other as any others do.
func TestManyOutstandingAtTheRoot(t *testing.T) {
	w := testkit.Start(t, testkit.Conf, 1, 1, nil)
	for range 20 {
		conn := dialRaw(t, w, 0)
		conn.hello()
		conn.send(sftp.Opendir, func(p *sftp.Packet) { p.Text("/") })
		_, r := conn.next().ID()
		handle := r.Text()
		for range 50 {
			conn.send(sftp.Readdir, func(p *sftp.Packet) { p.Text(handle) })
			conn.send(sftp.Stat, func(p *sftp.Packet) { p.Text("/") })
		}
		names := 0
		for range 100 {
			if conn.next().Type == sftp.Name {
				names++
			}
		}
		if names != 1 {
			t.Errorf("the root's names are given %d times", names)
		}
	}
}

// raw is a connection that sends what a test says.
type raw struct {
	t   *testing.T
	raw net.Conn
	id  uint32
}

func dialRaw(t *testing.T, w *testkit.Testbed, gateway int) *raw {
	t.Helper()
	c, err := net.Dial("tcp", w.Gateways[gateway].Frontend.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(time.Minute))
	t.Cleanup(func() { c.Close() })
	return &raw{t: t, raw: c}
}

func (c *raw) hello() {
	c.t.Helper()
	c.raw.Write([]byte{0, 0, 0, 5, 1, 0, 0, 0, 3})
	if f := c.next(); f.Type != sftp.Version {
		c.t.Fatalf("type %d in place of VERSION", f.Type)
	}
}

func (c *raw) send(kind sftp.Type, fields func(*sftp.Packet)) {
	c.id++
	p := sftp.New(kind, c.id)
	fields(p)
	if err := p.WriteOut(c.raw); err != nil {
		c.t.Fatal(err)
	}
}

func (c *raw) next() sftp.Frame {
	c.t.Helper()
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.raw, head); err != nil {
		c.t.Fatal(err)
	}
	body := make([]byte, int(head[2])<<8+int(head[3])+int(head[1])<<16-1)
	if _, err := io.ReadFull(c.raw, body); err != nil {
		c.t.Fatal(err)
	}
	return sftp.Frame{Type: sftp.Type(head[4]), Body: body}
}

func (c *raw) status() (sftp.Code, string) {
	c.t.Helper()
	f := c.next()
	if f.Type != sftp.Status {
		c.t.Fatalf("type %d in place of STATUS", f.Type)
	}
	_, r := f.ID()
	return sftp.Code(r.Uint32()), r.Text()
}

func (c *raw) open(path string, flags uint32) string {
	c.t.Helper()
	c.send(sftp.Open, func(p *sftp.Packet) { p.Text(path).Uint32(flags).Attrs(sftp.Attrs{}) })
	f := c.next()
	_, r := f.ID()
	if f.Type != sftp.Handle {
		c.t.Fatalf("open of %s: %d %q", path, r.Uint32(), r.Text())
	}
	return r.Text()
}
