package standin

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
)

// forgetInterval is after how many versions idempotency keys and removed records are forgotten.
const forgetInterval = 1024

// Store is a shard's data. It outlives the nodes that serve it, as drives that are moved to another machine do. In a
// folder each object and record is a file of its own, replaced atomically; idempotency keys are in memory only.
type Store struct {
	dir string // empty: in memory

	lock    sync.Mutex // guards what follows
	objects map[string]*object
	records map[string]*record
	replies map[string]keyedReply // by idempotency key
	version uint64                // the latest of a record
}

type object struct {
	owner     string
	writtenAt time.Time
	data      []byte
}

type record struct {
	version   uint64
	data      []byte // empty: it was removed, and the version is that of its removal
	changedAt time.Time
}

// keyedReply is the answer to a request with an idempotency key.
type keyedReply struct {
	at    time.Time
	reply node.Reply
}

// NewStore makes a store in a folder, with what is there already; an empty path makes one in memory.
func NewStore(dir string) (*Store, error) {
	s := &Store{
		dir:     dir,
		objects: map[string]*object{},
		records: map[string]*record{},
		replies: map[string]keyedReply{},
	}
	if dir == "" {
		return s, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		content, err := os.ReadFile(filepath.Join(dir, file.Name()))
		if err != nil {
			return nil, err
		}
		s.loadFile(file.Name(), content)
	}
	return s, nil
}

// ObjectCount returns the number of objects in the store.
func (s *Store) ObjectCount() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.objects)
}

// objectSize returns an object's size in bytes, and whether it exists.
func (s *Store) objectSize(name string) (size uint64, exists bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	o := s.objects[name]
	if o == nil {
		return 0, false
	}
	return uint64(len(o.data)), true
}

// execute executes a call, or returns the answer to an earlier one with its idempotency key. hadEffect says whether the
// call was executed now, and successfully.
func (s *Store) execute(call *node.Call, now time.Time, dedupWindow time.Duration) (reply node.Reply, hadEffect bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	keyed := call.Idempotency == audit.Keyed && call.Op.Writes() && call.IdempotencyKey != ""
	if keyed {
		earlier, known := s.replies[call.IdempotencyKey]
		if known && now.Sub(earlier.at) < dedupWindow {
			return earlier.reply, false
		}
	}
	reply = s.apply(call, now)
	if keyed {
		s.replies[call.IdempotencyKey] = keyedReply{now, reply}
		if s.version%forgetInterval == 1 {
			s.forget(now, dedupWindow)
		}
	}
	return reply, reply.Outcome == node.Executed && reply.Status == node.OK
}

// forget forgets idempotency keys and removed records that are older than the window. The lock is held.
func (s *Store) forget(now time.Time, dedupWindow time.Duration) {
	for key, earlier := range s.replies {
		if now.Sub(earlier.at) >= dedupWindow {
			delete(s.replies, key)
		}
	}
	for name, r := range s.records {
		if len(r.data) == 0 && now.Sub(r.changedAt) >= dedupWindow {
			delete(s.records, name)
		}
	}
}
