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
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
	d    iscsi.Digests
	next uint32 // command number
}

func (w *wireDisk) ReadBinary(n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(w.in, b)
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
	if err := conn.SetDeadline(time.Now().Add(farOff)); err != nil {
		t.Fatal(err)
	}
	w := &wireDisk{t: t, conn: conn, in: bufio.NewReader(conn), next: 100}
	list := []iscsi.Pair{{Key: "InitiatorName", Value: "iqn.2026-01.example:wire"}, {Key: "TargetName", Value: iqn}}
	for i := 0; i < len(keys); i += 2 {
		list = append(list, iscsi.Pair{Key: keys[i], Value: keys[i+1]})
	}
	p := iscsi.New(iscsi.LoginAsk, 0x87).Put(16, 1).Put(24, w.next).With(iscsi.Text(list))
	p.Head[0] |= 0x40
	p.Head[13] = isid
	w.send(p)
	if a := w.take(); a.Op() != iscsi.LoginTell || a.Head[36] != 0 || a.Head[1] != 0x87 {
		t.Fatalf("login: %x", a.Head)
	}
	for i := 0; i < len(keys); i += 2 {
		w.d.Head = w.d.Head || keys[i] == "HeaderDigest"
		w.d.Data = w.d.Data || keys[i] == "DataDigest"
	}
	return w
}

func (w *wireDisk) send(p *iscsi.PDU) {
	head, tail := p.Seal(w.d).Bytes()
	write(w.t, w.conn, append(append([]byte{}, head...), tail...))
}

