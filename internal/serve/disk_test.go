package serve_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"irispost/internal/iscsi"
	"irispost/internal/iscsi/initiator"
	"irispost/internal/iscsi/negotiate"
	"irispost/internal/scsi"
	"irispost/internal/standin"
	"irispost/internal/testkit"
)

const targetName = "iqn.2026-01.example:meals"

// disksConf configures disks with blocks of 4096 and 512 bytes, and one behind a target with CHAP.
const disksConf = `
disks {
  listen = "127.0.0.1:0"
  login  = "2s"
  target "iqn.2026-01.example:meals" {
    lun "0" {
      file = "/meals/disk0"
      size = "16MiB"
    }
    lun "3" {
      file  = "/meals/disk3"
      size  = "1MiB"
      block = "512B"
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

// diskTestbed starts a testbed with the disks of disksConf.
func diskTestbed(t testing.TB, shards, gateways int, change func(*standin.Options)) *testkit.Testbed {
	return testkit.Start(t, testkit.Conf+disksConf, shards, gateways, change)
}

// diskOptions returns the options of a session with the disks of a gateway. change may alter them.
func diskOptions(b *testkit.Testbed, gateway int, change func(*initiator.Options)) initiator.Options {
	o := initiator.Options{Address: b.Gateways[gateway].ISCSI.Addr(), Name: "iqn.2026-01.example:host",
		Target: targetName}
	if change != nil {
		change(&o)
	}
	return o
}

func openDisk(t testing.TB, o initiator.Options, lun uint16) *initiator.Disk {
	t.Helper()
	d, err := initiator.Open(context.Background(), o, lun, initiator.RetryPolicy{Timeout: failureTimeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

// TestDiskReadsBackWrites: written blocks are read back with each way of data transfer: solicited or not, with or
// without digests, in short and long PDUs. The file front end reads the same content.
func TestDiskReadsBackWrites(t *testing.T) {
	b := diskTestbed(t, 3, 1, nil)
	for i, change := range []func(*initiator.Options){
		func(*initiator.Options) {},
		func(o *initiator.Options) { o.Digests = true },
		func(o *initiator.Options) { o.SolicitedOnly = true },
		func(o *initiator.Options) { o.MaxRecvSegment, o.SolicitedOnly, o.Digests = 512, true, true },
	} {
		d := openDisk(t, diskOptions(b, 0, func(o *initiator.Options) {
			o.ISID[5] = byte(i)
			change(o)
		}), 0)
		if d.BlockSize != 4096 || d.Size() != 16<<20 || !strings.Contains(d.Model, "IRISPOST") {
			t.Fatalf("got disk %+v, want blocks of 4096 bytes, 16 MiB and model IRISPOST", d)
		}
		for _, n := range []int{4096, 64 << 10, 300 << 10 &^ 4095, 5 << 20} {
			expectReadsBack(t, d, randomBytes(uint64(n+i), n), int64(n/3&^4095))
		}
		if err := d.Sync(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	d := openDisk(t, diskOptions(b, 0, nil), 0)
	content := make([]byte, d.Size())
	if _, err := d.ReadAt(content, 0); err != nil {
		t.Fatal(err)
	}
	if got, err := get(b.Client(0), "/meals/disk0"); err != nil || !bytes.Equal(got, content) {
		t.Errorf("the file read over SFTP has %d bytes, equal to the disk: %v, error %v; want the disk's content",
			len(got), bytes.Equal(got, content), err)
	}
}

func expectReadsBack(t *testing.T, d *initiator.Disk, data []byte, offset int64) {
	t.Helper()
	if _, err := d.WriteAt(data, offset); err != nil {
		t.Fatalf("write of %d bytes at %d: %v", len(data), offset, err)
	}
	got := make([]byte, len(data))
	if _, err := d.ReadAt(got, offset); err != nil || !bytes.Equal(got, data) {
		t.Fatalf("%d bytes at %d: read back equal %v, error %v, want true and none",
			len(data), offset, bytes.Equal(got, data), err)
	}
}

// TestDiskRejectsUnalignedAndPastEnd: a disk with blocks of 512 bytes accepts whole blocks only, up to its end.
func TestDiskRejectsUnalignedAndPastEnd(t *testing.T) {
	b := diskTestbed(t, 3, 1, nil)
	small := openDisk(t, diskOptions(b, 0, nil), 3)
	if small.BlockSize != 512 || small.BlockCount != 2048 {
		t.Errorf("got disk %+v, want 2048 blocks of 512 bytes", small)
	}
	if _, err := small.WriteAt(randomBytes(1, 1536), 512); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		bytes  int
		offset int64
	}{{100, 0}, {512, 100}, {512, 1 << 20}, {1024, 1<<20 - 512}} {
		if _, err := small.ReadAt(make([]byte, c.bytes), c.offset); err == nil {
			t.Errorf("read of %d bytes at %d succeeded, want an error", c.bytes, c.offset)
		}
	}
}

// TestDiskUnmapReadsAsZeros: unmapped blocks read as zeros, and COMPARE AND WRITE reports a miscompare if the data
// differ.
func TestDiskUnmapReadsAsZeros(t *testing.T) {
	b := diskTestbed(t, 2, 1, nil)
	d := openDisk(t, diskOptions(b, 0, nil), 0)
	data := randomBytes(5, 256<<10)
	if _, err := d.WriteAt(data, 0); err != nil {
		t.Fatal(err)
	}
	if err := d.Unmap(t.Context(), 8192, 100<<10); err != nil {
		t.Fatal(err)
	}
	clear(data[8192 : 8192+100<<10])
	got := make([]byte, len(data))
	if _, err := d.ReadAt(got, 0); err != nil || !bytes.Equal(got, data) {
		t.Errorf("after UNMAP: error %v or wrong content, want zeros where unmapped and the old data elsewhere", err)
	}
	err := d.CompareAndWrite(t.Context(), make([]byte, 4096), randomBytes(6, 4096), 0)
	if !errors.Is(err, initiator.ErrMiscompare) {
		t.Errorf("COMPARE AND WRITE: error %v, want a miscompare", err)
	}
}

// counterBlock returns a block that holds a number.
func counterBlock(n uint64) []byte {
	b := make([]byte, 4096)
	binary.BigEndian.PutUint64(b, n)
	return b
}

// increment adds one to the number in a block with COMPARE AND WRITE. It returns false if the block has changed since
// the read.
func increment(ctx context.Context, d *initiator.Disk, offset int64) (done bool, err error) {
	now := make([]byte, 4096)
	if _, err := d.ReadAt(now, offset); err != nil {
		return false, err
	}
	err = d.CompareAndWrite(ctx, now, counterBlock(binary.BigEndian.Uint64(now)+1), offset)
	if errors.Is(err, initiator.ErrMiscompare) {
		return false, nil
	}
	return err == nil, err
}

// TestDiskCompareAndWriteIsAtomic: several sessions increment one counter concurrently, and no increment is lost.
func TestDiskCompareAndWriteIsAtomic(t *testing.T) {
	const sessions, increments, offset = 4, 20, 1 << 20
	b := diskTestbed(t, 2, 1, nil)
	var running sync.WaitGroup
	for i := range sessions {
		d := openDisk(t, diskOptions(b, 0, func(o *initiator.Options) { o.ISID[5] = byte(10 + i) }), 0)
		running.Go(func() {
			for count := 0; count < increments; {
				done, err := increment(t.Context(), d, offset)
				if err != nil {
					t.Error(err)
					return
				}
				if done {
					count++
				}
			}
		})
	}
	running.Wait()
	now := make([]byte, 4096)
	_, err := openDisk(t, diskOptions(b, 0, nil), 0).ReadAt(now, offset)
	if err != nil || binary.BigEndian.Uint64(now) != sessions*increments {
		t.Errorf("counter %d, error %v, want the sum of all increments", binary.BigEndian.Uint64(now), err)
	}
}

// TestDiskCommandsThatFailHaveSense: invalid commands end with CHECK CONDITION and their sense. The session stays
// open.
func TestDiskCommandsThatFailHaveSense(t *testing.T) {
	b := diskTestbed(t, 2, 1, nil)
	openDisk(t, diskOptions(b, 0, nil), 0) // waits until the unit is ready
	s, err := initiator.Dial(t.Context(), diskOptions(b, 0, func(o *initiator.Options) { o.ISID[5] = 99 }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for name, c := range map[string]struct {
		lun   uint16
		cdb   []byte
		out   []byte
		in    int
		sense *scsi.Sense
	}{
		"reserve":         {0, []byte{0x16}, nil, 0, scsi.InvalidOpcode},
		"another unit":    {7, []byte{0x00}, nil, 0, scsi.LUNNotSupported},
		"past the end":    {0, []byte{0x28, 0, 0, 1, 0, 0, 0, 0, 1, 0}, nil, 4096, scsi.LBAOutOfRange},
		"too little data": {0, []byte{0x2a, 0, 0, 0, 0, 0, 0, 0, 2, 0}, make([]byte, 4096), 0, scsi.InvalidField},
		"a wrong list":    {0, []byte{0x42, 0, 0, 0, 0, 0, 0, 0, 4, 0}, make([]byte, 4), 0, scsi.ParameterListLength},
	} {
		r, err := s.Do(t.Context(), c.lun, append(c.cdb, make([]byte, 16-len(c.cdb))...), c.out, c.in)
		if err != nil || r.Status != scsi.CheckCondition || r.Sense == nil {
			t.Errorf("%s: response %+v, error %v, want CHECK CONDITION with sense", name, r, err)
		} else if r.Sense.Key != c.sense.Key || r.Sense.Code != c.sense.Code {
			t.Errorf("%s: sense %+v, want %+v", name, r.Sense, c.sense)
		}
	}
	reportLUNs := append([]byte{0xa0, 0, 0, 0, 0, 0, 0, 0, 0, 64}, 0, 0, 0, 0, 0, 0)
	luns, err := s.Do(t.Context(), 0, reportLUNs, nil, 64)
	if err != nil || len(luns.Data) != 24 || luns.Residual != 40 {
		t.Errorf("REPORT LUNS: %+v, error %v, want 24 bytes and a residual of 40", luns, err)
	}
	if err := s.Ping(); err != nil {
		t.Error(err)
	}
}

// TestDiskLoginIsChecked: discovery returns the targets. A target with a CHAP secret admits only initiators that know
// the secret, and authenticates itself to them.
func TestDiskLoginIsChecked(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	ctx := context.Background()
	found, err := initiator.Discover(ctx, diskOptions(testbed, 0, nil))
	if err != nil || len(found) != 2 || found[0].Name != targetName ||
		found[0].Address != testbed.Gateways[0].ISCSI.Addr() {
		t.Errorf("discovery returned %+v, error %v, want the 2 targets", found, err)
	}
	const secretTarget = "iqn.2026-01.example:secret"
	good := negotiate.Account{Name: "host", Secret: "a secret of a host", TargetSecret: "another one, ours"}
	unproven := negotiate.Account{Name: "host", Secret: good.Secret, TargetSecret: "what it is not"}
	for name, c := range map[string]struct {
		account negotiate.Account
		target  string
		want    string
	}{
		"good":           {good, secretTarget, ""},
		"none":           {negotiate.Account{}, secretTarget, "0201"},
		"wrong":          {negotiate.Account{Name: "host", Secret: "another secret"}, secretTarget, "0201"},
		"wrong name":     {negotiate.Account{Name: "you", Secret: good.Secret}, secretTarget, "0201"},
		"another target": {good, "iqn.2026-01.example:nobody", "0203"},
		"no proof":       {unproven, secretTarget, "does not prove"},
		"not needed":     {good, targetName, ""},
	} {
		s, err := initiator.Dial(ctx, diskOptions(testbed, 0, func(o *initiator.Options) {
			o.Account, o.Target = c.account, c.target
		}))
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: login error %v, want one with the text of the case, or none if that is empty", name, err)
		}
		if err == nil {
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		}
	}
}

// TestDiskSurvivesMalformedInput: connections that are silent or send invalid PDUs, wrong lengths or PDUs out of
// sequence are closed. Others are still served.
func TestDiskSurvivesMalformedInput(t *testing.T) {
	testbed := diskTestbed(t, 1, 1, nil)
	addr := testbed.Gateways[0].ISCSI.Addr()
	send := func(b []byte) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(b) // the target may have closed the connection already
		return c
	}
	var unresponsive []net.Conn
	for range 200 {
		unresponsive = append(unresponsive, send(nil))
	}
	expectClosed := func(what string, c net.Conn) {
		t.Helper()
		if err := c.SetReadDeadline(time.Now().Add(failureTimeout)); err != nil {
			t.Fatal(err)
		}
		for b := make([]byte, 4096); ; {
			if _, err := c.Read(b); err != nil {
				if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
					t.Errorf("%s: the connection is not closed", what)
				}
				_ = c.Close()
				return
			}
		}
	}
	r := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		b := randomBytes(r.Uint64(), 200)
		expectClosed("random bytes", send(b))
	}
	long := iscsi.New(iscsi.LoginRequest, 0x87)
	long.Header[5] = 0xff
	expectClosed("a long login", send(long.Header[:]))
	early := iscsi.New(iscsi.Command, 0x80)
	expectClosed("a command before the login", send(early.Header[:]))
	half := iscsi.New(iscsi.LoginRequest, 0x80)
	expectClosed("half a login", send(half.Header[:20]))
	d := openDisk(t, diskOptions(testbed, 0, nil), 0)
	if _, err := d.WriteAt(randomBytes(1, 8192), 0); err != nil {
		t.Error(err)
	}
	for _, c := range unresponsive {
		expectClosed("a silent connection", c)
	}
	if _, err := d.ReadAt(make([]byte, 8192), 0); err != nil {
		t.Error(err)
	}
}

// TestDiskReadsBackWhileNodesFail: acknowledged writes are read back although nodes fail, are slow, drop responses and
// reset connections, and sessions break.
func TestDiskReadsBackWhileNodesFail(t *testing.T) {
	testbed := diskTestbed(t, 3, 1, func(o *standin.Options) { o.UnitTime = 50 * time.Microsecond })
	var running sync.WaitGroup
	for k := range 4 {
		d := openDisk(t, diskOptions(testbed, 0, func(o *initiator.Options) {
			o.ISID[5] = byte(k)
			o.Digests = k%2 == 0
		}), 0)
		running.Add(1)
		go func() {
			defer running.Done()
			r := rand.New(rand.NewPCG(uint64(k), 3))
			blocks := map[int64][]byte{}
			for step := range 60 {
				at := int64(k)<<20 + int64(r.IntN(64))*4096
				if step%20 == 7 {
					d.Disconnect()
				}
				if b := blocks[at]; b != nil && r.IntN(2) == 0 {
					got := make([]byte, 4096)
					if _, err := d.ReadAt(got, at); err != nil || !bytes.Equal(got, b) {
						t.Errorf("disk client %d, read at %d: error %v, equal %v, want none and true",
							k, at, err, bytes.Equal(got, b))
						return
					}
					continue
				}
				b := randomBytes(r.Uint64(), 4096)
				if _, err := d.WriteAt(b, at); err != nil {
					t.Errorf("disk client %d, write at %d: %v", k, at, err)
					return
				}
				blocks[at] = b
			}
		}()
	}
	for i, trouble := range []string{"fail 0.2", "slow 5", "drop 0.01"} {
		if err := testbed.Nodes[i].Command(trouble); err != nil {
			t.Fatal(err)
		}
	}
	for range 5 {
		time.Sleep(50 * time.Millisecond)
		command(t, testbed.Nodes[0], "reset")
	}
	running.Wait()
}
