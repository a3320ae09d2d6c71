package serve_test

import (
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"testing"

	"irispost/internal/sftp"
	"irispost/internal/testkit"
)

// TestMalformedInputIsRejectedOrEndsConnection: malformed input is answered with an error or ends its connection.
// Other connections are not affected.
func TestMalformedInputIsRejectedOrEndsConnection(t *testing.T) {
	testbed := testkit.Start(t, testkit.Conf, 1, 1, nil)
	other := testbed.Client(0)
	status := func(name string, code sftp.Code, kind sftp.Type, fields func(*sftp.Packet)) {
		t.Helper()
		conn := dialRaw(t, testbed, 0)
		conn.handshake()
		conn.send(kind, fields)
		if got, text := conn.receiveStatus(); got != code || text == "" {
			t.Errorf("%s: status %v %q, want %v with a message", name, got, text, code)
		}
		conn.send(sftp.Stat, func(p *sftp.Packet) { p.Text("/") })
		if f := conn.receive(); f.Type != sftp.Attributes {
			t.Errorf("%s: the connection does not serve further requests", name)
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
		conn := dialRaw(t, testbed, 0)
		if !strings.Contains(name, "INIT") && !strings.Contains(name, "version") {
			conn.handshake()
		}
		_, _ = conn.conn.Write(bytes) // the gateway may have closed the connection already
		if n, err := conn.conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: the connection stays open and returned %d bytes, want it closed", name, n)
		}
	}
	r := rand.New(rand.NewPCG(3, 3))
	for range 30 { // random packets
		conn := dialRaw(t, testbed, 0)
		conn.handshake()
		for range 20 {
			b := make([]byte, 4+r.IntN(60))
			for i := range b {
				b[i] = byte(r.Uint32())
			}
			binary.BigEndian.PutUint32(b, uint32(len(b)-4))
			_, _ = conn.conn.Write(b) // the connection may be closed, as above
		}
		_ = conn.conn.Close()
	}
	if err := put(other, "/meals/fine", randomBytes(1, 1000)); err != nil {
		t.Errorf("put through another connection: %v", err)
	}
}
