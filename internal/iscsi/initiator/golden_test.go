package initiator_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"regexp"
	"sync"
	"testing"
	"time"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/initiator"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/testkit"
	"irispost/internal/testkit/golden"
)

const disksConfig = `
disks {
  listen = "127.0.0.1:0"
  target "iqn.2026-01.example:open" {
    lun "0" {
      file = "/meals/disk0"
      size = "1MiB"
    }
    lun "3" {
      file      = "/meals/disk3"
      size      = "64KiB"
      block     = "512B"
      read_only = true
    }
  }
  target "iqn.2026-01.example:secret" {
    chap {
      name       = "host"
      secret     = "a secret of a host"
      own_name   = "meals"
      own_secret = "another one, ours"
    }
    lun "0" {
      file = "/meals/disk9"
      size = "1MiB"
    }
  }
}
`

// recorder is a proxy for one connection to a target. It records the PDUs of both directions.
type recorder struct {
	t        *testing.T
	listener net.Listener
	digests  bool          // whether PDUs after the login carry digests
	finished chan struct{} // closed when the connection is closed
	sent     bytes.Buffer
	answered bytes.Buffer
}

func newRecorder(t *testing.T, target string, digests bool) *recorder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &recorder{t: t, listener: listener, digests: digests, finished: make(chan struct{})}
	go r.run(target)
	return r
}

func (r *recorder) run(target string) {
	defer close(r.finished)
	host, err := r.listener.Accept()
	if err != nil {
		return
	}
	portal, err := net.Dial("tcp", target)
	if err != nil {
		r.t.Error(err)
		_ = host.Close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(&r.sent, host, portal) })
	directions.Go(func() { r.forward(&r.answered, portal, host) })
	directions.Wait()
}

// forward copies all bytes from one connection to the other and records them as PDUs.
func (r *recorder) forward(record *bytes.Buffer, from, to net.Conn) {
	defer func() { _ = to.Close() }()
	source := &pduSource{reader: io.TeeReader(from, to)}
	login := true
	for {
		digests := iscsi.Digests{Header: r.digests && !login, Data: r.digests && !login}
		p, err := iscsi.Read(source, digests, 1<<20)
		if err != nil {
			return
		}
		fmt.Fprintf(record, "%s\n", formatPDU(p))
		if p.BadDataDigest {
			r.t.Error("got a PDU with a wrong data digest, want a matching one")
		}
		kind := p.Opcode()
		login = login && (kind == 0x03 || kind == 0x23) && p.Flags()&0x83 != 0x83
	}
}

// pduSource is an iscsi.Source that reads from an io.Reader.
type pduSource struct{ reader io.Reader }

func (s *pduSource) ReadBinary(n int) ([]byte, error) {
	b := make([]byte, n)
	_, err := io.ReadFull(s.reader, b)
	return b, err
}

func (s *pduSource) Release() error { return nil }

