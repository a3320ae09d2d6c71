package replica

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/internal/testkit/golden"
)

// A folder that is written by this build has the buckets, keys and values that are recorded.
func TestFolderMatchesGolden(t *testing.T) {
	s, err := openStore(t.TempDir(), 1, []uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.db.Close() }() // its folder is deleted
	fillGolden(t, s)
	golden.Check(t, "buckets.golden", []byte(dumpBuckets(t, s.db)))
}

// fillGolden writes something into each bucket.
func fillGolden(t *testing.T, s *store) {
	t.Helper()
	for _, start := range []struct{ id, count, mark uint64 }{{2, 1, 7}, {3, 4, 0}} {
		if ok, err := s.recordStart(start.id, start.count, start.mark); !ok || err != nil {
			t.Fatal(ok, err)
		}
	}
	if err := s.saveAddresses(map[uint64]string{1: "a:1", 4: "d:1"}); err != nil {
		t.Fatal(err)
	}
	ready := &raft.Ready{
		HardState: &raftpb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(1), Commit: proto.Uint64(4)},
	}
	for index := uint64(2); index <= 5; index++ {
		ready.Entries = append(ready.Entries, &raftpb.Entry{
			Index: proto.Uint64(index),
			Term:  proto.Uint64(3),
			Type:  raftpb.EntryNormal.Enum(),
			Data:  []byte(fmt.Sprint(index)),
		})
	}
	if err := s.save(ready); err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= 70; n++ {
		content := rateLimitConfig(float64(n))
		s.history.add(&configversion.Version{
			Number:    n,
			Parent:    n - 1,
			Digest:    configversion.DigestOf(content),
			Author:    "ann",
			Reason:    fmt.Sprint("change ", n),
			CreatedAt: "now",
			Content:   content,
		}, nil)
	}
	if err := s.compact(3, &raftpb.ConfState{Voters: []uint64{1, 2, 3}}, []byte("the state"), 1); err != nil {
		t.Fatal(err)
	}
}

// dumpBuckets writes down all that a file has, each value as JSON text or as hex.
func dumpBuckets(t *testing.T, db *bbolt.DB) string {
	t.Helper()
	out := &strings.Builder{}
	err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			fmt.Fprintf(out, "bucket %s, sequence %d\n", name, bucket.Sequence())
			return bucket.ForEach(func(key, value []byte) error {
				fmt.Fprintf(out, "  %s %s\n", describeKey(key), describeValue(value))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func describeKey(key []byte) string {
	if len(key) == 8 && key[0] == 0 {
		return fmt.Sprint(binary.BigEndian.Uint64(key))
	}
	return fmt.Sprintf("%q", key)
}

func describeValue(value []byte) string {
	if json.Valid(value) {
		return string(value)
	}
	return hex.EncodeToString(value)
}

// testdata/folder is of replica 1 of three that started with logs compacted after 20 entries, took 75 versions of which
// those before the newest few were forgotten, knew a gateway, and then went on with replica 1 alone. It opens, and has
// the versions with their digests, the history, who votes, and what it knows of the others; it leads and goes on.
func TestFolderOfEarlierBuildOpens(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "keeper.db"), readFile(t, filepath.Join("testdata", "folder", "keeper.db")))
	r := startGolden(t, dir, map[uint64]string{1: "first:7000"})
	client := &Client{Replicas: []string{r.Addr()}, Timeout: time.Minute}
	status, err := client.Status()
	if err != nil {
		t.Fatal(err)
	}
	out := &strings.Builder{}
	fmt.Fprintf(out, "in force %d, announced %d, lease %d ms, stated %d ms, voters %v\n",
		status.InForce, status.Announced, status.LeaseMillis, status.ConvergenceBoundMillis, status.Voters)
	describeFolder(t, r, out)
	list, err := client.Versions(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, version := range list {
		if version.Content != nil && configversion.DigestOf(version.Content) != version.Digest {
			t.Errorf("version %d has a content of digest %s", version.Number, configversion.DigestOf(version.Content))
		}
		fmt.Fprintf(out, "%d of %d, %s, %s: %s, %s, %d bytes\n", version.Number, version.Parent, version.Digest,
			version.Author, version.Reason, version.CreatedAt, len(version.Content))
	}
	golden.Check(t, "folder.golden", []byte(out.String()))
	next := &lease.Proposal{ID: "next", Parent: status.Announced, ReplacePending: true, Content: rateLimitConfig(1)}
	if version, err := client.Propose(next); err != nil || version.Number != status.Announced+1 {
		t.Errorf("the next version: %+v, %v", version, err)
	}
}

// describeFolder writes down what a replica has taken from its folder.
func describeFolder(t *testing.T, r *Replica, out *strings.Builder) {
	t.Helper()
	r.call(t, func() {
		peerStarts := map[uint64]uint64{}
		for id, start := range r.store.peerStarts {
			peerStarts[id] = start.count
		}
		first, err := r.store.memory.FirstIndex()
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(out, "start %d, addresses %v, starts of others %v, ",
			r.store.starts, r.membership.addresses, peerStarts)
		fmt.Fprintf(out, "form %d, kept versions from %d, log from %d\n",
			r.machine.Format, r.machine.Versions[0].Number, first)
	})
}
