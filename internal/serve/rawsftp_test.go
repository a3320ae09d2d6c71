package serve_test

import (
	"io"
	"net"
	"testing"
	"time"

	"irispost/internal/sftp"
	"irispost/internal/testkit"
)

// rawConn is an SFTP connection over which a test sends and receives single packets.
type rawConn struct {
	t    *testing.T
	conn net.Conn
	id   uint32
}

func dialRaw(t *testing.T, testbed *testkit.Testbed, gateway int) *rawConn {
	t.Helper()
	c, err := net.Dial("tcp", testbed.Gateways[gateway].Frontend.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &rawConn{t: t, conn: c}
}

func (c *rawConn) handshake() {
	c.t.Helper()
	write(c.t, c.conn, []byte{0, 0, 0, 5, 1, 0, 0, 0, 3})
	if f := c.receive(); f.Type != sftp.Version {
		c.t.Fatalf("received packet type %d, want VERSION", f.Type)
	}
}

func (c *rawConn) send(kind sftp.Type, fields func(*sftp.Packet)) {
	c.id++
	p := sftp.New(kind, c.id)
	fields(p)
	if err := p.WriteOut(c.conn); err != nil {
		c.t.Fatal(err)
	}
}

func (c *rawConn) receive() sftp.Frame {
	c.t.Helper()
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.conn, head); err != nil {
		c.t.Fatal(err)
	}
	body := make([]byte, int(head[2])<<8+int(head[3])+int(head[1])<<16-1)
	if _, err := io.ReadFull(c.conn, body); err != nil {
		c.t.Fatal(err)
	}
	return sftp.Frame{Type: sftp.Type(head[4]), Body: body}
}

func (c *rawConn) receiveStatus() (sftp.Code, string) {
	c.t.Helper()
	f := c.receive()
	if f.Type != sftp.Status {
		c.t.Fatalf("received packet type %d, want STATUS", f.Type)
	}
	_, r := f.ID()
	return sftp.Code(r.Uint32()), r.Text()
}

func (c *rawConn) open(path string, flags uint32) string {
	c.t.Helper()
	c.send(sftp.Open, func(p *sftp.Packet) { p.Text(path).Uint32(flags).Attrs(sftp.Attrs{}) })
	f := c.receive()
	_, r := f.ID()
	if f.Type != sftp.Handle {
		c.t.Fatalf("open of %s: status %d %q, want a handle", path, r.Uint32(), r.Text())
	}
	return r.Text()
}
