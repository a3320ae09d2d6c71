package replica

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
)

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// A replica that is started from an older copy of its folder could vote twice; one that is started with another
// replica's folder could vote in its place. A truncated file has lost state. All of them are rejected.
func TestStartRejectsFolderThatIsOlderOrAnothersOrTruncated(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	client := c.client()
	propose(t, client, 1, rateLimitConfig(1))
	c.stop(3)
	older := readFile(t, c.file(3))
	c.start(3)
	propose(t, client, 2, rateLimitConfig(2))
	c.stop(3)
	newest := readFile(t, c.file(3))

	writeFile(t, c.file(3), older)
	c.start(3)
	<-c.running[3].Done()
	if err := c.running[3].Err(); !errors.Is(err, ErrStaleIncarnation) {
		t.Errorf("with an older copy of the folder: got error %v, want ErrStaleIncarnation", err)
	}
	delete(c.running, 3)

	c.stop(2)
	ofTwo := readFile(t, c.file(2))
	writeFile(t, c.file(2), newest)
	if err := c.tryStart(2); err == nil || !strings.Contains(err.Error(), "belongs to replica 3") {
		t.Errorf("with the folder of replica 3: got error %v, want one that names replica 3", err)
	}

	for sixteenths := 1; sixteenths < 16; sixteenths++ {
		expectTruncatedRejected(t, newest[:len(newest)*sixteenths/16])
	}

	writeFile(t, c.file(2), ofTwo)
	writeFile(t, c.file(3), newest)
	c.start(2, 3)
	if list, err := client.Versions(1); err != nil || len(list) != 2 {
		t.Errorf("in the end there are %d versions, want 2; error %v", len(list), err)
	}
}

// expectTruncatedRejected opens a truncated file, which is to be rejected unless only unused pages were cut off.
func expectTruncatedRejected(t *testing.T, file []byte) {
	t.Helper()
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, databaseName), file)
	s, err := openStore(dir, 3, []uint64{1, 2, 3})
	if err != nil {
		if !strings.Contains(err.Error(), "cannot be read") {
			t.Errorf("a truncated file: got error %v, want one that it cannot be read", err)
		}
		return
	}
	var size int64
	if err := s.db.View(func(tx *bbolt.Tx) error { size = tx.Size(); return nil }); err != nil {
		t.Error(err)
	}
	if size > int64(len(file)) { // the part that was cut off was in use
		t.Errorf("a file of %d bytes that was truncated to %d bytes was opened, want an error", size, len(file))
	}
	if err := s.db.Close(); err != nil {
		t.Error(err)
	}
}

// A corrupt snapshot is rejected with a one-line error that names the file.
func TestStartRejectsCorruptSnapshot(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	proposeNamedNodes(t, c.client(), 20, 1, 40)
	c.stop(1, 2, 3)
	db, err := bbolt.Open(c.file(1), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		snapshot := append([]byte(nil), tx.Bucket(bucketRaft).Get(keySnapshot)...)
		snapshot[len(snapshot)/2] ^= 1
		return tx.Bucket(bucketRaft).Put(keySnapshot, snapshot)
	})
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	err = c.tryStart(1)
	if err == nil {
		t.Fatal("the replica started with a corrupt snapshot")
	}
	text := err.Error()
	if !strings.Contains(text, c.file(1)) || !strings.Contains(text, "cannot be read") || strings.Contains(text, "\n") {
		t.Error(err)
	}
}

// A start is identified by its count and its incarnation number. The same start may be repeated, before and after the
// recording replica has restarted; an older start, or another one with the same count, is rejected.
func TestRecordStartAcceptsLaterAndRepeatedStartsOnly(t *testing.T) {
	dir := t.TempDir()
	open := func() *store {
		t.Helper()
		s, err := openStore(dir, 1, []uint64{1, 2, 3})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	closeStore := func(s *store) {
		t.Helper()
		if err := s.db.Close(); err != nil {
			t.Fatal(err)
		}
	}
	s := open()
	for i, test := range []struct {
		count, incarnation uint64
		accepted           bool
	}{
		{1, 7, true},
		{1, 7, true},
		{1, 8, false},
		{1, 0, false},
		{2, 8, true},
		{1, 7, false},
		{0, 0, false},
		{2, 8, true}, // after a restart
		{2, 9, false},
		{3, 0, true},
		{3, 0, false},
	} {
		if i == 7 {
			closeStore(s)
			s = open()
		}
		if accepted, err := s.recordStart(2, test.count, test.incarnation); accepted != test.accepted || err != nil {
			t.Errorf("case %d, start %d of incarnation %d: got accepted %t, error %v; want accepted as in the case, no error",
				i, test.count, test.incarnation, accepted, err)
		}
	}
	closeStore(s)
}
