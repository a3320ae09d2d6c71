package serve_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/initiator"
	"irispost/internal/scsi"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// wireDisk is an initiator of which the test writes each PDU.
type wireDisk struct {
	t       *testing.T
	conn    net.Conn
	reader  *bufio.Reader
	digests iscsi.Digests
	cmdSN   uint32 // command number
}

func (w *wireDisk) ReadBinary(n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(w.reader, b)
	return b, err
}

func (w *wireDisk) Release() error { return nil }

// login logs in at once, with these keys.
func login(t *testing.T, testbed *testkit.Testbed, isid byte, keys ...string) *wireDisk {
	t.Helper()
	conn, err := net.Dial("tcp", testbed.Gateways[0].ISCSI.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(failureTimeout)); err != nil {
		t.Fatal(err)
	}
	w := &wireDisk{t: t, conn: conn, reader: bufio.NewReader(conn), cmdSN: 100}
	list := []iscsi.Pair{{Key: "InitiatorName", Value: "iqn.2026-01.example:wire"}, {Key: "TargetName", Value: targetName}}
	for i := 0; i < len(keys); i += 2 {
		list = append(list, iscsi.Pair{Key: keys[i], Value: keys[i+1]})
	}
	p := iscsi.New(iscsi.LoginRequest, 0x87).SetUint32(16, 1).SetUint32(24, w.cmdSN).SetData(iscsi.EncodeText(list))
	p.Header[0] |= 0x40
	p.Header[13] = isid
	w.send(p)
	if a := w.receive(); a.Opcode() != iscsi.LoginResponse || a.Header[36] != 0 || a.Header[1] != 0x87 {
		t.Fatalf("login: %x", a.Header)
	}
	for i := 0; i < len(keys); i += 2 {
		w.digests.Header = w.digests.Header || keys[i] == "HeaderDigest"
		w.digests.Data = w.digests.Data || keys[i] == "DataDigest"
	}
	return w
}

func (w *wireDisk) send(p *iscsi.PDU) {
	head, tail := p.Encode(w.digests).Bytes()
	write(w.t, w.conn, append(append([]byte{}, head...), tail...))
}

