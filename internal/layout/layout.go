// Package layout decides where files lie: the home shard of a file's record, the extents of a file, and the pieces
// of a read or write. It does no I/O and knows no clock. docs/placement.md weighs the options.
package layout

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Path is a place in a volume. Rel is clean, without slashes at its ends; "" is the volume's root.
type Path struct {
	Volume string
	Rel    string
}

// Errors of Parse.
var (
	ErrClimbs  = errors.New("the path climbs out of its volume")
	ErrInvalid = errors.New("the path holds a NUL byte or a name of over 255 bytes")
	ErrLong    = errors.New("the path has over 4096 bytes")
)

// Parse reads /VOLUME/REL. The root of all volumes has an empty Volume.
func Parse(s string) (Path, error) {
	if len(s) > 4096 {
		return Path{}, ErrLong
	}
	if strings.IndexByte(s, 0) >= 0 {
		return Path{}, ErrInvalid
	}
	depth := 0 // under the root, in names
	for _, name := range strings.Split(s, "/") {
		switch {
		case len(name) > 255:
			return Path{}, ErrInvalid
		case name == "" || name == ".":
		case name == "..":
			if depth--; depth < 1 {
				return Path{}, ErrClimbs
			}
		default:
			depth++
		}
	}
	volume, rel, _ := strings.Cut(strings.TrimPrefix(path.Clean("/"+s), "/"), "/")
	return Path{volume, rel}, nil
}

// String is the path as a client writes it.
func (p Path) String() string {
	if p.Rel == "" {
		return "/" + p.Volume
	}
	return "/" + p.Volume + "/" + p.Rel
}

// Parent is the folder that holds p.
func (p Path) Parent() Path {
	dir, _ := path.Split(p.Rel)
	return Path{p.Volume, strings.TrimSuffix(dir, "/")}
}

// Name is the last name of p.
func (p Path) Name() string { return path.Base("/" + p.Volume + "/" + p.Rel) }

// Hash is the path's hash: its home and its place in orders by key come from it.
func (p Path) Hash() uint64 { return xxhash.Sum64String(p.String()) }

// Home is the shard, from 0, that holds the record of p, among a fixed number of shards: jump consistent hash
// (Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm", 2014).
func (p Path) Home(shards int) int {
	key, at, next := p.Hash(), int64(-1), int64(0)
	for next < int64(shards) {
		at = next
		key = key*2862933555777941757 + 1
		next = int64(float64(at+1) * (float64(int64(1)<<31) / float64(key>>33+1)))
	}
	return int(at)
}

// Kind is what a record is of.
type Kind uint8

// The kinds of records.
const (
	File Kind = iota
	Folder
	Absent // there is none; its version is that of its removal, as long as that is known
)

// State is where a record stands.
type State uint8

// The states of a record.
const (
	Live     State = iota
	Moving         // on its way to Target, under Mark
	Arriving       // on its way from Target, which has to be removed before anything else may happen to it
	Closing        // a folder that is about to be removed: nothing is made in it
)

// Extent is a run of a file's bytes. One without an object is a hole.
type Extent struct {
	Shard  int
	Object string
}

// Record is what is known of a file or folder. It is changed by compare-and-set on Version.
type Record struct {
	Version  uint64
	Kind     Kind
	State    State
	Mode     uint32 // POSIX bits
	Size     uint64 // bytes
	Modified int64  // nanoseconds since 1970
	Extent   uint32 // bytes of an extent
	Mark     string // of the change that made this version
	Target   string // the other place of a move
	Expected uint64 // and the version there that the move replaces, or removes
	Origin   string // the mark of the latest move, whether it came to pass or was taken back
	Extents  []Extent
}

const recordForm = 1

// ErrRecord tells that a record's bytes are not whole.
var ErrRecord = errors.New("the record is damaged")

