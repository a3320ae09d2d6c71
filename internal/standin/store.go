package standin

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"irispost/internal/backend/node"
)

// Store is a shard's data: it outlives the nodes that serve it, as drives that are moved to another machine do. In a
// folder each object and record is a file of its own, written whole; marks are kept in memory.
type Store struct {
	lock    sync.Mutex
	dir     string
	objects map[string]*object
	records map[string]*record
	marks   map[string]mark
	version uint64
}

type object struct {
	owner   string
	written time.Time
	data    []byte
}

type record struct {
	version uint64
	data    []byte // none: it was removed, and the version is that of its removal
	removed time.Time
}

// mark is an effect that was done, and its answer.
type mark struct {
	at     time.Time
	answer node.Reply
}

// NewStore makes a store, in memory or in a folder (dir is not empty).
func NewStore(dir string) (*Store, error) {
	s := &Store{dir: dir, objects: map[string]*object{}, records: map[string]*record{}, marks: map[string]mark{}}
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
	for _, f := range files {
		b, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			return nil, err
		}
		s.load(f.Name(), b)
	}
	return s, nil
}

// load reads a file of the folder: kind, version, written, the lengths of name and owner, and the data.
func (s *Store) load(file string, b []byte) {
	if len(b) < 21 || !strings.HasSuffix(file, ".irispost") {
		return
	}
	version, at := binary.BigEndian.Uint64(b[1:]), int64(binary.BigEndian.Uint64(b[9:]))
	n, m := int(binary.BigEndian.Uint16(b[17:])), int(binary.BigEndian.Uint16(b[19:]))
	if len(b) < 21+n+m {
		return
	}
	name, owner, data := string(b[21:21+n]), string(b[21+n:21+n+m]), b[21+n+m:]
	if b[0] == 'r' {
		s.records[name] = &record{version: version, data: data}
		s.version = max(s.version, version)
	} else {
		s.objects[name] = &object{owner, time.Unix(0, at), data}
	}
}

// keep writes a file of the folder, or removes it.
func (s *Store) keep(kind byte, name string, version uint64, at time.Time, owner string, data []byte, there bool) error {
	if s.dir == "" {
		return nil
	}
	file := filepath.Join(s.dir, string(kind)+strings.Map(hexOnly, name[max(0, len(name)-40):])+
		"-"+hex(xxhash.Sum64String(name))+".irispost")
	if !there {
		return os.Remove(file)
	}
	b := append([]byte{kind}, make([]byte, 20)...)
	binary.BigEndian.PutUint64(b[1:], version)
	binary.BigEndian.PutUint64(b[9:], uint64(at.UnixNano()))
	binary.BigEndian.PutUint16(b[17:], uint16(len(name)))
	binary.BigEndian.PutUint16(b[19:], uint16(len(owner)))
	b = append(append(append(b, name...), owner...), data...)
	return renameio.WriteFile(file, b, 0o644)
}

func hexOnly(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
		return r
	}
	return '_'
}

func hex(n uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[15-i] = digits[n&15]
		n >>= 4
	}
	return string(b[:])
}

// do carries a call out, once for each mark that is known. ran tells whether its effect came now.
func (s *Store) do(c *node.Call, now time.Time, remember time.Duration) (a node.Reply, ran bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	keyed := c.Idempotency == 1 && c.Op.Writes() && c.IdempotencyKey != ""
	if keyed {
		if m, known := s.marks[c.IdempotencyKey]; known && now.Sub(m.at) < remember {
			return m.answer, false
		}
	}
	a = s.apply(c, now)
	if keyed {
		s.marks[c.IdempotencyKey] = mark{now, a}
		if s.version%1024 == 1 { // marks and removals are forgotten together
			for name, m := range s.marks {
				if now.Sub(m.at) >= remember {
					delete(s.marks, name)
				}
			}
			for name, r := range s.records {
				if len(r.data) == 0 && now.Sub(r.removed) >= remember {
					delete(s.records, name)
				}
			}
		}
	}
	return a, a.Outcome == node.Executed && a.Status == node.OK
}

func (s *Store) apply(c *node.Call, now time.Time) node.Reply {
	done := node.Reply{Outcome: node.Executed}
	fail := func(err error) node.Reply { return node.Reply{Outcome: node.Failed, Message: err.Error()} }
	switch c.Op {
	case node.GetObject:
		o := s.objects[c.Name]
		if o == nil {
			return node.Reply{Outcome: node.Executed, Status: node.NotFound}
		}
		if from := min(c.Offset, uint64(len(o.data))); true {
			done.Data = slices.Clone(o.data[from:min(from+uint64(c.Length), uint64(len(o.data)))])
		}
	case node.PutObject:
		if c.Offset > 1<<30 {
			return fail(errors.New("an object ends at 2^30 bytes at most"))
		}
		o := s.objects[c.Name]
		if o == nil {
			if c.Version > 0 { // it has to be there
				return node.Reply{Outcome: node.Executed, Status: node.NotFound}
			}
			o = &object{owner: c.Owner}
			s.objects[c.Name] = o
		}
		if end := int(c.Offset) + len(c.Data); end > len(o.data) {
			o.data = append(o.data, make([]byte, end-len(o.data))...)
		}
		copy(o.data[c.Offset:], c.Data)
		o.written = now
		if err := s.keep('o', c.Name, 0, now, o.owner, o.data, true); err != nil {
			return fail(err)
		}
	case node.DeleteObject:
		if s.objects[c.Name] != nil {
			delete(s.objects, c.Name)
			if err := s.keep('o', c.Name, 0, now, "", nil, false); err != nil {
				return fail(err)
			}
		}
	case node.GetRecord:
		if r := s.records[c.Name]; r != nil {
			done.Version, done.Data = r.version, r.data
		}
	case node.CompareAndSwapRecord:
		r := s.records[c.Name]
		if r == nil {
			r = &record{}
		}
		if r.version != c.Version {
			return node.Reply{Outcome: node.Executed, Status: node.VersionConflict, Version: r.version, Data: r.data}
		}
		s.version++
		s.records[c.Name] = &record{s.version, slices.Clone(c.Data), now}
		done.Version = s.version
		if err := s.keep('r', c.Name, s.version, now, "", c.Data, len(c.Data) > 0); err != nil {
			return fail(err)
		}
	case node.ListRecords:
		prefix := strings.TrimSuffix(c.Name, "/") + "/"
		done.Data = node.EncodeItems(page(s.records, c.Owner, int(c.Length), func(name string, r *record) (node.ListItem, bool) {
			rest, in := strings.CutPrefix(name, prefix)
			return node.ListItem{Name: name, Version: r.version, Data: r.data}, in && len(r.data) > 0 && !strings.Contains(rest, "/")
		}))
	case node.ListObjects:
		done.Data = node.EncodeItems(page(s.objects, c.Owner, int(c.Length), func(name string, o *object) (node.ListItem, bool) {
			return node.ListItem{Name: name, Owner: o.owner, Age: uint32(now.Sub(o.written) / time.Second)}, true
		}))
	}
	return done
}

// page lists what fits, in order of names, from after a name on.
func page[T any](all map[string]T, after string, most int, item func(string, T) (node.ListItem, bool)) (list []node.ListItem) {
	var names []string
	for name := range all {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if it, fits := item(name, all[name]); fits && len(list) < most {
			list = append(list, it)
		}
	}
	return list
}

// Objects counts the objects that are there.
func (s *Store) Objects() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.objects)
}
