package replica

import (
	"math"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
)

// The log in memory and on disk is bounded by entries (Options.Compact) and by bytes, whichever comes first.
const (
	mostLog  = 4 << 20     // bytes of applied entries after which the log is compacted
	leastLog = mostLog / 8 // bytes of them that are left for keepers that lag a little
)

func size(entries []*raftpb.Entry) (n int) {
	for _, e := range entries {
		n += len(e.GetData())
	}
	return n
}

// entries are those of the log in memory, up to an index.
func (s *store) entries(to uint64) ([]*raftpb.Entry, error) {
	first, err := s.memory.FirstIndex()
	if err != nil || to < first {
		return nil, err
	}
	return s.memory.Entries(first, to+1, math.MaxUint64)
}

// full tells whether the log, applied up to an index, is to be compacted.
func (s *store) full(applied, most uint64) bool {
	first, err := s.memory.FirstIndex()
	if err != nil || applied > first+most {
		return err == nil
	}
	if s.bytes <= mostLog {
		return false
	}
	list, err := s.entries(applied)
	return err == nil && size(list) > mostLog/2 // where the rest is not applied yet, a compaction helps nothing
}

// compact keeps a snapshot of what the log came to at an index in place of the entries up to it, but for the last few, so that a
// keeper that lags a little needs no snapshot.
func (s *store) compact(index uint64, conf *raftpb.ConfState, data []byte, keep uint64) error {
	snap, err := s.memory.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	if err := s.update(func(tx *bbolt.Tx) error { return putSnapshot(tx, snap) }); err != nil {
		return err
	}
	list, err := s.entries(index)
	if err != nil {
		return err
	}
	cut := len(list)
	for left := leastLog; cut > 0 && uint64(len(list)-cut) < keep; cut-- {
		if left -= len(list[cut-1].GetData()); left < 0 {
			break
		}
	}
	if cut > 0 {
		if err := s.memory.Compact(list[cut-1].GetIndex()); err != nil {
			return err
		}
	}
	last, err := s.memory.LastIndex()
	if err != nil {
		return err
	}
	if list, err = s.entries(last); err == nil {
		s.bytes = size(list)
	}
	return err
}
