package serve_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/initiator"
	"irispost/internal/scsi"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

// TestCommandNumbers: a command that arrives before its predecessor waits, and one that is repeated or whose CmdSN is
// beyond the window is ignored.
func TestCommandNumbers(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	openDisk(t, diskOptions(testbed, 0, nil), 0) // waits until the unit is ready
	w := login(t, testbed, 1)
	first, second := w.readCommand(1, 0, 1), w.readCommand(2, 0, 1)
	w.send(second)
	w.send(first)
	for _, tag := range []uint32{1, 2} { // responses arrive in any order
		_ = tag
		if p := w.receive(); p.Opcode() != iscsi.DataIn || p.Header[3] != 0 {
			t.Errorf("want Data-In with status GOOD, got header %x", p.Header)
		}
	}
	repeated := w.readCommand(3, 0, 1)
	repeated.SetUint32(24, 100)
	w.send(repeated)
	outsideWindow := w.readCommand(4, 0, 1)
	outsideWindow.SetUint32(24, 100_000)
	w.send(outsideWindow)
	w.cmdSN -= 2
	w.expectServed(5) // its response is the first to arrive
	last := w.readCommand(6, 0, 1)
	w.send(last)
	w.expectPDU(iscsi.DataIn, 6)
}

// TestDataOutOfSequenceIsRejected: data that does not match its R2T, or has a wrong digest, is rejected and ends its
// command with CHECK CONDITION.
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
		11: func(x uint32) *iscsi.PDU { return out(11, x, 0, 0, 12288, true) },      // longer than its R2T
		12: func(x uint32) *iscsi.PDU { return out(12, x, 0, 4096, 4096, true) },    // not from the start of its R2T
		13: func(x uint32) *iscsi.PDU { return out(13, x, 3, 0, 8192, true) },       // wrong DataSN
		14: func(x uint32) *iscsi.PDU { return out(14, x+9, 0, 0, 8192, true) },     // unknown target transfer tag
		15: func(x uint32) *iscsi.PDU { return out(15, x, 0, 0, 4096, true) },       // final before the end of its R2T
		16: func(x uint32) *iscsi.PDU { return out(16, x, 0, 0, 8192, false) },      // not final at the end of its R2T
		17: func(uint32) *iscsi.PDU { return out(17, 1<<30, 0, 1<<31, 8192, true) }, // unsolicited, at an arbitrary offset
	} {
		w.send(w.writeCommand(i, 8, 2, nil))
		r := w.expectPDU(iscsi.ReadyToTransfer, i)
		if r.Uint32(40) != 0 || r.Uint32(44) != 8192 {
			t.Fatalf("R2T: want 8192 bytes from offset 0, got header %x", r.Header)
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
	w.send(out(20, r.Uint32(20), 0, 0, 8192, true)) // ignored: its command has ended
	w.expectServed(21)
	snack := iscsi.New(iscsi.SNACK, iscsi.Final).SetUint32(16, 22)
	w.send(snack)
	w.expectPDU(iscsi.Reject, iscsi.NoTag)
	w.expectServed(23)
	head, _ = w.readCommand(24, 0, 1).Encode(w.digests).Bytes()
	head[20] ^= 1 // wrong header digest: the length is unreliable, so the connection has to end
	write(w.t, w.conn, head)
	if _, err := iscsi.Read(w, w.digests, 1<<20); err == nil {
		t.Error("the connection stays open after a wrong header digest, want it closed")
	}
}

// TestAbortedWriteGetsNoResponse: ABORT TASK of a write in flight is answered once the write can no longer take
// effect, and the write gets no response. A reset of a logical unit ends commands of other sessions with TASK ABORTED.
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
		t.Errorf("abort of an unknown task: want response 1, got header %x", p.Header)
	}
	command(t, testbed.Nodes[0], "well")
	if p := w.expectPDU(iscsi.TaskManagementResponse, 8); p.Header[2] != 0 {
		t.Errorf("abort of the write: want response 0, got header %x", p.Header)
	}
	w.expectServed(10)
	abort(6, 11, iscsi.NoTag)
	if p := w.expectPDU(iscsi.TaskManagementResponse, 11); p.Header[2] != 5 {
		t.Errorf("target reset: want response 5, got header %x", p.Header)
	}
	// A reset by another session.
	o := diskOptions(testbed, 0, func(o *initiator.Options) { o.ISID[5] = 40 })
	s, err := initiator.Dial(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	command(t, testbed.Nodes[0], "hang")
	w.send(w.writeCommand(12, 1, 1, randomBytes(1, 4096)))
	w.send(w.writeCommand(13, 1, 2, nil)) // its data is solicited and never sent
	w.expectPDU(iscsi.ReadyToTransfer, 13)
	done := make(chan byte, 1)
	go func() {
		code, err := s.ResetLUN(0)
		if err != nil {
			t.Error(err)
		}
		done <- code
	}()
	if p := w.expectPDU(iscsi.Response, 13); p.Header[3] != byte(scsi.TaskAborted) {
		t.Errorf("after the reset: want TASK ABORTED, got header %x", p.Header)
	}
	command(t, testbed.Nodes[0], "well")
	if p := w.expectPDU(iscsi.Response, 12); p.Header[3] != byte(scsi.TaskAborted) {
		t.Errorf("after the reset: want TASK ABORTED, got header %x", p.Header)
	}
	if code := <-done; code != 0 {
		t.Errorf("logical unit reset: response %d, want 0", code)
	}
	w.expectServed(14)
}