func (w *wireDisk) take() *iscsi.PDU {
	w.t.Helper()
	p, err := iscsi.Read(w, w.d, 1<<20)
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// wants takes a PDU of a kind.
func (w *wireDisk) wants(op iscsi.Opcode, tag uint32) *iscsi.PDU {
	w.t.Helper()
	p := w.take()
	if p.Op() != op || p.Tag() != tag {
		w.t.Fatalf("a PDU of kind %#x for %d, want %#x for %d: %x %x",
			byte(p.Op()), p.Tag(), byte(op), tag, p.Head, p.Data)
	}
	return p
}

// write begins a write of blocks of 4096 bytes.
func (w *wireDisk) write(tag, block uint32, blocks int, immediate []byte) *iscsi.PDU {
	p := iscsi.New(iscsi.Command, iscsi.Final|iscsi.Writes|1).
		Put(16, tag).Put(20, uint32(blocks*4096)).Put(24, w.next).With(immediate)
	p.Byte(32, 0x2a).Put(34, block).Put16(39, uint16(blocks))
	w.next++
	return p
}

func (w *wireDisk) read(tag, block uint32, blocks int) *iscsi.PDU {
	p := iscsi.New(iscsi.Command, iscsi.Final|iscsi.Reads|1).Put(16, tag).Put(20, uint32(blocks*4096)).Put(24, w.next)
	p.Byte(32, 0x28).Put(34, block).Put16(39, uint16(blocks))
	w.next++
	return p
}

// works checks that the session still serves. works reads a block. Nodes that hung are believed to do so until they
// have answered again, and a read that is dismissed meanwhile is told BUSY, proof that nothing ran: it is sent again,
// as an initiator would.
func (w *wireDisk) works(tag uint32) {
	w.t.Helper()
	for {
		w.send(w.read(tag, 0, 1))
		p := w.last(tag)
		if p.Op() == iscsi.Response && scsi.Status(p.Head[3]) == scsi.Busy {
			time.Sleep(time.Millisecond)
			continue
		}
		if p.Op() != iscsi.DataIn || p.Head[3] != 0 || len(p.Data) != 4096 {
			w.t.Errorf("%x", p.Head)
		}
		return
	}
}

func (w *wireDisk) sense(p *iscsi.PDU, want *scsi.Sense) {
	w.t.Helper()
	if len(p.Data) < 3 {
		w.t.Fatalf("no sense: %x", p.Head)
	}
	got, ok := scsi.ReadSense(p.Data[2:])
	if !ok || p.Head[3] != byte(scsi.CheckCondition) || got.Key != want.Key || got.Code != want.Code {
		w.t.Errorf("sense %v, want %v", got, want)
	}
}

// TestCommandNumbers: a command that comes early waits, and one that comes again or from beyond the window is ignored.
func TestCommandNumbers(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	openDisk(t, diskOptions(testbed, 0, nil), 0) // so that the unit is ready
	w := login(t, testbed, 1)
	first, second := w.read(1, 0, 1), w.read(2, 0, 1)
	w.send(second)
	w.send(first)
	for _, tag := range []uint32{1, 2} { // in any order
		_ = tag
		if p := w.take(); p.Op() != iscsi.DataIn || p.Head[3] != 0 {
			t.Errorf("%x", p.Head)
		}
	}
	repeated := w.read(3, 0, 1)
	repeated.Put(24, 100)
	w.send(repeated)
	outsideWindow := w.read(4, 0, 1)
	outsideWindow.Put(24, 100_000)
	w.send(outsideWindow)
	w.next -= 2
	w.works(5) // the first answer that comes is this one's
	tags := w.read(6, 0, 1)
	w.send(tags)
	w.wants(iscsi.DataIn, 6)
}

// TestDataOutOfSequenceIsRejected: data that was not solicited so, or whose digest does not fit, ends its command with
// a sense, and nothing is written.
func TestDataOutOfSequenceIsRejected(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	openDisk(t, diskOptions(testbed, 0, nil), 0)
	w := login(t, testbed, 1, "DataDigest", "CRC32C", "HeaderDigest", "CRC32C", "ImmediateData", "No")
	out := func(tag, transfer, sn, at uint32, n int, final bool) *iscsi.PDU {
		p := iscsi.New(iscsi.DataOut, 0).Put(16, tag).Put(20, transfer).Put(36, sn).Put(40, at).With(make([]byte, n))
		if final {
			p.Byte(1, iscsi.Final)
		}
		return p
	}
	for i, spoil := range map[uint32]func(transfer uint32) *iscsi.PDU{
		11: func(x uint32) *iscsi.PDU { return out(11, x, 0, 0, 12288, true) },      // past its R2T
		12: func(x uint32) *iscsi.PDU { return out(12, x, 0, 4096, 4096, true) },    // not from its beginning
		13: func(x uint32) *iscsi.PDU { return out(13, x, 3, 0, 8192, true) },       // another number
		14: func(x uint32) *iscsi.PDU { return out(14, x+9, 0, 0, 8192, true) },     // another transfer
		15: func(x uint32) *iscsi.PDU { return out(15, x, 0, 0, 4096, true) },       // final too early
		16: func(x uint32) *iscsi.PDU { return out(16, x, 0, 0, 8192, false) },      // not final at its end
		17: func(uint32) *iscsi.PDU { return out(17, 1<<30, 0, 1<<31, 8192, true) }, // anywhere
	} {
		w.send(w.write(i, 8, 2, nil))
		r := w.wants(iscsi.ReadyTo, i)
		if r.U32(40) != 0 || r.U32(44) != 8192 {
			t.Fatalf("%x", r.Head)
		}
		w.send(spoil(r.U32(20)))
		w.wants(iscsi.Reject, iscsi.NoTag)
		w.sense(w.wants(iscsi.Response, i), scsi.TooMuchData)
	}
	w.send(w.write(20, 8, 2, nil))
	r := w.wants(iscsi.ReadyTo, 20)
	bad := out(20, r.U32(20), 0, 0, 8192, true)
	head, tail := bad.Seal(w.d).Bytes()
	tail[100] ^= 1
	write(w.t, w.conn, append(append([]byte{}, head...), tail...))
	w.wants(iscsi.Reject, iscsi.NoTag)
	w.sense(w.wants(iscsi.Response, 20), scsi.BadDigest)
	w.send(out(20, r.U32(20), 0, 0, 8192, true)) // for a command that is over: let be
	w.works(21)
	snack := iscsi.New(iscsi.Snack, iscsi.Final).Put(16, 22)
	w.send(snack)
	w.wants(iscsi.Reject, iscsi.NoTag)
	w.works(23)
	head, _ = w.read(24, 0, 1).Seal(w.d).Bytes()
	head[20] ^= 1 // a header's digest that does not fit: nothing that follows can be believed
	write(w.t, w.conn, head)
	if _, err := iscsi.Read(w, w.d, 1<<20); err == nil {
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
	w.send(w.write(7, 1, 1, random(1, 4096)))
	abort := func(function byte, tag, of uint32) {
		p := iscsi.New(iscsi.TaskRequest, iscsi.Final|function).Put(16, tag).Put(20, of).Put(24, w.next)
		p.Head[0] |= 0x40
		w.send(p)
	}
	abort(1, 8, 7)
	abort(1, 9, 1234)
	if p := w.wants(iscsi.TaskAnswer, 9); p.Head[2] != 1 {
		t.Errorf("a task that is not there: %x", p.Head)
	}
	command(t, testbed.Nodes[0], "well")
	if p := w.wants(iscsi.TaskAnswer, 8); p.Head[2] != 0 {
		t.Errorf("%x", p.Head)
	}
	w.works(10)
	abort(6, 11, iscsi.NoTag)
	if p := w.wants(iscsi.TaskAnswer, 11); p.Head[2] != 5 {
		t.Errorf("a target reset: %x", p.Head)
	}
	// Another session's reset.
	o := diskOptions(testbed, 0, func(o *initiator.Options) { o.ISID[5] = 40 })
	s, err := initiator.Dial(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	command(t, testbed.Nodes[0], "hang")
	w.send(w.write(12, 1, 1, random(1, 4096)))
	w.send(w.write(13, 1, 2, nil)) // its data is asked for, and does not come
	w.wants(iscsi.ReadyTo, 13)
	done := make(chan byte, 1)
	go func() {
		code, err := s.Reset(0)
		if err != nil {
			t.Error(err)
		}
		done <- code
	}()
	if p := w.wants(iscsi.Response, 13); p.Head[3] != byte(scsi.Aborted) {
		t.Errorf("%x", p.Head)
	}
	command(t, testbed.Nodes[0], "well")
	if p := w.wants(iscsi.Response, 12); p.Head[3] != byte(scsi.Aborted) {
		t.Errorf("%x", p.Head)
	}
	if code := <-done; code != 0 {
		t.Errorf("a reset: %d", code)
	}
	w.works(14)
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
		old.send(old.write(100+i, 16*i, 1, random(1, 4096)))
	}
	old.send(old.write(150, 0, 2, nil))
	old.wants(iscsi.ReadyTo, 150)
	next := login(t, testbed, 5)
	if _, err := iscsi.Read(old, old.d, 1<<20); err == nil {
		t.Error("the old connection goes on")
	}
	for _, n := range testbed.Nodes {
		command(t, n, "well")
	}
	next.works(100) // the same tag, and its own answer
	if s := testbed.Gateways[0].ISCSI.Status(); s.Sessions != 2 {
		t.Errorf("%+v", s)
	}
	_ = next.conn.Close()
	_ = d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), farOff)
	defer cancel()
	if err := testbed.Gateways[0].Frontend.Drain(ctx); err != nil { // nothing is counted as under way for ever
		t.Error(err)
	}
	if s := testbed.Gateways[0].ISCSI.Status(); s.Inside != 0 || s.Waiting != 0 {
		t.Errorf("%+v", s)
	}
}

