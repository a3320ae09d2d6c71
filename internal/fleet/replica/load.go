package replica

import (
	"encoding/json"
	"fmt"
	"slices"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"irispost/internal/fleet/lease"
)

// load reads the file at path into the store and counts this start. If anything cannot be read, nothing is written.
func (s *store) load(path string, id uint64, voters []uint64) error {
	if err := s.db.View(func(tx *bbolt.Tx) error { return checkLength(tx, path) }); err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := createBuckets(tx); err != nil {
			return err
		}
		if err := s.loadAddresses(tx, path); err != nil {
			return err
		}
		founders, err := s.countStart(tx, path, id, voters)
		if err != nil {
			return err
		}
		if err := s.loadRaft(tx, path, founders); err != nil {
			return err
		}
		return s.loadPeerStarts(tx)
	})
}

func createBuckets(tx *bbolt.Tx) error {
	names := [][]byte{bucketSelf, bucketRaft, bucketLog, bucketPeerStarts, bucketMetadata, bucketContents}
	for _, name := range names {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *store) loadAddresses(tx *bbolt.Tx, path string) error {
	encoded := tx.Bucket(bucketSelf).Get(keyAddresses)
	if encoded == nil {
		return nil
	}
	if err := json.Unmarshal(encoded, &s.addresses); err != nil {
		return fmt.Errorf("%s: addresses: %w", path, err)
	}
	return nil
}

// countStart checks which replica the folder belongs to, counts this start and returns the voters that founded the
// group. The present voters are in the log.
func (s *store) countStart(tx *bbolt.Tx, path string, id uint64, voters []uint64) (founders []uint64, err error) {
	self := identity{ID: id, Voters: voters}
	if encoded := tx.Bucket(bucketSelf).Get(keyIdentity); encoded != nil {
		if err := json.Unmarshal(encoded, &self); err != nil {
			return nil, fmt.Errorf("%s: identity: %w", path, err)
		}
		// After the first membership change the replica's options may list other voters than the founders.
		unchanged := len(s.addresses) == 0 && voters != nil && self.Voters != nil
		if self.ID != id || unchanged && !slices.Equal(self.Voters, voters) {
			return nil, fmt.Errorf("%s belongs to replica %d of %v, not to replica %d of %v",
				path, self.ID, self.Voters, id, voters)
		}
	}
	self.Starts++
	s.starts = self.Starts
	encoded, err := json.Marshal(self)
	if err != nil {
		return nil, err
	}
	return self.Voters, tx.Bucket(bucketSelf).Put(keyIdentity, encoded)
}

// loadRaft reads Raft's snapshot, hard state and log into memory.
func (s *store) loadRaft(tx *bbolt.Tx, path string, founders []uint64) error {
	snapshot, err := loadSnapshot(tx, path, founders)
	if err != nil {
		return err
	}
	hardState := &raftpb.HardState{}
	if len(snapshot.GetMetadata().GetConfState().GetVoters()) > 0 {
		hardState = &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if err := s.memory.ApplySnapshot(snapshot); err != nil {
			return err
		}
	} // otherwise this replica joins a group, and receives its state from the voters
	if encoded := tx.Bucket(bucketRaft).Get(keyHardState); encoded != nil {
		hardState = &raftpb.HardState{}
		if err := proto.Unmarshal(encoded, hardState); err != nil {
			return fmt.Errorf("%s: hard state: %w", path, err)
		}
	}
	if err := s.memory.SetHardState(hardState); err != nil {
		return err
	}
	entries, err := loadEntries(tx, path, snapshot.GetMetadata().GetIndex()+1)
	if err != nil {
		return err
	}
	s.logBytes = entryBytes(entries)
	return s.memory.Append(entries)
}

// loadSnapshot reads the snapshot, or creates that of an empty log if there is none.
func loadSnapshot(tx *bbolt.Tx, path string, founders []uint64) (*raftpb.Snapshot, error) {
	encoded := tx.Bucket(bucketRaft).Get(keySnapshot)
	if encoded == nil {
		return &raftpb.Snapshot{
			Data: lease.NewStateMachine().Snapshot(),
			Metadata: &raftpb.SnapshotMetadata{
				Index:     proto.Uint64(1),
				Term:      proto.Uint64(1),
				ConfState: &raftpb.ConfState{Voters: founders},
			},
		}, nil
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return nil, fmt.Errorf("%s: snapshot: %w", path, err)
	}
	return snapshot, nil
}

// loadEntries reads the log from an index on.
func loadEntries(tx *bbolt.Tx, path string, from uint64) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	cursor := tx.Bucket(bucketLog).Cursor()
	for key, value := cursor.Seek(encodeKey(from)); key != nil; key, value = cursor.Next() {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(value, entry); err != nil {
			return nil, fmt.Errorf("%s: entry %d: %w", path, decodeKey(key), err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// peerStartBytes is the length of a record in bucketPeerStarts that has a start count and an incarnation number. Older
// programs recorded the count alone.
const peerStartBytes = 16

func (s *store) loadPeerStarts(tx *bbolt.Tx) error {
	return tx.Bucket(bucketPeerStarts).ForEach(func(key, value []byte) error {
		start := peerStart{count: decodeKey(value)}
		if len(value) == peerStartBytes {
			start.incarnation = decodeKey(value[8:])
		}
		s.peerStarts[decodeKey(key)] = start
		return nil
	})
}
