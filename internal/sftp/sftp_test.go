package sftp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// FuzzFields decodes arbitrary bytes as arbitrary sequences of fields: nothing panics, no bytes beyond the packet are
// read, and an error persists.
func FuzzFields(f *testing.F) {
	f.Add([]byte{0, 0, 0, 3, 'a', 'b', 'c'}, []byte{0, 1, 2})
	attrs := Attrs{HasSize: true, Size: 9, HasTimes: true}
	f.Add(New(Open, 7).Text("/v/x").Uint32(FlagCreate).Attrs(attrs).Body(), []byte{3, 4, 0, 5})
	f.Add([]byte{0x80, 0, 0, 0, 255, 255, 255, 255}, []byte{5, 0, 1})
	f.Fuzz(func(t *testing.T, packet, kinds []byte) {
		fields := NewFields(packet)
		read := 0
		for _, kind := range kinds {
			switch kind % 6 {
			case 0:
				read += len(fields.Bytes())
			case 1:
				fields.Byte()
			case 2:
				fields.Uint32()
			case 3:
				fields.Uint64()
			case 4:
				read += len(fields.Text())
			case 5:
				fields.Attrs()
			}
		}
		if read > len(packet) {
			t.Errorf("read %d bytes, want at most the %d of the packet", read, len(packet))
		}
		if fields.Err != nil && (fields.Byte() != 0 || fields.Uint32() != 0 || fields.Done() == nil) {
			t.Error("reads after an error returned a nonzero value or no error, want zero values and the error")
		}
	})
}

func TestFieldsReadWhatPacketWrote(t *testing.T) {
	attrs := Attrs{HasSize: true, HasMode: true, HasTimes: true, Size: 1 << 40, Mode: 0o100644, Accessed: 5, Modified: 6}
	packet := New(Write, 9).Text("handle").Uint64(1 << 50).Attrs(attrs).Byte(3)
	fields := NewFields(packet.Body())
	if fields.Uint32() != 9 || fields.Text() != "handle" || fields.Uint64() != 1<<50 || fields.Attrs() != attrs ||
		fields.Byte() != 3 || fields.Done() != nil {
		t.Error("decoded fields differ from the encoded ones")
	}
}

func TestFieldsReportBytesLeftAndMissing(t *testing.T) {
	if fields := NewFields([]byte{0, 0, 0, 1, 2, 3}); fields.Bytes()[0] != 2 || !errors.Is(fields.Done(), ErrExtra) {
		t.Error("string followed by unread bytes: want first byte 2 and ErrExtra")
	}
	if fields := NewFields([]byte{0, 0, 0, 9, 2}); fields.Bytes() != nil || !errors.Is(fields.Done(), ErrShort) {
		t.Error("string with a length beyond its packet: want no bytes and ErrShort")
	}
}

// echoHandler answers each packet with a DATA packet that carries the packet's first string, without copying it.
type echoHandler struct {
	conn   *Conn
	closed chan error
}

func (e *echoHandler) Packet(frame Frame) error {
	id, fields := frame.ID()
	e.conn.Send(New(Data, id).Tail(fields.Bytes()))
	return nil
}

func (e *echoHandler) Closed(cause error) { e.closed <- cause }

// listenEcho starts an echo server for packets of up to 70,000 bytes and at most two connections.
func listenEcho(t *testing.T) (server *Server, closed chan error) {
	t.Helper()
	closed = make(chan error, 8)
	limits := DefaultLimits
	limits.MaxPacket = 70_000
	server, err := Listen("127.0.0.1:0", limits, 2, func(conn *Conn) Handler { return &echoHandler{conn, closed} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, closed
}

func dial(t *testing.T, server *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestConnections: packets arrive complete, whatever their size and however the writes split them. A length out of
// bounds closes the connection with that reason, and a connection beyond the limit is closed.
func TestConnections(t *testing.T) {
	server, closed := listenEcho(t)
	first := dial(t, server)
	for _, size := range []int{0, 1, 4095, 5000, 65_000} {
		checkEcho(t, first, size)
	}
	second := dial(t, server)
	send(t, second, []byte{0, 0, 0, 9, 6, 0, 0, 0, 1, 0, 0, 0, 0})
	if _, err := io.ReadFull(second, make([]byte, 13)); err != nil {
		t.Fatal(err)
	}
	third := dial(t, server)
	if n, err := third.Read(make([]byte, 1)); err == nil {
		t.Errorf("third connection received %d bytes, want it closed: the limit is two", n)
	}
	send(t, first, binary.BigEndian.AppendUint32(nil, 70_001))
	send(t, first, []byte{5})
	if cause := <-closed; !errors.Is(cause, ErrLength) || !strings.Contains(cause.Error(), "70001") {
		t.Errorf("connection closed with error %v, want ErrLength with the length 70001", cause)
	}
}

// checkEcho sends a packet with the given size of data in several writes and checks the response.
func checkEcho(t *testing.T, conn net.Conn, size int) {
	t.Helper()
	data := bytes.Repeat([]byte{byte(size)}, size)
	head, tail := New(Write, uint32(size)).Tail(data).Bytes()
	packet := append(head, tail...)
	for len(packet) > 0 {
		n := min(len(packet), 1+size/3)
		send(t, conn, packet[:n])
		packet = packet[n:]
	}
	got := make([]byte, 13+size)
	if _, err := io.ReadFull(conn, got); err != nil || got[4] != byte(Data) || !bytes.Equal(got[13:], data) {
		t.Fatalf("echo of %d bytes differs from what was sent, or was not read: error %v", size, err)
	}
}

func send(t *testing.T, c net.Conn, b []byte) {
	t.Helper()
	if _, err := c.Write(b); err != nil {
		t.Fatal(err)
	}
}

// floodHandler answers each packet with 200 packets, sent from four goroutines.
type floodHandler struct{ conn *Conn }

func (f *floodHandler) Packet(Frame) error {
	for range 4 {
		go func() {
			for n := range 50 {
				f.conn.Send(New(Data, uint32(n)).Tail(make([]byte, n*200)))
			}
		}()
	}
	return nil
}

func (f *floodHandler) Closed(error) {}

// TestConnectionsEndAtAnyMoment closes connections from either side at various times while both sides send. Each end
// must be reported to the client's handler exactly once. Guards against writes to a connection's buffers after
// netpoll has released them, which crash the process.
func TestConnectionsEndAtAnyMoment(t *testing.T) {
	ended := make(chan error, 4000)
	server, err := Listen("127.0.0.1:0", DefaultLimits, 0, func(conn *Conn) Handler { return &floodHandler{conn} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	dialed := 0
	for i := range 300 {
		conn, err := Dial(server.Addr(), DefaultLimits, time.Minute, func(conn *Conn) Handler {
			return &echoHandler{conn, ended}
		})
		if err != nil { // closed before it was established
			continue
		}
		dialed++
		for n := range 5 {
			conn.Send(New(Write, uint32(n)).Text("x"))
		}
		go func() {
			time.Sleep(time.Duration(i%60) * 100 * time.Microsecond)
			if i%3 == 0 {
				for _, served := range server.Conns() {
					served.Close(nil)
				}
			}
			conn.Close(nil)
		}()
	}
	var ends []error
	for range dialed {
		ends = append(ends, <-ended)
	}
	if len(ended) > 0 {
		t.Errorf("%d ends reported beyond one for each connection; the ends before: %v", len(ended), ends)
	}
}