// TestNodeFailureWithinWriteIsReported: a node fails within a write of several extents: the write is reported as not
// known to be done, and once the node is back the blocks can be written and read.
func TestNodeFailureWithinWriteIsReported(t *testing.T) {
	testbed := diskTestbed(t, 3, 1, nil)
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	data := random(1, 1<<20)
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
	r, err := s.Do(context.Background(), 0, cdb, random(2, 1<<20), 0)
	if err != nil || r.Status == scsi.Good {
		t.Errorf("%+v, %v", r, err)
	}
	command(t, testbed.Nodes[1], "well")
	next := random(3, 1<<20)
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
	if _, err := d.WriteAt(random(1, 8192), 0); err != nil {
		t.Fatal(err)
	}
	w := login(t, testbed, 3)
	testbed.Gateways[0].ISCSI.Drain()
	if p := w.wants(iscsi.Async, iscsi.NoTag); p.Head[36] != 1 {
		t.Errorf("%x", p.Head)
	}
	out := iscsi.New(iscsi.LogoutAsk, iscsi.Final).Put(16, 5).Put(24, w.next)
	out.Head[0] |= 0x40
	w.send(out)
	w.wants(iscsi.LogoutTell, 5)
	if _, err := iscsi.Read(w, w.d, 1<<20); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), farOff)
	defer cancel()
	if err := testbed.Gateways[0].Shutdown(ctx); err != nil {
		t.Error(err)
	}
	testbed.Gateways = nil
}

// TestUnreadResponsesFillQueue: an initiator that sends reads and takes no responses gets TASK SET FULL past what it
// may leave unread; each command has its one response all the same.
func TestUnreadResponsesFillQueue(t *testing.T) {
	conf := testkit.Conf + strings.Replace(disks, "login  =", "unread = \"64KiB\"\n  login  =", 1)
	testbed := testkit.Start(t, conf, 1, 1, nil)
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	if _, err := d.WriteAt(make([]byte, 1<<20), 0); err != nil {
		t.Fatal(err)
	}
	w := login(t, testbed, 1, "MaxRecvDataSegmentLength", "1048576")
	const reads = 60
	for i := range uint32(reads) {
		w.send(w.read(i, 0, 256))
		if i == 0 { // the window opens with the first answer
			w.last(0)
		}
	}
	for s := testbed.Gateways[0].ISCSI.Status(); s.Inside+s.Waiting > 0; s = testbed.Gateways[0].ISCSI.Status() {
		time.Sleep(time.Millisecond)
	}
	full, good := 0, 0
	for range reads - 1 {
		switch p := w.last(iscsi.NoTag); scsi.Status(p.Head[3]) {
		case scsi.Good:
			good++
		case scsi.TaskSetFull:
			full++
		default:
			t.Errorf("%x", p.Head)
		}
	}
	if full == 0 || good == 0 {
		t.Errorf("%d full, %d good", full, good)
	}
	w.works(1000)
}

// last takes PDUs until one has a command's status.
func (w *wireDisk) last(tag uint32) *iscsi.PDU {
	for {
		p := w.take()
		if p.Op() == iscsi.Response || p.Op() == iscsi.DataIn && p.Flags()&iscsi.HasStatus != 0 {
			if tag != iscsi.NoTag && p.Tag() != tag {
				w.t.Fatalf("an answer to %d", p.Tag())
			}
			return p
		}
	}
}