func (w *wireDisk) receive() *iscsi.PDU {
	w.t.Helper()
	p, err := iscsi.Read(w, w.digests, 1<<20)
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// wants takes a PDU of a kind.
func (w *wireDisk) expectPDU(op iscsi.Opcode, tag uint32) *iscsi.PDU {
	w.t.Helper()
	p := w.receive()
	if p.Opcode() != op || p.Tag() != tag {
		w.t.Fatalf("a PDU of kind %#x for %d, want %#x for %d: %x %x",
			byte(p.Opcode()), p.Tag(), byte(op), tag, p.Header, p.Data)
	}
	return p
}

// write begins a write of blocks of 4096 bytes.
func (w *wireDisk) writeCommand(tag, block uint32, blocks int, immediate []byte) *iscsi.PDU {
	p := iscsi.New(iscsi.Command, iscsi.Final|iscsi.Writes|1).
		SetUint32(16, tag).SetUint32(20, uint32(blocks*4096)).SetUint32(24, w.cmdSN).SetData(immediate)
	p.SetByte(32, 0x2a).SetUint32(34, block).SetUint16(39, uint16(blocks))
	w.cmdSN++
	return p
}

func (w *wireDisk) readCommand(tag, block uint32, blocks int) *iscsi.PDU {
	p := iscsi.New(iscsi.Command, iscsi.Final|iscsi.Reads|1).
		SetUint32(16, tag).SetUint32(20, uint32(blocks*4096)).SetUint32(24, w.cmdSN)
	p.SetByte(32, 0x28).SetUint32(34, block).SetUint16(39, uint16(blocks))
	w.cmdSN++
	return p
}

// works checks that the session still serves. works reads a block. Nodes that hung are believed to do so until they
// have answered again, and a read that is dismissed meanwhile is told BUSY, proof that nothing ran: it is sent again,
// as an initiator would.
func (w *wireDisk) expectServed(tag uint32) {
	w.t.Helper()
	for {
		w.send(w.readCommand(tag, 0, 1))
		p := w.receiveStatus(tag)
		if p.Opcode() == iscsi.Response && scsi.Status(p.Header[3]) == scsi.Busy {
			time.Sleep(time.Millisecond)
			continue
		}
		if p.Opcode() != iscsi.DataIn || p.Header[3] != 0 || len(p.Data) != 4096 {
			w.t.Errorf("%x", p.Header)
		}
		return
	}
}

func (w *wireDisk) expectSense(p *iscsi.PDU, want *scsi.Sense) {
	w.t.Helper()
	if len(p.Data) < 3 {
		w.t.Fatalf("no sense: %x", p.Header)
	}
	got, ok := scsi.DecodeSense(p.Data[2:])
	if !ok || p.Header[3] != byte(scsi.CheckCondition) || got.Key != want.Key || got.Code != want.Code {
		w.t.Errorf("sense %v, want %v", got, want)
	}
}

// TestCommandNumbers: a command that comes early waits, and one that comes again or from beyond the window is ignored.
func TestCommandNumbers(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	openDisk(t, diskOptions(testbed, 0, nil), 0) // so that the unit is ready
	w := login(t, testbed, 1)
	first, second := w.readCommand(1, 0, 1), w.readCommand(2, 0, 1)
	w.send(second)
	w.send(first)
	for _, tag := range []uint32{1, 2} { // in any order
		_ = tag
		if p := w.receive(); p.Opcode() != iscsi.DataIn || p.Header[3] != 0 {
			t.Errorf("%x", p.Header)
		}
	}
	repeated := w.readCommand(3, 0, 1)
	repeated.SetUint32(24, 100)
	w.send(repeated)
	outsideWindow := w.readCommand(4, 0, 1)
	outsideWindow.SetUint32(24, 100_000)
	w.send(outsideWindow)
	w.cmdSN -= 2
	w.expectServed(5) // the first answer that comes is this one's
	last := w.readCommand(6, 0, 1)
	w.send(last)
	w.expectPDU(iscsi.DataIn, 6)
}

// TestDataOutOfSequenceIsRejected: data that was not solicited so, or whose digest does not fit, ends its command with
// a sense, and nothing is written.
func TestDataOutOfSequenceIsRejected(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	openDisk(t, diskOptions(testbed, 0, nil), 0)
	w := login(t, testbed, 1, "DataDigest", "CRC32C", "HeaderDigest", "CRC32C", "ImmediateData", "No")
	out := func(tag, transfer, sn, at uint32, n int, final bool) *iscsi.PDU {
		p := iscsi.New(iscsi.DataOut, 0).
			SetUint32(16, tag).SetUint32(20, transfer).SetUint32(36, sn).SetUint32(40, at).SetData(make([]byte, n))
		if final {
			p.SetByte(1, iscsi.Final)
		}
		return p
	}
	for i, invalidData := range map[uint32]func(transfer uint32) *iscsi.PDU{
		11: func(x uint32) *iscsi.PDU { return out(11, x, 0, 0, 12288, true) },      // past its R2T
		12: func(x uint32) *iscsi.PDU { return out(12, x, 0, 4096, 4096, true) },    // not from its beginning
		13: func(x uint32) *iscsi.PDU { return out(13, x, 3, 0, 8192, true) },       // another number
		14: func(x uint32) *iscsi.PDU { return out(14, x+9, 0, 0, 8192, true) },     // another transfer
		15: func(x uint32) *iscsi.PDU { return out(15, x, 0, 0, 4096, true) },       // final too early
		16: func(x uint32) *iscsi.PDU { return out(16, x, 0, 0, 8192, false) },      // not final at its end
		17: func(uint32) *iscsi.PDU { return out(17, 1<<30, 0, 1<<31, 8192, true) }, // anywhere
	} {
		w.send(w.writeCommand(i, 8, 2, nil))
		r := w.expectPDU(iscsi.ReadyToTransfer, i)
		if r.Uint32(40) != 0 || r.Uint32(44) != 8192 {
			t.Fatalf("%x", r.Header)
		}
		w.send(invalidData(r.Uint32(20)))
		w.expectPDU(iscsi.Reject, iscsi.NoTag)
		w.expectSense(w.expectPDU(iscsi.Response, i), scsi.NotEnoughUnsolicitedData)
	}
	w.send(w.writeCommand(20, 8, 2, nil))
	r := w.expectPDU(iscsi.ReadyToTransfer, 20)
	bad := out(20, r.Uint32(20), 0, 0, 8192, true)
	head, tail := bad.Encode(w.digests).Bytes()
	tail[100] ^= 1
	write(w.t, w.conn, append(append([]byte{}, head...), tail...))
	w.expectPDU(iscsi.Reject, iscsi.NoTag)
	w.expectSense(w.expectPDU(iscsi.Response, 20), scsi.CRCError)
	w.send(out(20, r.Uint32(20), 0, 0, 8192, true)) // for a command that is over: let be
	w.expectServed(21)
	snack := iscsi.New(iscsi.SNACK, iscsi.Final).SetUint32(16, 22)
	w.send(snack)
	w.expectPDU(iscsi.Reject, iscsi.NoTag)
	w.expectServed(23)
	head, _ = w.readCommand(24, 0, 1).Encode(w.digests).Bytes()
	head[20] ^= 1 // a header's digest that does not fit: nothing that follows can be believed
	write(w.t, w.conn, head)
	if _, err := iscsi.Read(w, w.digests, 1<<20); err == nil {
		t.Error("the connection goes on")
	}
}

// TestAbortedWriteGetsNoResponse: a write in flight is aborted: the abort is answered when nothing of the write can
// happen any more, and the write gets no response. The reset of a unit notifies the commands of other sessions.
func TestAbortedWriteGetsNoResponse(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, func(o *standin.Options) { o.UnitTime = time.Millisecond })
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	if _, err := d.WriteAt(make([]byte, 16<<12), 0); err != nil {
		t.Fatal(err)
	}
	w := login(t, testbed, 1)
	command(t, testbed.Nodes[0], "hang")
	w.send(w.writeCommand(7, 1, 1, randomBytes(1, 4096)))
	abort := func(function byte, tag, of uint32) {
		p := iscsi.New(iscsi.TaskManagementRequest, iscsi.Final|function).
			SetUint32(16, tag).SetUint32(20, of).SetUint32(24, w.cmdSN)
		p.Header[0] |= 0x40
		w.send(p)
	}
	abort(1, 8, 7)
	abort(1, 9, 1234)
	if p := w.expectPDU(iscsi.TaskManagementResponse, 9); p.Header[2] != 1 {
		t.Errorf("a task that is not there: %x", p.Header)
	}
	command(t, testbed.Nodes[0], "well")
	if p := w.expectPDU(iscsi.TaskManagementResponse, 8); p.Header[2] != 0 {
		t.Errorf("%x", p.Header)
	}
	w.expectServed(10)
	abort(6, 11, iscsi.NoTag)
	if p := w.expectPDU(iscsi.TaskManagementResponse, 11); p.Header[2] != 5 {
		t.Errorf("a target reset: %x", p.Header)
	}
	// Another session's reset.
	o := diskOptions(testbed, 0, func(o *initiator.Options) { o.ISID[5] = 40 })
	s, err := initiator.Dial(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	command(t, testbed.Nodes[0], "hang")
	w.send(w.writeCommand(12, 1, 1, randomBytes(1, 4096)))
	w.send(w.writeCommand(13, 1, 2, nil)) // its data is asked for, and does not come
	w.expectPDU(iscsi.ReadyToTransfer, 13)
	done := make(chan byte, 1)
	go func() {
		code, err := s.Reset(0)
		if err != nil {
			t.Error(err)
		}
		done <- code
	}()
	if p := w.expectPDU(iscsi.Response, 13); p.Header[3] != byte(scsi.Aborted) {
		t.Errorf("%x", p.Header)
	}
	command(t, testbed.Nodes[0], "well")
	if p := w.expectPDU(iscsi.Response, 12); p.Header[3] != byte(scsi.Aborted) {
		t.Errorf("%x", p.Header)
	}
	if code := <-done; code != 0 {
		t.Errorf("a reset: %d", code)
	}
	w.expectServed(14)
}

// TestSessionReinstatementEndsOldSession: a session is reinstated while its requests are in flight: the old connection
// ends, its requests are cancelled, none of their responses reaches the new one, and none is left over.
func TestSessionReinstatementEndsOldSession(t *testing.T) {
	testbed := diskTestbed(t, 2, 1, nil)
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	if _, err := d.WriteAt(make([]byte, 1<<20), 0); err != nil {
		t.Fatal(err)
	}
	old := login(t, testbed, 5)
	for _, n := range testbed.Nodes {
		command(t, n, "hang")
	}
	for i := range uint32(20) {
		old.send(old.writeCommand(100+i, 16*i, 1, randomBytes(1, 4096)))
	}
	old.send(old.writeCommand(150, 0, 2, nil))
	old.expectPDU(iscsi.ReadyToTransfer, 150)
	next := login(t, testbed, 5)
	if _, err := iscsi.Read(old, old.digests, 1<<20); err == nil {
		t.Error("the old connection goes on")
	}
	for _, n := range testbed.Nodes {
		command(t, n, "well")
	}
	next.expectServed(100) // the same tag, and its own answer
	if s := testbed.Gateways[0].ISCSI.Status(); s.Sessions != 2 {
		t.Errorf("%+v", s)
	}
	_ = next.conn.Close()
	_ = d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), failureTimeout)
	defer cancel()
	if err := testbed.Gateways[0].Frontend.Drain(ctx); err != nil { // nothing is counted as under way for ever
		t.Error(err)
	}
	if s := testbed.Gateways[0].ISCSI.Status(); s.Running != 0 || s.Waiting != 0 {
		t.Errorf("%+v", s)
	}
}

