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
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
)

// databaseName is the name of the file in a replica's folder.
const databaseName = "keeper.db"

// openTimeout is how long a start waits for another process to close the file.
const openTimeout = time.Second

// Buckets of the file. Their names are part of the format on disk.
var (
	bucketSelf       = []byte("self")     // identity and addresses, JSON
	bucketRaft       = []byte("raft")     // hard state and snapshot, protobuf
	bucketLog        = []byte("log")      // entries by index, protobuf
	bucketPeerStarts = []byte("known")    // latest starts of peers, by ID
	bucketMetadata   = []byte("trail")    // see history
	bucketContents   = []byte("contents") // see history
)

// Keys of bucketSelf and bucketRaft.
var (
	keyIdentity  = []byte("identity")
	keyAddresses = []byte("addresses")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
)

// encodeKey encodes a number as a key: big endian, so that keys are in the order of the numbers.
func encodeKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

// decodeKey decodes what encodeKey has encoded.
func decodeKey(key []byte) uint64 { return binary.BigEndian.Uint64(key) }

// store is the persistent state of a replica: its identity and start count, Raft's hard state, log and snapshot, the
// starts of its peers, and the history of versions. Each change is synced before anything that depends on it is sent.
// It belongs to the owner goroutine, Replica.run.
type store struct {
	db          *bbolt.DB
	memory      *raft.MemoryStorage // the log as Raft reads it; updated after the disk
	logBytes    int                 // size of the entries in memory; see save
	starts      uint64              // how often this replica was started, including this time
	incarnation uint64              // random number of this start, as an older copy may reach the same count
	peerStarts  map[uint64]peerStart
	addresses   map[uint64]string // of replicas by ID, as stated by membership changes
	history     history
}

// peerStart is the latest known start of a peer.
type peerStart struct {
	count       uint64
	incarnation uint64 // 0: the peer's program has none
}

// identity identifies the replica that a folder belongs to.
type identity struct {
	ID     uint64   `json:"number"`
	Voters []uint64 `json:"voters"` // that founded the group; null: the replica joined it later
	Starts uint64   `json:"starts"`
}

// unreadableError reports a folder that cannot be read.
type unreadableError struct {
	path  string // of the folder or its file
	cause error
}

// Error returns what is wrong and what to do about it.
func (e *unreadableError) Error() string {
	const advice = "a replica whose folder is lost is replaced under another ID, not started anew"
	return fmt.Sprintf("%s cannot be read: %v; %s", e.path, e.cause, advice)
}

// Unwrap returns the cause.
func (e *unreadableError) Unwrap() error { return e.cause }

// openStore opens a replica's folder and creates it if necessary. The folder of another replica is rejected. Voters
// are those that found a new group; nil if the replica joins an existing one.
func openStore(dir string, id uint64, voters []uint64) (opened *store, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // reads past the end of a truncated mapped file fault
	defer func() {
		if cause := recover(); cause != nil {
			opened = nil
			err = &unreadableError{dir, fmt.Errorf("%v", cause)}
		}
	}()
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, databaseName)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, &unreadableError{path, err}
	}
	s := &store{
		db:          db,
		memory:      raft.NewMemoryStorage(),
		incarnation: rand.Uint64(),
		peerStarts:  map[uint64]peerStart{},
		addresses:   map[uint64]string{},
		history:     history{reported: map[string]bool{}},
	}
	if err := s.load(path, id, voters); err != nil {
		_ = db.Close() // the error to report is why the store is not opened
		return nil, err
	}
	return s, nil
}

// checkLength rejects a truncated file: one that is shorter than the database in it.
func checkLength(tx *bbolt.Tx, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return &unreadableError{path, fmt.Errorf("the file has %d of %d bytes", info.Size(), tx.Size())}
	}
	return nil
}

// update runs write in one synced transaction, which also writes the pending part of the history.
func (s *store) update(write func(tx *bbolt.Tx) error) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := s.history.flush(tx); err != nil {
			return err
		}
		return write(tx)
	})
	if err == nil {
		s.history.pending = nil
	}
	return err
}

// saveAddresses records the replicas' addresses.
func (s *store) saveAddresses(addresses map[uint64]string) error {
	encoded, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketSelf).Put(keyAddresses, encoded) })
}

// recordStart records a start of a peer. It returns false if a later start is known, or another one with the same
// count. A repeated start is accepted, as the peer may not have received the response.
func (s *store) recordStart(id, count, incarnation uint64) (accepted bool, err error) {
	known := s.peerStarts[id]
	if count == known.count && incarnation == known.incarnation && incarnation != 0 {
		return true, nil
	}
	if count <= known.count {
		return false, nil
	}
	value := append(encodeKey(count), encodeKey(incarnation)...)
	err = s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketPeerStarts).Put(encodeKey(id), value) })
	if err != nil {
		return false, err
	}
	s.peerStarts[id] = peerStart{count, incarnation}
	return true, nil
}
