package serve_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"irispost/internal/sftp"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// TestConcurrentWritesOfNewFileDoNotMix: two gateways write the same new file concurrently. Each extent then holds the
// data of one writer, both gateways read the same content, and no orphaned object remains.
func TestConcurrentWritesOfNewFileDoNotMix(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 2, 2, nil)
	const extentBytes = 64 << 10
	for round := range 5 {
		path := fmt.Sprintf("/meals/both%d", round)
		var running sync.WaitGroup
		for g := range 2 {
			running.Add(1)
			go func() {
				defer running.Done()
				f, err := testbed.Client(g).OpenFile(path, os.O_WRONLY|os.O_CREATE)
				if err != nil {
					t.Error(err)
					return
				}
				_, err = f.Write(bytes.Repeat([]byte{byte('a' + g)}, 3*extentBytes))
				if err = errors.Join(err, f.Close()); err != nil {
					t.Error(err)
				}
			}()
		}
		running.Wait()
		first, err1 := get(testbed.Client(0), path)
		second, err2 := get(testbed.Client(1), path)
		if err1 != nil || err2 != nil || len(first) != 3*extentBytes || !bytes.Equal(first, second) {
			t.Fatalf("gateways read %d and %d bytes (equal: %v), errors: %v, %v; want three equal extents",
				len(first), len(second), bytes.Equal(first, second), err1, err2)
		}
		for offset := 0; offset < len(first); offset += extentBytes {
			if n := bytes.Count(first[offset:offset+extentBytes], first[offset:offset+1]); n != extentBytes ||
				first[offset] != 'a' && first[offset] != 'b' {
				t.Errorf("extent at offset %d: %d of %d bytes equal its first byte, want all, from one writer",
					offset, n, extentBytes)
			}
		}
		if err := testbed.Client(0).Remove(path); err != nil {
			t.Fatal(err)
		}
	}
	for _, g := range testbed.Gateways { // replaced and removed objects are deleted in the background
		if err := g.Frontend.Drain(context.Background()); err != nil {
			t.Error(err)
		}
	}
	if n := testbed.Stores[0].ObjectCount() + testbed.Stores[1].ObjectCount(); n != 0 {
		t.Errorf("%d objects remain after removal of the files, want 0", n)
	}
}

// TestOpenHandleNeverReadsMixture: an open handle reads the old or the new content of a file that another gateway
// rewrites, never a mixture.
func TestOpenHandleNeverReadsMixture(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 2, 2, nil)
	a, b := testbed.Client(0), testbed.Client(1)
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
	if err := testbed.Gateways[1].Frontend.Drain(context.Background()); err != nil { // the old object is then deleted
		t.Error(err)
	}
	got := make([]byte, 1000)
	if _, err := f.ReadAt(got, 0); err != nil && !errors.Is(err, io.EOF) || bytes.Count(got, []byte{'2'}) != 1000 {
		t.Errorf("read through the open handle: %q..., error %v, want only '2'", got[:10], err)
	}
}

// TestOverlappingRequestsKeepTheirOrder: overlapping writes and reads of a session have the same results as if sent
// one at a time, no matter how many are in flight.
func TestOverlappingRequestsKeepTheirOrder(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 2, 1, func(o *standin.Options) { o.UnitTime = 100 * time.Microsecond })
	conn := dialRaw(t, testbed, 0)
	conn.handshake()
	handle := conn.open("/meals/f", sftp.FlagRead|sftp.FlagWrite|sftp.FlagCreate)
	r := rand.New(rand.NewPCG(1, 2))
	model := make([]byte, 200_000)
	want := map[uint32][]byte{}
	first := conn.id + 1
	conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(0).Tail(model) })
	for range 150 {
		offset, n := r.IntN(190_000), 1+r.IntN(9000)
		if r.IntN(2) == 0 {
			data := randomBytes(r.Uint64(), n)
			copy(model[offset:], data)
			conn.send(sftp.Write, func(p *sftp.Packet) { p.Text(handle).Uint64(uint64(offset)).Tail(data) })
		} else {
			conn.send(sftp.Read, func(p *sftp.Packet) { p.Text(handle).Uint64(uint64(offset)).Uint32(uint32(n)) })
			want[conn.id] = bytes.Clone(model[offset : offset+n])
		}
	}
	for range conn.id - first + 1 {
		f := conn.receive()
		id, fields := f.ID()
		if data, read := want[id]; read {
			if f.Type != sftp.Data || !bytes.Equal(fields.Bytes(), data) {
				t.Errorf("read %d does not return the bytes written before it (packet type %d)", id, f.Type)
			}
		} else if code := sftp.Code(fields.Uint32()); code != sftp.OK {
			t.Errorf("write %d: status %v %s, want OK", id, code, fields.Text())
		}
	}
}

// TestFullQueueSlowsClients: with the smallest event queue, hundreds of requests from many connections wait in their
// sockets, and none is lost.
func TestFullQueueSlowsClients(t *testing.T) {
	conf := confWithBlock("  limits {\n    queue = 16\n  }\n")
	testbed := testkit.Start(t, conf, 2, 1, nil)
	if err := put(testbed.Client(0), "/meals/f", nil); err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	for range 8 {
		conn := dialRaw(t, testbed, 0)
		running.Add(1)
		go func() {
			defer running.Done()
			conn.handshake()
			for range 400 {
				conn.send(sftp.Stat, func(p *sftp.Packet) { p.Text("/meals/f") })
			}
			answers := map[uint32]int{}
			for range 400 {
				f := conn.receive()
				id, _ := f.ID()
				answers[id]++
			}
			if len(answers) != 400 {
				t.Errorf("%d of 400 requests were answered, want all", len(answers))
			}
		}()
	}
	running.Wait()
	f, _ := testbed.Gateways[0].Loop.Stats()
	sum := int64(0)
	for _, c := range f.Classes {
		if c.Accepted != c.Succeeded+c.Rejected+c.Failed+c.Cancelled {
			t.Errorf("got counts %+v, want accepted requests to be the sum of all outcomes", c)
		}
		sum += c.Accepted
	}
	if sum < 3200 || f.InFlight != 0 {
		t.Errorf("%d requests accepted, %d in flight, want at least 3200 and 0", sum, f.InFlight)
	}
}

// TestManyRequestsForRootAreServed: requests for the root folder, which belongs to no volume and has no request class,
// are ordered like any others: a listing is returned once, and all requests are answered.
func TestManyRequestsForRootAreServed(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 1, 1, nil)
	for range 20 {
		conn := dialRaw(t, testbed, 0)
		conn.handshake()
		conn.send(sftp.Opendir, func(p *sftp.Packet) { p.Text("/") })
		_, r := conn.receive().ID()
		handle := r.Text()
		for range 50 {
			conn.send(sftp.Readdir, func(p *sftp.Packet) { p.Text(handle) })
			conn.send(sftp.Stat, func(p *sftp.Packet) { p.Text("/") })
		}
		names := 0
		for range 100 {
			if conn.receive().Type == sftp.Name {
				names++
			}
		}
		if names != 1 {
			t.Errorf("the names in the root folder are returned %d times, want once", names)
		}
	}
}
