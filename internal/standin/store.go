package standin

import (
	"os"
	"path/filepath"
	"sync"
	"time"

	"irispost/internal/audit"
	"irispost/internal/backend/node"
)

// expiryInterval is the number of record versions between two expiry runs.
const expiryInterval = 1024

// Store holds a shard's data. It outlives the nodes that serve it, like drives that are moved to another machine. A
// store with a folder keeps each object and each record in a file of its own, which is replaced atomically. Idempotency
// keys are kept in memory only.
type Store struct {
	dir string // empty: data are kept in memory only

	lock    sync.Mutex // guards the fields below
	objects map[string]*object
	records map[string]*record
	replies map[string]keyedReply // by idempotency key
	version uint64                // the latest version given to any record
}

type object struct {
	owner     string
	writtenAt time.Time
	data      []byte
}

type record struct {
	version   uint64
	data      []byte // empty: the record was removed, in this version
	changedAt time.Time
}

// keyedReply is the reply to a call with an idempotency key, kept to answer repetitions.
type keyedReply struct {
	at    time.Time
	reply node.Reply
}

// NewStore opens the store in a folder, which is created if it does not exist. If dir is empty, the store is in memory.
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

// objectSize returns the size of an object in bytes, and whether the object exists.
func (s *Store) objectSize(name string) (size uint64, exists bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	o := s.objects[name]
	if o == nil {
		return 0, false
	}
	return uint64(len(o.data)), true
}

// execute executes a call, or returns the reply to an earlier call with the same idempotency key. hadEffect reports
// whether the call was executed now and succeeded.
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
		if s.version%expiryInterval == 1 {
			s.expire(now, dedupWindow)
		}
	}
	return reply, reply.Outcome == node.Executed && reply.Status == node.OK
}

// expire discards idempotency keys and removed records that are older than the window. The caller holds the lock.
func (s *Store) expire(now time.Time, dedupWindow time.Duration) {
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
