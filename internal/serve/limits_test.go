package serve_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"irispost/internal/sftp"
	"irispost/internal/testkit"
)

// TestConnectionLimitsAreReported: each limit of a connection has a stated answer.
func TestConnectionLimitsAreReported(t *testing.T) {
	conf := confWithBlock("  limits {\n    handles = 3\n    entries = 5\n    outstanding = 2\n  }\n")
	testbed := testkit.Start(t, conf, 1, 1, nil)
	conn := dialRaw(t, testbed, 0)
	conn.handshake()
	for i := range 3 {
		conn.open(fmt.Sprintf("/meals/f%d", i), sftp.FlagWrite|sftp.FlagCreate)
	}
	conn.send(sftp.Open, func(p *sftp.Packet) { p.Text("/meals/f0").Uint32(sftp.FlagRead).Attrs(sftp.Attrs{}) })
	if code, text := conn.receiveStatus(); code != sftp.Failure || !strings.Contains(text, "3 handles") {
		t.Errorf("a handle too many: %v %q", code, text)
	}
	command(t, testbed.Nodes[0], "hang")
	received := testbed.Nodes[0].AttemptsReceived()
	for range 5 {
		conn.send(sftp.Stat, func(p *sftp.Packet) { p.Text("/meals/f0") })
	}
	for testbed.Nodes[0].AttemptsReceived() < received+2 {
		time.Sleep(time.Millisecond)
	}
	f, _ := testbed.Gateways[0].Loop.Stats()
	if f.InFlight != 2 {
		t.Errorf("%d jobs are held, 2 requests may be out", f.InFlight)
	}
	command(t, testbed.Nodes[0], "well")
	for range 5 {
		if f := conn.receive(); f.Type != sftp.Attributes {
			t.Errorf("type %d", f.Type)
		}
	}
	for i := range 6 {
		if err := put(testbed.Client(0), fmt.Sprintf("/meals/f%d", i), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := testbed.Client(0).ReadDir("/meals"); err == nil || !strings.Contains(err.Error(), "5 entries") {
		t.Errorf("a folder too long: %v", err)
	}
}

// TestClientFarAheadOrBehindLosesConnection: a client that sends far ahead of its responses, or leaves far too many
// unread, loses its connection; others go on.
func TestClientFarAheadOrBehindLosesConnection(t *testing.T) {
	conf := confWithBlock(`  limits {
    outstanding = 4
    ahead       = "256KiB"
    unread      = "256KiB"
    packet      = "128KiB"
  }
`)
	testbed := testkit.Start(t, conf, 1, 1, nil)
	if err := put(testbed.Client(0), "/meals/f", randomBytes(1, 100_000)); err != nil {
		t.Fatal(err)
	}
	ahead := dialRaw(t, testbed, 0)
	ahead.handshake()
	handle := ahead.open("/meals/g", sftp.FlagWrite|sftp.FlagCreate)
	command(t, testbed.Nodes[0], "hang")
	packet := sftp.New(sftp.Write, 9).Text(handle).Uint64(0).Tail(make([]byte, 60_000))
	err := error(nil)
	for i := 0; err == nil; i++ {
		if err = packet.WriteOut(ahead.conn); i > 2000 {
			t.Fatal("120 MB are taken ahead of their answers")
		}
	}
	command(t, testbed.Nodes[0], "well")
	unread := dialRaw(t, testbed, 0)
	unread.handshake()
	handle = unread.open("/meals/f", sftp.FlagRead)
	read := sftp.New(sftp.Read, 9).Text(handle).Uint64(0).Uint32(100_000)
	for range 3000 { // 300 MB of answers; the kernel's buffers hold a few
		if read.WriteOut(unread.conn) != nil {
			break
		}
	}
	if n, _ := io.Copy(io.Discard, unread.conn); n > 200<<20 {
		t.Errorf("%d bytes were kept for a client that does not read", n)
	}
	testkit.RetryUntilDone(t, "another's", func() error { _, err := testbed.Client(0).Stat("/meals/f"); return err })
}
