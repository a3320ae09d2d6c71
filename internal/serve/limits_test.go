package serve_test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"irispost/internal/sftp"
	"irispost/internal/testkit"
)

// TestConnectionLimitsAreReported: requests that exceed the limits on handles and folder entries get an error that
// names the limit. Requests beyond the limit of outstanding ones wait.
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
		t.Errorf("open beyond the handle limit: %v %q, want a failure with \"3 handles\"", code, text)
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
		t.Errorf("%d requests in flight, want 2", f.InFlight)
	}
	command(t, testbed.Nodes[0], "well")
	for range 5 {
		if f := conn.receive(); f.Type != sftp.Attributes {
			t.Errorf("response of packet type %d, want ATTRS", f.Type)
		}
	}
	for i := range 6 {
		if err := put(testbed.Client(0), fmt.Sprintf("/meals/f%d", i), nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := testbed.Client(0).ReadDir("/meals"); err == nil || !strings.Contains(err.Error(), "5 entries") {
		t.Errorf("listing beyond the entry limit: error %v, want one with \"5 entries\"", err)
	}
}

// clientPause is how long a client that sends packets without reading pauses after each: thousands of packets then take
// seconds, so that their number does not depend on when the gateway looks at what has been sent ahead (every 50 ms) or
// on how fast it answers.
const clientPause = time.Millisecond

// sendUntilClosed sends a packet again and again, with pauses, until the gateway closes the connection, and returns
// whether it has. It gives up after limit packets.
func (c *rawConn) sendUntilClosed(packet *sftp.Packet, limit int) bool {
	c.t.Helper()
	for range limit {
		if err := packet.WriteOut(c.conn); errors.Is(err, os.ErrDeadlineExceeded) {
			c.t.Fatal("the gateway neither reads nor closes the connection")
		} else if err != nil {
			return true
		}
		time.Sleep(clientPause)
	}
	return false
}

// TestClientFarAheadOrBehindLosesConnection: the connection of a client is closed if it sends too many bytes ahead of
// its responses, or leaves too many bytes of responses unread. Other connections are still served.
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
	if !ahead.sendUntilClosed(packet, 2000) {
		t.Fatal("the gateway accepted 120 MB ahead of its responses, want it to close the connection")
	}
	command(t, testbed.Nodes[0], "well")
	unread := dialRaw(t, testbed, 0)
	unread.handshake()
	handle = unread.open("/meals/f", sftp.FlagRead)
	read := sftp.New(sftp.Read, 9).Text(handle).Uint64(0).Uint32(100_000)
	// 300 MB of responses, of which the kernel's buffers hold only a few. The client must not read before the connection
	// is closed: one that reads as fast as the gateway answers is not behind.
	if !unread.sendUntilClosed(read, 3000) {
		t.Error("the gateway accepted 3000 requests of a client that does not read, want it to close the connection")
	}
	if n, err := io.Copy(io.Discard, unread.conn); n > 200<<20 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes were buffered for a client that does not read (%v), want at most 200 MiB and a closed connection",
			n, err)
	}
	testkit.RetryUntilDone(t, "stat through another connection", func() error {
		_, err := testbed.Client(0).Stat("/meals/f")
		return err
	})
}
