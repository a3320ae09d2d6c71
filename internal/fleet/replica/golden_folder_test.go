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

// A folder written by this build has the recorded buckets, keys and values.
func TestFolderMatchesGolden(t *testing.T) {
	s, err := openStore(t.TempDir(), 1, []uint64{1, 2, 3})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.db.Close() }() // the folder is deleted anyway
	fillStore(t, s)
	golden.Check(t, "buckets.golden", []byte(dumpBuckets(t, s.db)))
}

// fillStore writes something into each bucket.
func fillStore(t *testing.T, s *store) {
	t.Helper()
	for _, start := range []struct{ id, count, incarnation uint64 }{{2, 1, 7}, {3, 4, 0}} {
		if ok, err := s.recordStart(start.id, start.count, start.incarnation); !ok || err != nil {
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

// dumpBuckets returns all buckets, keys and values of a file as text, each value as JSON or as hex.
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

// testdata/folder is the folder of replica 1 of a group of three that compacted its log after 20 entries, announced 75
// versions of which all but the newest few were forgotten, knew one gateway, and was then reduced to replica 1 alone.
// This build opens it: it has the versions with their digests, the history, the voters and the starts of the peers,
// and the replica leads and accepts the next version.
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
			t.Errorf("version %d: the content has digest %s, want that of the version",
				version.Number, configversion.DigestOf(version.Content))
		}
		fmt.Fprintf(out, "%d of %d, %s, %s: %s, %s, %d bytes\n", version.Number, version.Parent, version.Digest,
			version.Author, version.Reason, version.CreatedAt, len(version.Content))
	}
	golden.Check(t, "folder.golden", []byte(out.String()))
	next := &lease.Proposal{ID: "next", Parent: status.Announced, ReplacePending: true, Content: rateLimitConfig(1)}
	if version, err := client.Propose(next); err != nil || version.Number != status.Announced+1 {
		t.Errorf("the next version: got %+v, error %v; want the number after the announced one", version, err)
	}
}

// describeFolder writes the state that a replica has loaded from its folder to out.
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