// TestNodeFailureWithinWriteIsReported: a node fails within a write of several extents: the write is reported as not
// known to be done, and once the node is back the blocks can be written and read.
func TestNodeFailureWithinWriteIsReported(t *testing.T) {
	testbed := diskTestbed(t, 3, 1, nil)
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	data := randomBytes(1, 1<<20)
	if _, err := d.WriteAt(data, 0); err != nil {
		t.Fatal(err)
	}
	s, err := initiator.Dial(context.Background(), diskOptions(testbed, 0, func(o *initiator.Options) { o.ISID[5] = 9 }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	command(t, testbed.Nodes[1], "fail 1")
	cdb := []byte{0x2a, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0} // 256 blocks
	r, err := s.Do(context.Background(), 0, cdb, randomBytes(2, 1<<20), 0)
	if err != nil || r.Status == scsi.Good {
		t.Errorf("%+v, %v", r, err)
	}
	command(t, testbed.Nodes[1], "well")
	next := randomBytes(3, 1<<20)
	if _, err := d.WriteAt(next, 0); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 1<<20)
	if _, err := d.ReadAt(got, 0); err != nil || string(got) != string(next) {
		t.Errorf("%v, equal %v", err, string(got) == string(next))
	}
}

// TestDiskDrainRequestsLogout: a gateway that shuts down asks initiators to log out, and takes nothing new.
func TestDiskDrainRequestsLogout(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	if _, err := d.WriteAt(randomBytes(1, 8192), 0); err != nil {
		t.Fatal(err)
	}
	w := login(t, testbed, 3)
	testbed.Gateways[0].ISCSI.Drain()
	if p := w.expectPDU(iscsi.AsyncMessage, iscsi.NoTag); p.Header[36] != 1 {
		t.Errorf("%x", p.Header)
	}
	out := iscsi.New(iscsi.LogoutRequest, iscsi.Final).SetUint32(16, 5).SetUint32(24, w.cmdSN)
	out.Header[0] |= 0x40
	w.send(out)
	w.expectPDU(iscsi.LogoutResponse, 5)
	if _, err := iscsi.Read(w, w.digests, 1<<20); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), failureTimeout)
	defer cancel()
	if err := testbed.Gateways[0].Shutdown(ctx); err != nil {
		t.Error(err)
	}
	testbed.Gateways = nil
}

