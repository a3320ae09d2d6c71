package replica

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"irispost/internal/fleet/configversion"
)

// A corrupt part of the history is reported in one log line, and the rest is listed.
func TestCorruptHistoryIsReportedOnceAndRestListed(t *testing.T) {
	const last = 200
	c := newTestCluster(t)
	c.start(1, 2, 3)
	proposeNamedNodes(t, c.client(), 20, 1, last)
	c.machine(1, last)
	r := c.running[1]
	warnings := &strings.Builder{}
	if all := listVersions(t, r, warnings); len(all) != last || warnings.Len() > 0 {
		t.Fatalf("%d versions are listed, want 200 and no warnings: %s", len(all), warnings)
	}

	var corrupt uint64 // a version whose content is truncated
	updateStore(t, r, func(tx *bbolt.Tx) error {
		contents := tx.Bucket(bucketContents)
		key, record := contents.Cursor().Seek(encodeKey(2*contentsPerSegment + 3))
		header, _ := binary.Uvarint(record)
		corrupt = header >> 1
		return contents.Put(key, append([]byte(nil), record[:len(record)-4]...))
	})
	all := listVersions(t, r, warnings)
	part := fmt.Sprint("content of version ", corrupt)
	lines := strings.Count(warnings.String(), "\n")
	if len(all) != last || lines != 1 || !strings.Contains(warnings.String(), part) {
		t.Errorf("%d versions are listed, want 200 and one warning: %s", len(all), warnings)
	}
	for _, version := range all {
		missing := version.Number >= corrupt && version.Number < corrupt+contentsPerSegment-3
		if missing != (version.Content == nil) {
			t.Errorf("version %d is listed with a content of %d bytes, and version %d is corrupt",
				version.Number, len(version.Content), corrupt)
		}
	}

	updateStore(t, r, func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketMetadata).Put(encodeKey(1), []byte("corrupt"))
	})
	all = listVersions(t, r, warnings)
	if len(all) != last-versionsPerPage || !strings.Contains(warnings.String(), "metadata of versions 64 to 127") {
		t.Errorf("%d versions are listed, want 136 and a warning of the page: %s", len(all), warnings)
	}
}

// updateStore writes to a replica's file.
func updateStore(t *testing.T, r *Replica, write func(tx *bbolt.Tx) error) {
	t.Helper()
	var err error
	r.call(t, func() { err = r.store.db.Update(write) })
	if err != nil {
		t.Fatal(err)
	}
}

// listVersions returns all versions that a replica has. The warnings that it logs meanwhile are written to warnings.
func listVersions(t *testing.T, r *Replica, warnings *strings.Builder) []*configversion.Version {
	t.Helper()
	var all []*configversion.Version
	warnings.Reset()
	r.call(t, func() {
		r.logger = slog.New(slog.NewTextHandler(warnings, &slog.HandlerOptions{Level: slog.LevelWarn}))
		for from := uint64(1); ; {
			page, err := r.versionsFrom(from)
			if err != nil {
				t.Error(err)
			}
			if len(page) == 0 {
				return
			}
			all = append(all, page...)
			from = page[len(page)-1].Number + 1
		}
	})
	return all
}