// Encode writes the record, but for its version, which the node keeps.
func (r *Record) Encode() []byte {
	b := []byte{recordForm, byte(r.Kind), byte(r.State)}
	b = binary.BigEndian.AppendUint32(b, r.Mode)
	b = binary.BigEndian.AppendUint64(b, r.Size)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Modified))
	b = binary.BigEndian.AppendUint32(b, r.Extent)
	b = binary.BigEndian.AppendUint64(b, r.Expected)
	for _, s := range []string{r.Mark, r.Target, r.Origin} {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Extents)))
	for _, e := range r.Extents {
		b = binary.AppendUvarint(b, uint64(e.Shard))
		b = append(binary.AppendUvarint(b, uint64(len(e.Object))), e.Object...)
	}
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

// Decode reads a record as Encode wrote it.
func Decode(b []byte, version uint64) (*Record, error) {
	if len(b) < 47 || xxhash.Sum64(b[:len(b)-8]) != binary.BigEndian.Uint64(b[len(b)-8:]) {
		return nil, ErrRecord
	}
	if b[0] != recordForm {
		return nil, fmt.Errorf("%w: its form is %d, this build reads %d", ErrRecord, b[0], recordForm)
	}
	r := &Record{Version: version, Kind: Kind(b[1]), State: State(b[2]), Mode: binary.BigEndian.Uint32(b[3:]),
		Size: binary.BigEndian.Uint64(b[7:]), Modified: int64(binary.BigEndian.Uint64(b[15:])),
		Extent:   binary.BigEndian.Uint32(b[23:]),
		Expected: binary.BigEndian.Uint64(b[27:])}
	rest, bad := b[35:len(b)-8], false
	number := func() uint64 {
		n, used := binary.Uvarint(rest)
		if used <= 0 {
			bad, n, used = true, 0, 0
		}
		rest = rest[used:]
		return n
	}
	text := func() string {
		n := number()
		if n > uint64(len(rest)) {
			bad, n = true, 0
		}
		s := string(rest[:n])
		rest = rest[n:]
		return s
	}
	r.Mark, r.Target, r.Origin = text(), text(), text()
	count := number()
	if bad || count > uint64(len(rest)) {
		return nil, ErrRecord
	}
	for range count {
		r.Extents = append(r.Extents, Extent{int(number()), text()})
	}
	if bad || len(rest) > 0 {
		return nil, ErrRecord
	}
	return r, nil
}

// At is extent number i; beyond the last there are holes.
func (r *Record) At(i int) Extent {
	if i < len(r.Extents) {
		return r.Extents[i]
	}
	return Extent{}
}

// Put sets extent number i.
func (r *Record) Put(i int, e Extent) {
	for len(r.Extents) <= i {
		r.Extents = append(r.Extents, Extent{})
	}
	r.Extents[i] = e
}

// Objects lists the extents that have an object.
func (r *Record) Objects() (list []Extent) {
	for _, e := range r.Extents {
		if e.Object != "" {
			list = append(list, e)
		}
	}
	return list
}

// Merge lays the extents that one writer placed over a record that another has changed since: by whole extents, the
// last to commit wins. It returns what lost and is no longer referenced.
func (r *Record) Merge(placed map[int]Extent, size uint64) (lost []Extent) {
	for i, e := range placed {
		if old := r.At(i); old.Object != "" && old.Object != e.Object {
			lost = append(lost, old)
		}
		r.Put(i, e)
	}
	r.Size = max(r.Size, size)
	return lost
}

// Piece is the part of a read or write that lies in one extent.
type Piece struct {
	Index  int
	Offset uint64 // in the extent
	From   int    // in the client's bytes
	Length int
}

// Pieces cuts a run of bytes by extents.
func Pieces(offset uint64, length int, extent uint32) (list []Piece) {
	for from := 0; from < length; {
		at := offset + uint64(from)
		within := at % uint64(extent)
		n := min(length-from, int(uint64(extent)-within))
		list = append(list, Piece{int(at / uint64(extent)), within, from, n})
		from += n
	}
	return list
}
