// Package replica runs a keeper: a process that holds the log of versions together with others, by Raft, and has the pure package
// accord decide what follows from it. It decides nothing itself: it brings the clock, the disk and the network.
package replica

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"irispost/internal/fleet/lease"
)

// store is what lasts of a keeper: its number, how often it has started, Raft's state, log and snapshot, and how often it
// knows each other keeper to have started. Each change is synced before anything is said that builds on it.
type store struct {
	db           *bbolt.DB
	memory       *raft.MemoryStorage // the log as Raft reads it; it follows the disk
	bytes        int                 // of the entries in it
	starts       uint64
	known        map[uint64]uint64 // starts of others
	incarnations map[uint64]uint64 // the mark of each of them; 0: of the form before
	incarnation  uint64            // this start's own: an older copy that has come to the same count has another
	addrs        map[uint64]string // of keepers, as changes of voters told
	history      history
}

var (
	bucketSelf  = []byte("self")
	bucketRaft  = []byte("raft")
	bucketLog   = []byte("log")
	bucketKnown = []byte("known")
)

// identity is what a folder belongs to.
type identity struct {
	Number uint64   `json:"number"`
	Voters []uint64 `json:"voters"` // that founded the fleet; null: it joined later
	Starts uint64   `json:"starts"`
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// openStore opens a keeper's folder, or makes it. A folder of another keeper is refused.
func openStore(dir string, self uint64, voters []uint64) (out *store, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a file that was cut off is mapped past its end
	defer func() {
		if why := recover(); why != nil {
			out, err = nil, fmt.Errorf("%s cannot be read: %v; a keeper whose folder is lost is replaced, not started anew", dir, why)
		}
	}()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "keeper.db")
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", file)
	}
	if err != nil {
		return nil, fmt.Errorf("%s cannot be read: %w; a keeper whose folder is lost is replaced, not started anew", file, err)
	}
	if err := whole(db, file); err != nil {
		db.Close()
		return nil, err
	}
	s := &store{db: db, memory: raft.NewMemoryStorage(), known: map[uint64]uint64{}, incarnations: map[uint64]uint64{}, incarnation: rand.Uint64(), addrs: map[uint64]string{},
		history: history{told: map[string]bool{}}}
	if err := s.load(file, self, voters); err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// whole refuses a file that is shorter than what was written to it.
func whole(db *bbolt.DB, file string) error {
	return db.View(func(tx *bbolt.Tx) error {
		info, err := os.Stat(file)
		if err == nil && info.Size() < tx.Size() {
			err = fmt.Errorf("%s cannot be read: it has %d bytes of %d; a keeper whose folder is lost is replaced, not started anew", file, info.Size(), tx.Size())
		}
		return err
	})
}

