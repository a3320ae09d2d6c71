package serve_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"irispost/internal/iscsi"
	"irispost/internal/scsi"
	"irispost/internal/testkit"
)

// wireDisk is an iSCSI session of which the test sends and receives each PDU.
type wireDisk struct {
	t       *testing.T
	conn    net.Conn
	reader  *bufio.Reader
	digests iscsi.Digests
	cmdSN   uint32 // CmdSN of the next command
}

func (w *wireDisk) ReadBinary(n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(w.reader, b)
	return b, err
}

func (w *wireDisk) Release() error { return nil }

// login opens a session with a single login request. keys are further key-value pairs to negotiate.
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
	list := []iscsi.Pair{{Key: "InitiatorName", Value: "iqn.2026-01.example:wire"},
		{Key: "TargetName", Value: targetName}}
	for i := 0; i < len(keys); i += 2 {
		list = append(list, iscsi.Pair{Key: keys[i], Value: keys[i+1]})
	}
	p := iscsi.New(iscsi.LoginRequest, 0x87).SetUint32(16, 1).SetUint32(24, w.cmdSN).SetData(iscsi.EncodeText(list))
	p.Header[0] |= 0x40
	p.Header[13] = isid
	w.send(p)
	if a := w.receive(); a.Opcode() != iscsi.LoginResponse || a.Header[36] != 0 || a.Header[1] != 0x87 {
		t.Fatalf("login: got response %x, want one that completes the login", a.Header)
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

// expectPDU receives a PDU and fails the test if it has another opcode or task tag.
func (w *wireDisk) expectPDU(op iscsi.Opcode, tag uint32) *iscsi.PDU {
	w.t.Helper()
	p := w.receive()
	if p.Opcode() != op || p.Tag() != tag {
		w.t.Fatalf("received opcode %#x for tag %d, want %#x for tag %d: %x %x",
			byte(p.Opcode()), p.Tag(), byte(op), tag, p.Header, p.Data)
	}
	return p
}

// writeCommand returns a WRITE(10) command for blocks of 4096 bytes, with immediate data, and advances cmdSN.
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

// expectServed reads a block to check that the session still serves commands. Nodes that hung stay suspect until they
// have answered again. A read that is rejected meanwhile ends with BUSY, which proves that nothing ran, and is sent
// again, as an initiator would do.
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
			w.t.Errorf("read of block 0: want Data-In with 4096 bytes, got header %x", p.Header)
		}
		return
	}
}

func (w *wireDisk) expectSense(p *iscsi.PDU, want *scsi.Sense) {
	w.t.Helper()
	if len(p.Data) < 3 {
		w.t.Fatalf("response without sense data: %x", p.Header)
	}
	got, ok := scsi.DecodeSense(p.Data[2:])
	if !ok || p.Header[3] != byte(scsi.CheckCondition) || got.Key != want.Key || got.Code != want.Code {
		w.t.Errorf("sense %v, want %v", got, want)
	}
}

// receiveStatus receives PDUs until one has the status of a command: of the given one, or of any for iscsi.NoTag.
func (w *wireDisk) receiveStatus(tag uint32) *iscsi.PDU {
	for {
		p := w.receive()
		if p.Opcode() == iscsi.Response || p.Opcode() == iscsi.DataIn && p.Flags()&iscsi.HasStatus != 0 {
			if tag != iscsi.NoTag && p.Tag() != tag {
				w.t.Fatalf("received a response for tag %d, want the tag of the command", p.Tag())
			}
			return p
		}
	}
}