// Patterns of those parts of texts that differ between runs.
var (
	chapPattern    = regexp.MustCompile(`CHAP_([ICR])=[0-9a-fx]+`)
	sessionPattern = regexp.MustCompile(`session=[^\x00]+`)
	addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// formatPDU formats the header, the additional headers and the data of a PDU. In logins and texts it replaces values
// that differ between runs, and the length of the data.
func formatPDU(p *iscsi.PDU) string {
	head, data := p.Header, p.Data
	switch p.Opcode() {
	case 0x03, 0x04, 0x23, 0x24:
		data = chapPattern.ReplaceAll(data, []byte("CHAP_$1=value"))
		data = sessionPattern.ReplaceAll(data, []byte("session=name"))
		data = addressPattern.ReplaceAll(data, []byte("address"))
		head[5], head[6], head[7] = 0, 0, 0
		return fmt.Sprintf("  %x %x %q", head, p.AdditionalHeaders, data)
	}
	text := hex.EncodeToString(data)
	if len(text) > 200 {
		text = fmt.Sprintf("%.16s... %d bytes", text, len(data))
	}
	return fmt.Sprintf("  %x %x %s", head, p.AdditionalHeaders, text)
}

// recording waits until the connection is closed and returns the recorded PDUs.
func (r *recorder) recording() string {
	<-r.finished
	return "sent:\n" + r.sent.String() + "answered:\n" + r.answered.String()
}

// The PDUs between this initiator and the project's target stay the same byte for byte.
func TestGoldenPDUsOfSessions(t *testing.T) {
	b := testkit.Start(t, testkit.Conf+disksConfig, 2, 1, nil)
	portal := b.Gateways[0].ISCSI.Addr()
	waitUntilReady(t, portal)
	var out bytes.Buffer
	for _, c := range []struct {
		name   string
		change func(*initiator.Options)
		run    func(*testing.T, initiator.Options) string
	}{
		{"discovery", nil, runDiscovery},
		{"plain disk", nil, runDisk},
		{"disk with digests", func(o *initiator.Options) { o.Digests = true }, runDisk},
		{"disk that solicits", func(o *initiator.Options) { o.SolicitedOnly = true }, runDisk},
		{"disk in small segments", func(o *initiator.Options) { o.MaxRecvSegment = 1024 }, runDisk},
		{"read-only disk", nil, runReadOnlyDisk},
		{"session", nil, runSession},
		{"CHAP", func(o *initiator.Options) {
			o.Target = "iqn.2026-01.example:secret"
			o.Account = negotiate.Account{Name: "host", Secret: "a secret of a host", TargetName: "meals",
				TargetSecret: "another one, ours"}
		}, runDisk},
		{"no secret", func(o *initiator.Options) { o.Target = "iqn.2026-01.example:secret" }, runDisk},
		{"no such target", func(o *initiator.Options) { o.Target = "iqn.2026-01.example:none" }, runDisk},
	} {
		o := initiator.Options{
			Name:   "iqn.2026-01.example:host",
			Target: "iqn.2026-01.example:open",
			ISID:   [6]byte{0x80, 1, 2, 3, 4, 5},
		}
		if c.change != nil {
			c.change(&o)
		}
		recorder := newRecorder(t, portal, o.Digests)
		o.Address = recorder.listener.Addr().String()
		result := c.run(t, o)
		fmt.Fprintf(&out, "%s: %s\n%s", c.name, result, recorder.recording())
	}
	golden.Check(t, "pdus.txt", out.Bytes())
}

// waitUntilReady waits until the files of all logical units are open.
func waitUntilReady(t *testing.T, portal string) {
	t.Helper()
	account := negotiate.Account{Name: "host", Secret: "a secret of a host"}
	for target, luns := range map[string][]uint16{"iqn.2026-01.example:open": {0, 3}, "iqn.2026-01.example:secret": {0}} {
		for _, lun := range luns {
			o := initiator.Options{Address: portal, Name: "iqn.2026-01.example:other", Target: target, Account: account}
			disk, err := initiator.Open(t.Context(), o, lun, initiator.RetryPolicy{Timeout: time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			_ = disk.Close()
		}
	}
}

func runDiscovery(t *testing.T, o initiator.Options) string {
	t.Helper()
	found, err := initiator.Discover(t.Context(), o)
	return addressPattern.ReplaceAllString(fmt.Sprint(found, err), "address")
}

func runDisk(t *testing.T, o initiator.Options) string {
	t.Helper()
	return runUnit(t, o, 0)
}

func runReadOnlyDisk(t *testing.T, o initiator.Options) string {
	t.Helper()
	return runUnit(t, o, 3)
}

// runUnit opens a logical unit and sends each kind of request that a Disk can send.
func runUnit(t *testing.T, o initiator.Options, lun uint16) string {
	t.Helper()
	ctx := t.Context()
	disk, err := initiator.Open(ctx, o, lun, initiator.RetryPolicy{Timeout: time.Minute})
	if err != nil {
		return err.Error()
	}
	block := int(disk.BlockSize)
	data := bytes.Repeat([]byte{7}, 3*block)
	result := fmt.Sprintf("%s, %d blocks of %d", disk.Model, disk.BlockCount, disk.BlockSize)
	_, err = disk.Write(ctx, data, int64(block))
	result += fmt.Sprintf(", write %v", err)
	read := make([]byte, len(data))
	_, err = disk.Read(ctx, read, int64(block))
	result += fmt.Sprintf(", read %x %v", read[0], err)
	err = disk.CompareAndWrite(ctx, read[:block], make([]byte, block), int64(block))
	result += fmt.Sprintf(", compare %v", err)
	err = disk.CompareAndWrite(ctx, data[:block], make([]byte, block), 2*int64(block))
	result += fmt.Sprintf(", compare %v", err)
	err = disk.CompareAndWrite(ctx, data[:block], make([]byte, block), 2*int64(block))
	result += fmt.Sprintf(", compare %v", err)
	result += fmt.Sprintf(", unmap %v", disk.Unmap(ctx, 0, block))
	result += fmt.Sprintf(", sync %v", disk.Sync(ctx))
	_, err = disk.Read(ctx, read, disk.Size())
	result += fmt.Sprintf(", read past the end %v", err)
	result += fmt.Sprintf(", close %v", disk.Close())
	return result
}

// runSession sends requests that a Disk never sends.
func runSession(t *testing.T, o initiator.Options) string {
	t.Helper()
	s, err := initiator.Dial(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	result := fmt.Sprintf("ping %v", s.Ping())
	reply, err := s.Do(t.Context(), 1, make([]byte, 16), nil, 0)
	result += fmt.Sprintf(", unit 1: status %x, %v, %v", reply.Status, reply.Sense, err)
	for _, op := range []byte{0x16, 0x5f, 0xa0, 0x12, 0x03, 0x25} {
		block := make([]byte, 16)
		block[0], block[9] = op, 64
		block[4] = 64
		reply, err := s.Do(t.Context(), 0, block, nil, 32)
		result += fmt.Sprintf(", %x: status %x, %v, %d bytes, residual %d, %v",
			op, reply.Status, reply.Sense, len(reply.Data), reply.Residual, err)
	}
	code, err := s.AbortTask(0, 99)
	result += fmt.Sprintf(", abort %d %v", code, err)
	code, err = s.ResetLUN(0)
	result += fmt.Sprintf(", reset %d %v", code, err)
	code, err = s.ResetLUN(9)
	result += fmt.Sprintf(", reset of no unit %d %v", code, err)
	return result + fmt.Sprintf(", close %v, %v", s.Close(), s.Err())
}