// TestUnreadResponsesFillQueue: an initiator that sends reads and takes no responses gets TASK SET FULL past what it
// may leave unread; each command has its one response all the same.
func TestUnreadResponsesFillQueue(t *testing.T) {
	conf := testkit.Conf + strings.Replace(disksConf, "login  =", "unread = \"64KiB\"\n  login  =", 1)
	testbed := testkit.Start(t, conf, 1, 1, nil)
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	if _, err := d.WriteAt(make([]byte, 1<<20), 0); err != nil {
		t.Fatal(err)
	}
	w := login(t, testbed, 1, "MaxRecvDataSegmentLength", "1048576")
	const reads = 60
	for i := range uint32(reads) {
		w.send(w.readCommand(i, 0, 256))
		if i == 0 { // the window opens with the first answer
			w.receiveStatus(0)
		}
	}
	for s := testbed.Gateways[0].ISCSI.Status(); s.Running+s.Waiting > 0; s = testbed.Gateways[0].ISCSI.Status() {
		time.Sleep(time.Millisecond)
	}
	full, good := 0, 0
	for range reads - 1 {
		switch p := w.receiveStatus(iscsi.NoTag); scsi.Status(p.Header[3]) {
		case scsi.Good:
			good++
		case scsi.TaskSetFull:
			full++
		default:
			t.Errorf("%x", p.Header)
		}
	}
	if full == 0 || good == 0 {
		t.Errorf("%d full, %d good", full, good)
	}
	w.expectServed(1000)
}

// last takes PDUs until one has a command's status.
func (w *wireDisk) receiveStatus(tag uint32) *iscsi.PDU {
	for {
		p := w.receive()
		if p.Opcode() == iscsi.Response || p.Opcode() == iscsi.DataIn && p.Flags()&iscsi.HasStatus != 0 {
			if tag != iscsi.NoTag && p.Tag() != tag {
				w.t.Fatalf("an answer to %d", p.Tag())
			}
			return p
		}
	}
}
