package replay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"irispost/internal/capture"
)

// A capture that ends at an arbitrary byte, as after a gateway was killed, replays to the same decisions up to its
// last complete block, and the report says where it stops.
func TestCaptureOfAKilledGatewayReplaysToItsLastBlock(t *testing.T) {
	for seed := range uint64(100) {
		var m memoryFile
		rec := capture.NewRecorder(&m, "g", "b", testLimits())
		now := drive(seed, 300, rec)
		if err := rec.Close(now); err != nil {
			t.Fatal(err)
		}
		whole, err := Run(openCapture(t, m.Bytes()), Options{})
		if err != nil || !whole.Matches() || whole.State != Ended {
			t.Fatalf("seed %d, whole capture: got state %v, error %v, want it ended with the same decisions\n%s",
				seed, whole.State, err, describeDifference(whole))
		}
		cut := 8 + rand.New(rand.NewPCG(seed, 6)).IntN(m.Len()-8)
		part, err := Run(openCapture(t, m.Bytes()[:cut]), Options{})
		if err != nil || part.State != Truncated || part.Difference != nil || part.Records > whole.Records ||
			!strings.Contains(part.Reason, "complete records") {
			t.Fatalf("seed %d, cut at byte %d of %d: got state %v, error %v, reason %q, want a truncated capture\n%s",
				seed, cut, m.Len(), part.State, err, part.Reason, describeDifference(part))
		}
	}
}

// Wherever a capture is cut and whichever byte has a flipped bit, the records that can be read are as they were
// written, and the reader reports an error.
func TestCutAndFlippedBytesAreNoticed(t *testing.T) {
	var m memoryFile
	l := testLimits()
	l.BlockBytes = 1 << 10
	rec := capture.NewRecorder(&m, "g", "b", l)
	if err := rec.Close(drive(1, 40, rec)); err != nil {
		t.Fatal(err)
	}
	count := func(b []byte) (n int, sum string, err error) {
		r, err := capture.NewReader(bytes.NewReader(b))
		for err == nil {
			var record *capture.Record
			if record, err = r.Next(); err == nil {
				n++
				sum += fmt.Sprint(*record)
			}
		}
		return n, sum, err
	}
	all, text, err := count(m.Bytes())
	if !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	for cut := range m.Len() {
		n, sum, err := count(m.Bytes()[:cut])
		if n >= all || !errors.Is(err, capture.ErrTruncated) || !strings.HasPrefix(text, sum) {
			t.Fatalf("cut at byte %d: read %d of %d records, error %v, want fewer unchanged ones and ErrTruncated",
				cut, n, all, err)
		}
	}
	for at := range m.Len() {
		b := bytes.Clone(m.Bytes())
		b[at] ^= 1 << (at % 8)
		n, sum, err := count(b)
		if n >= all || errors.Is(err, io.EOF) || !strings.HasPrefix(text, sum) {
			t.Fatalf("bit flipped in byte %d: read %d of %d records, error %v, want fewer unchanged ones and an error",
				at, n, all, err)
		}
	}
}

// A capture continues in the next file when one is full. Each file replays on its own, and only the configured number
// of files is kept.
func TestEachFileOfACaptureReplaysByItself(t *testing.T) {
	decisions := int64(0)
	// How many records the kept files contain depends on how far the writer lags behind the driver.
	for seed := uint64(9); decisions == 0 && seed < 40; seed++ {
		decisions = replayRotatedFiles(t, seed)
	}
	if decisions == 0 {
		t.Error("got no decisions in the kept files of any seed, want at least one")
	}
}

func replayRotatedFiles(t *testing.T, seed uint64) (decisions int64) {
	dir := t.TempDir()
	l := testLimits()
	l.FileBytes, l.KeptFiles = 40_000, 3
	rec, first, err := capture.CreateInDir(dir, "g", "b", l)
	if err != nil {
		t.Fatal(err)
	}
	if err := rec.Close(drive(seed, 6000, rec)); err != nil || rec.Status().Dropped > 0 {
		t.Fatal(err, rec.Status())
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.iriscap"))
	if _, err := os.Stat(first); len(files) != 3 || !os.IsNotExist(err) {
		t.Fatalf("got files %v, stat of the first: %v, want 3 files without the first", files, err)
	}
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil || len(b) > 50_000 {
			t.Fatal(len(b), err)
		}
		r, err := Run(openCapture(t, b), Options{})
		if err != nil || r.Difference != nil || r.State != Ended && r.State != Waiting {
			t.Errorf("%s: got state %v, error %v, want it ended or waiting, without a difference\n%s",
				file, r.State, err, describeDifference(r))
		}
		decisions += r.Decisions
	}
	return decisions
}

// blockedFile is a file whose writes block until unblock is closed.
type blockedFile struct {
	memoryFile
	unblock chan struct{}
}

func (s *blockedFile) Write(b []byte) (int, error) {
	<-s.unblock
	return s.memoryFile.Write(b)
}

// A blocked disk does not block the recorder's callers: blocks are dropped and counted, and gap records say where. A
// capture that reaches its maximum size ends with an error.
func TestSlowAndFullDisksHoldUpNobody(t *testing.T) {
	l := testLimits()
	l.QueuedBlocks = 2
	disk := &blockedFile{unblock: make(chan struct{})}
	rec := capture.NewRecorder(disk, "g", "b", l)
	now := drive(3, 2000, rec)
	s := rec.Status()
	if s.Dropped == 0 {
		t.Error("got no dropped records while the disk was blocked, want some")
	}
	close(disk.unblock)
	for rec.Status().Written < 1000 {
		time.Sleep(time.Millisecond)
	}
	if err := rec.Close(now); err != nil {
		t.Fatal(err)
	}
	missing, next := int64(0), openCapture(t, disk.Bytes())
	r, err := Run(func() (*capture.Record, error) {
		rec, err := next()
		if err == nil {
			missing += int64(rec.Dropped)
		}
		return rec, err
	}, Options{})
	if err != nil || r.State != Gapped || r.Gaps == 0 || missing != s.Dropped {
		t.Errorf("got state %v, reason %q, %d gaps of %d records, %d dropped, error %v, want all dropped ones in gaps",
			r.State, r.Reason, r.Gaps, missing, s.Dropped, err)
	}
	var m memoryFile
	l = testLimits()
	l.FileBytes = 20_000
	rec = capture.NewRecorder(&m, "g", "b", l)
	if err := rec.Close(drive(3, 3000, rec)); err == nil || m.Len() > 21_000 {
		t.Errorf("full capture: got %d bytes, error %v, want at most 21000 and an error", m.Len(), err)
	}
	if r, err := Run(openCapture(t, m.Bytes()), Options{}); err != nil || r.State != Ended || !r.Matches() {
		t.Errorf("replay of a full capture: got state %v, error %v, want it ended with the same decisions", r.State, err)
	}
}

func TestOtherFilesAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"":                "truncated",
		"IRIS":            "truncated",
		"some other file": "not a capture",
		"IRISCAP7....":    `"7"`,
	} {
		if _, err := capture.NewReader(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("file content %q: got error %v, want one that names the problem", text, err)
		}
	}
}