func (s *store) load(file string, self uint64, voters []uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketSelf, bucketRaft, bucketLog, bucketKnown, bucketTrail, bucketContents} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		if b := tx.Bucket(bucketSelf).Get([]byte("addresses")); b != nil {
			if err := json.Unmarshal(b, &s.addrs); err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
		}
		id := identity{Number: self, Voters: voters}
		if b := tx.Bucket(bucketSelf).Get([]byte("identity")); b != nil {
			if err := json.Unmarshal(b, &id); err != nil {
				return fmt.Errorf("%s: %w", file, err)
			}
			if id.Number != self || voters != nil && id.Voters != nil && len(s.addrs) == 0 && !slices.Equal(id.Voters, voters) {
				return fmt.Errorf("%s belongs to keeper %d of %v, and this is keeper %d of %v", file, id.Number, id.Voters, self, voters)
			}
			voters = id.Voters // that it was founded with; who votes now is in the log
		}
		id.Starts++
		s.starts = id.Starts
		b, err := json.Marshal(id)
		if err != nil {
			return err
		}
		if err := tx.Bucket(bucketSelf).Put([]byte("identity"), b); err != nil {
			return err
		}
		snap := &raftpb.Snapshot{Data: lease.NewStateMachine().Snapshot(), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &raftpb.ConfState{Voters: voters}}}
		if b := tx.Bucket(bucketRaft).Get([]byte("snapshot")); b != nil {
			snap = &raftpb.Snapshot{}
			if err := proto.Unmarshal(b, snap); err != nil {
				return fmt.Errorf("%s: snapshot: %w", file, err)
			}
		}
		hard := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if len(snap.GetMetadata().GetConfState().GetVoters()) == 0 { // it joins: all that it knows comes from those who vote
			hard = &raftpb.HardState{}
		} else if err := s.memory.ApplySnapshot(snap); err != nil {
			return err
		}
		if b := tx.Bucket(bucketRaft).Get([]byte("hard")); b != nil {
			hard = &raftpb.HardState{}
			if err := proto.Unmarshal(b, hard); err != nil {
				return fmt.Errorf("%s: state: %w", file, err)
			}
		}
		if err := s.memory.SetHardState(hard); err != nil {
			return err
		}
		var entries []*raftpb.Entry
		c := tx.Bucket(bucketLog).Cursor()
		for k, v := c.Seek(number(snap.GetMetadata().GetIndex() + 1)); k != nil; k, v = c.Next() {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil {
				return fmt.Errorf("%s: entry %d: %w", file, binary.BigEndian.Uint64(k), err)
			}
			entries = append(entries, e)
		}
		if err := s.memory.Append(entries); err != nil {
			return err
		}
		s.bytes = size(entries)
		return tx.Bucket(bucketKnown).ForEach(func(k, v []byte) error {
			from := binary.BigEndian.Uint64(k)
			if s.known[from] = binary.BigEndian.Uint64(v); len(v) == 16 {
				s.incarnations[from] = binary.BigEndian.Uint64(v[8:])
			}
			return nil
		})
	})
}

// update writes in one synced transaction, with what there is of history.
func (s *store) update(f func(tx *bbolt.Tx) error) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := s.history.flush(tx); err != nil {
			return err
		}
		return f(tx)
	})
	if err == nil {
		s.history.pending = nil
	}
	return err
}

// save makes what Raft has to keep last, in one synced write.
func (s *store) save(rd *raft.Ready) error {
	if raft.IsEmptyHardState(rd.HardState) && len(rd.Entries) == 0 && raft.IsEmptySnap(rd.Snapshot) {
		return nil
	}
	err := s.update(func(tx *bbolt.Tx) error {
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := putSnapshot(tx, rd.Snapshot); err != nil {
				return err
			}
		}
		if len(rd.Entries) > 0 {
			log := tx.Bucket(bucketLog)
			c := log.Cursor()
			for k, _ := c.Seek(number(rd.Entries[0].GetIndex())); k != nil; k, _ = c.Next() { // another leader's, in its place
				if err := c.Delete(); err != nil {
					return err
				}
			}
			for _, e := range rd.Entries {
				b, err := proto.Marshal(e)
				if err != nil {
					return err
				}
				if err := log.Put(number(e.GetIndex()), b); err != nil {
					return err
				}
			}
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			b, err := proto.Marshal(rd.HardState)
			if err != nil {
				return err
			}
			return tx.Bucket(bucketRaft).Put([]byte("hard"), b)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := s.memory.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := s.memory.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	s.bytes += size(rd.Entries) // more than there is where some take the place of others, until the next compaction
	return s.memory.Append(rd.Entries)
}

func putSnapshot(tx *bbolt.Tx, snap *raftpb.Snapshot) error {
	b, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	if err := tx.Bucket(bucketRaft).Put([]byte("snapshot"), b); err != nil {
		return err
	}
	c := tx.Bucket(bucketLog).Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= snap.GetMetadata().GetIndex(); k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// address keeps the keepers' addresses.
func (s *store) address(addrs map[uint64]string) error {
	b, err := json.Marshal(addrs)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketSelf).Put([]byte("addresses"), b) })
}

// hello notes a start of another keeper, by its count and mark; false tells that a later one is known already, or another with the same count.
// One that says it again has not heard the answer.
func (s *store) hello(from, starts, incarnation uint64) (bool, error) {
	if starts == s.known[from] && incarnation == s.incarnations[from] && incarnation != 0 {
		return true, nil
	}
	if starts <= s.known[from] {
		return false, nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketKnown).Put(number(from), append(number(starts), number(incarnation)...))
	})
	if err == nil {
		s.known[from], s.incarnations[from] = starts, incarnation
	}
	return err == nil, err
}
