package sftp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

// FuzzFields reads any bytes as each kind of field: nothing panics, and nothing is read past the packet.
func FuzzFields(f *testing.F) {
	f.Add([]byte{0, 0, 0, 3, 'a', 'b', 'c'}, []byte{0, 1, 2})
	f.Add(New(Open, 7).Text("/v/x").Uint32(FlagCreate).Attrs(Attrs{HasSize: true, Size: 9, HasTimes: true}).Body(), []byte{3, 4, 0, 5})
	f.Add([]byte{0x80, 0, 0, 0, 255, 255, 255, 255}, []byte{5, 0, 1})
	f.Fuzz(func(t *testing.T, packet, plan []byte) {
		r := NewFields(packet)
		read := 0
		for _, p := range plan {
			switch p % 6 {
			case 0:
				read += len(r.Bytes())
			case 1:
				r.Byte()
			case 2:
				r.Uint32()
			case 3:
				r.Uint64()
			case 4:
				read += len(r.Text())
			case 5:
				r.Attrs()
			}
		}
		if read > len(packet) {
			t.Errorf("%d bytes read from %d", read, len(packet))
		}
		if r.Err != nil && (r.Byte() != 0 || r.Uint32() != 0 || r.Done() == nil) {
			t.Error("reads go on after an error")
		}
	})
}

func TestFieldsComeBack(t *testing.T) {
	a := Attrs{HasSize: true, HasMode: true, HasTimes: true, Size: 1 << 40, Mode: 0o100644, Accessed: 5, Modified: 6}
	p := New(Write, 9).Text("handle").Uint64(1 << 50).Attrs(a).Byte(3)
	r := NewFields(p.Body())
	if r.Uint32() != 9 || r.Text() != "handle" || r.Uint64() != 1<<50 || r.Attrs() != a || r.Byte() != 3 || r.Done() != nil {
		t.Error("fields come back otherwise")
	}
	if r = NewFields([]byte{0, 0, 0, 1, 2, 3}); r.Bytes()[0] != 2 || !errors.Is(r.Done(), ErrExtra) {
		t.Error("bytes that are left are not noticed")
	}
	if r = NewFields([]byte{0, 0, 0, 9, 2}); r.Bytes() != nil || !errors.Is(r.Done(), ErrShort) {
		t.Error("a string that runs past its packet is not noticed")
	}
}

// echo answers each packet with its bytes, as a string without a copy.
type echo struct {
	conn   *Conn
	closed chan error
}

func (e *echo) Packet(f Frame) error {
	id, r := f.ID()
	e.conn.Send(New(Data, id).Tail(r.Bytes()))
	return nil
}
func (e *echo) Closed(why error) { e.closed <- why }

// Packets pass whole whatever their size and however they are cut; a length out of bounds ends the connection with its
// reason, and one connection more than is taken is closed.
func TestConnections(t *testing.T) {
	closed := make(chan error, 8)
	b := DefaultLimits
	b.MaxPacket = 70_000
	s, err := Listen("127.0.0.1:0", b, 2, func(c *Conn) Peer { return &echo{c, closed} })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	raw, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	_ = raw.SetDeadline(time.Now().Add(20 * time.Second))
	for _, size := range []int{0, 1, 4095, 5000, 65_000} {
		data := bytes.Repeat([]byte{byte(size)}, size)
		head, tail := New(Write, uint32(size)).Tail(data).Bytes()
		packet := append(head, tail...)
		for len(packet) > 0 { // in pieces
			n := min(len(packet), 1+size/3)
			send(t, raw, packet[:n])
			packet = packet[n:]
		}
		got := make([]byte, 13+size)
		if _, err := readFull(raw, got); err != nil || got[4] != byte(Data) || !bytes.Equal(got[13:], data) {
			t.Fatalf("%d bytes come back otherwise: %v", size, err)
		}
	}
	second, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	send(t, second, []byte{0, 0, 0, 9, 6, 0, 0, 0, 1, 0, 0, 0, 0})
	if _, err := readFull(second, make([]byte, 13)); err != nil {
		t.Fatal(err)
	}
	third, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = third.Close() }()
	_ = third.SetDeadline(time.Now().Add(20 * time.Second))
	if n, err := third.Read(make([]byte, 1)); err == nil {
		t.Errorf("a third connection is served %d bytes", n)
	}
	send(t, raw, binary.BigEndian.AppendUint32(nil, 70_001))
	send(t, raw, []byte{5})
	if why := <-closed; !errors.Is(why, ErrLength) || !strings.Contains(why.Error(), "70001") {
		t.Errorf("closed because: %v", why)
	}
}

func send(t *testing.T, c net.Conn, b []byte) {
	t.Helper()
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
}

func readFull(c net.Conn, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var k int
		k, err = c.Read(b[n:])
		n += k
	}
	return n, err
}

// flood answers each packet with many, from several goroutines.
type flood struct{ conn *Conn }

func (f *flood) Packet(Frame) error {
	for range 4 {
		go func() {
			for n := range 50 {
				f.conn.Send(New(Data, uint32(n)).Tail(make([]byte, n*200)))
			}
		}()
	}
	return nil
}
func (f *flood) Closed(error) {}

// Connections end at any moment, by either side, while much is sent on them: each end is told once, and nothing is
// written to a connection's buffers after they are gone (which ends the process).
func TestConnectionsEndAtAnyMoment(t *testing.T) {
	ended := make(chan error, 4000)
	s, err := Listen("127.0.0.1:0", DefaultLimits, 0, func(c *Conn) Peer { return &flood{c} })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	all := 0
	for i := range 300 {
		c, err := Dial(s.Addr(), DefaultLimits, time.Minute, func(c *Conn) Peer { return &echo{c, ended} })
		if err != nil { // closed before it stood
			continue
		}
		all++
		for n := range 5 {
			c.Send(New(Write, uint32(n)).Text("x"))
		}
		go func() {
			time.Sleep(time.Duration(i%60) * 100 * time.Microsecond)
			if i%3 == 0 {
				for _, o := range s.Conns() {
					o.Close(nil)
				}
			}
			c.Close(nil)
		}()
	}
	var told []error
	for range all {
		told = append(told, <-ended)
	}
	if len(ended) > 0 {
		t.Errorf("%d ends were told twice: %v", len(ended), told)
	}
}