// TestSessionReinstatementEndsOldSession: a session is reinstated while its requests are in flight. The old connection
// is closed and its requests are cancelled. None of their responses reaches the new session, and no request remains.
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
		t.Error("the old connection stays open, want it closed")
	}
	for _, n := range testbed.Nodes {
		command(t, n, "well")
	}
	next.expectServed(100) // the same tag as an old command, with its own response
	if s := testbed.Gateways[0].ISCSI.Status(); s.Sessions != 2 {
		t.Errorf("got status %+v, want 2 sessions", s)
	}
	_ = next.conn.Close()
	_ = d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), failureTimeout)
	defer cancel()
	if err := testbed.Gateways[0].Frontend.Drain(ctx); err != nil { // no request remains in flight
		t.Error(err)
	}
	if s := testbed.Gateways[0].ISCSI.Status(); s.Running != 0 || s.Waiting != 0 {
		t.Errorf("got status %+v, want no running and no waiting commands", s)
	}
}

// TestNodeFailureWithinWriteIsReported: a write of several extents does not end with GOOD if a node fails one of them.
// Once the node is back, the blocks can be written and read.
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
		t.Errorf("write with a failing node: response %+v, error %v, want a status other than GOOD", r, err)
	}
	command(t, testbed.Nodes[1], "well")
	next := randomBytes(3, 1<<20)
	if _, err := d.WriteAt(next, 0); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 1<<20)
	if _, err := d.ReadAt(got, 0); err != nil || string(got) != string(next) {
		t.Errorf("read after recovery: error %v, equal %v, want none and true", err, string(got) == string(next))
	}
}

// TestDiskDrainRequestsLogout: a gateway that drains asks initiators to log out, and then shuts down without an error.
func TestDiskDrainRequestsLogout(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	if _, err := d.WriteAt(randomBytes(1, 8192), 0); err != nil {
		t.Fatal(err)
	}
	w := login(t, testbed, 3)
	testbed.Gateways[0].ISCSI.Drain()
	if p := w.expectPDU(iscsi.AsyncMessage, iscsi.NoTag); p.Header[36] != 1 {
		t.Errorf("want async event 1 (logout request), got header %x", p.Header)
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

// TestUnreadResponsesFillQueue: an initiator that sends reads and does not read the responses gets TASK SET FULL once
// it exceeds the limit of unread bytes. Each command still gets exactly one response.
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
		if i == 0 { // the command window opens with the first response
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
			t.Errorf("want status GOOD or TASK SET FULL, got header %x", p.Header)
		}
	}
	if full == 0 || good == 0 {
		t.Errorf("%d responses with TASK SET FULL, %d with GOOD, want some of both", full, good)
	}
	w.expectServed(1000)
}
