package replica

import (
	"math"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The log is compacted after Options.CompactionEntries applied entries or maxLogBytes, whichever comes first.
const (
	maxLogBytes      = 4 << 20
	retainedLogBytes = maxLogBytes / 8 // of applied entries that a compaction retains for replicas that lag a little
)

// save persists what Raft requires to be persisted, in one synced transaction, and then updates the log in memory.
func (s *store) save(ready *raft.Ready) error {
	hasSnapshot := !raft.IsEmptySnap(ready.Snapshot)
	hasHardState := !raft.IsEmptyHardState(ready.HardState)
	if !hasHardState && !hasSnapshot && len(ready.Entries) == 0 {
		return nil
	}
	err := s.update(func(tx *bbolt.Tx) error {
		if hasSnapshot {
			if err := putSnapshot(tx, ready.Snapshot); err != nil {
				return err
			}
		}
		if err := putEntries(tx, ready.Entries); err != nil {
			return err
		}
		if hasHardState {
			return putMessage(tx, keyHardState, ready.HardState)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if hasSnapshot {
		if err := s.memory.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if hasHardState {
		if err := s.memory.SetHardState(ready.HardState); err != nil {
			return err
		}
	}
	// The sum is too high if the entries replace others, until the next compaction counts again.
	s.logBytes += entryBytes(ready.Entries)
	return s.memory.Append(ready.Entries)
}

// putMessage writes a message into bucketRaft.
func putMessage(tx *bbolt.Tx, key []byte, message proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketRaft).Put(key, encoded)
}

// putEntries writes entries. It deletes all stored entries from the first one's index on, which are from another
// leader.
func putEntries(tx *bbolt.Tx, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	log := tx.Bucket(bucketLog)
	cursor := log.Cursor()
	for key, _ := cursor.Seek(encodeKey(entries[0].GetIndex())); key != nil; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		encoded, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		if err := log.Put(encodeKey(entry.GetIndex()), encoded); err != nil {
			return err
		}
	}
	return nil
}

// putSnapshot writes a snapshot and deletes the entries that it covers.
func putSnapshot(tx *bbolt.Tx, snapshot *raftpb.Snapshot) error {
	if err := putMessage(tx, keySnapshot, snapshot); err != nil {
		return err
	}
	index := snapshot.GetMetadata().GetIndex()
	cursor := tx.Bucket(bucketLog).Cursor()
	for key, _ := cursor.First(); key != nil && decodeKey(key) <= index; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// entryBytes returns the total size of the entries' data.
func entryBytes(entries []*raftpb.Entry) int {
	total := 0
	for _, entry := range entries {
		total += len(entry.GetData())
	}
	return total
}

// entriesTo returns the entries in memory up to and including an index.
func (s *store) entriesTo(index uint64) ([]*raftpb.Entry, error) {
	first, err := s.memory.FirstIndex()
	if err != nil || index < first {
		return nil, err
	}
	return s.memory.Entries(first, index+1, math.MaxUint64)
}

// needsCompaction reports whether the log, applied up to an index, has more than maxEntries applied entries or too
// many bytes.
func (s *store) needsCompaction(applied, maxEntries uint64) bool {
	first, err := s.memory.FirstIndex()
	if err != nil {
		return false
	}
	if applied > first+maxEntries {
		return true
	}
	if s.logBytes <= maxLogBytes {
		return false
	}
	// If most of the bytes are not applied yet, a compaction gains nothing.
	entries, err := s.entriesTo(applied)
	return err == nil && entryBytes(entries) > maxLogBytes/2
}

// compact replaces the entries up to an index with a snapshot, whose data is the state after them. The last of them
// stay in memory, up to retainedEntries and retainedLogBytes, so that a replica that lags a little needs no snapshot.
func (s *store) compact(index uint64, configuration *raftpb.ConfState, data []byte, retainedEntries uint64) error {
	snapshot, err := s.memory.CreateSnapshot(index, configuration, data)
	if err != nil {
		return err
	}
	if err := s.update(func(tx *bbolt.Tx) error { return putSnapshot(tx, snapshot) }); err != nil {
		return err
	}
	entries, err := s.entriesTo(index)
	if err != nil {
		return err
	}
	if cut := len(entries) - retainedCount(entries, retainedEntries); cut > 0 {
		if err := s.memory.Compact(entries[cut-1].GetIndex()); err != nil {
			return err
		}
	}
	return s.recountLog()
}

// retainedCount returns how many of the last entries a compaction retains.
func retainedCount(entries []*raftpb.Entry, maxEntries uint64) int {
	count := 0
	bytes := 0
	for count < len(entries) && uint64(count) < maxEntries {
		bytes += len(entries[len(entries)-1-count].GetData())
		if bytes > retainedLogBytes {
			break
		}
		count++
	}
	return count
}

// recountLog recomputes logBytes from the entries in memory.
func (s *store) recountLog() error {
	last, err := s.memory.LastIndex()
	if err != nil {
		return err
	}
	entries, err := s.entriesTo(last)
	if err != nil {
		return err
	}
	s.logBytes = entryBytes(entries)
	return nil
}
