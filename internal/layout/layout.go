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
	ErrOutsideVolume = errors.New("the path climbs out of its volume")
	ErrInvalidName   = errors.New("the path holds a NUL byte or a name of over 255 bytes")
	ErrTooLong       = errors.New("the path has over 4096 bytes")
)

// Parse reads /VOLUME/REL. The root of all volumes has an empty Volume.
func Parse(text string) (Path, error) {
	if len(text) > 4096 {
		return Path{}, ErrTooLong
	}
	if strings.IndexByte(text, 0) >= 0 {
		return Path{}, ErrInvalidName
	}
	depth := 0 // under the root, in names
	for _, name := range strings.Split(text, "/") {
		switch {
		case len(name) > 255:
			return Path{}, ErrInvalidName
		case name == "" || name == ".":
		case name == "..":
			if depth--; depth < 1 {
				return Path{}, ErrOutsideVolume
			}
		default:
			depth++
		}
	}
	volume, rel, _ := strings.Cut(strings.TrimPrefix(path.Clean("/"+text), "/"), "/")
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

// HomeShard is the shard, from 0, that holds the record of p, among a fixed number of shards: jump consistent hash
// (Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm", 2014).
func (p Path) HomeShard(shards int) int {
	key, shard, next := p.Hash(), int64(-1), int64(0)
	for next < int64(shards) {
		shard = next
		key = key*2862933555777941757 + 1
		next = int64(float64(shard+1) * (float64(int64(1)<<31) / float64(key>>33+1)))
	}
	return int(shard)
}

// Kind is what a record is of.
type Kind uint8

// The kinds of records.
const (
	File Kind = iota
	Directory
	Absent // there is none; its version is that of its removal, as long as that is known
)

// State is where a record stands.
type State uint8

// The states of a record.
const (
	Live     State = iota
	Moving         // on its way to Target, under Mark
	Arriving       // on its way from Target, which has to be removed before anything else may happen to it
	Removing       // a folder that is about to be removed: nothing is made in it
)

// Extent is a run of a file's bytes. One without an object is a hole.
type Extent struct {
	Shard  int
	Object string
}

// Record is what is known of a file or folder. It is changed by compare-and-set on Version.
type Record struct {
	Version     uint64
	Kind        Kind
	State       State
	Mode        uint32 // POSIX bits
	Size        uint64 // bytes
	Modified    int64  // nanoseconds since 1970
	ExtentSize  uint32 // bytes of an extent
	ChangeID    string // of the change that made this version
	MovePeer    string // the other place of a move
	PeerVersion uint64 // and the version there that the move replaces, or removes
	LastMoveID  string // the mark of the latest move, whether it came to pass or was taken back
	Extents     []Extent
}

const recordFormat = 1

// ErrCorruptRecord tells that a record's bytes are not whole.
var ErrCorruptRecord = errors.New("the record is damaged")

// Encode writes the record, but for its version, which the node keeps.
func (r *Record) Encode() []byte {
	encoded := []byte{recordFormat, byte(r.Kind), byte(r.State)}
	encoded = binary.BigEndian.AppendUint32(encoded, r.Mode)
	encoded = binary.BigEndian.AppendUint64(encoded, r.Size)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Modified))
	encoded = binary.BigEndian.AppendUint32(encoded, r.ExtentSize)
	encoded = binary.BigEndian.AppendUint64(encoded, r.PeerVersion)
	for _, text := range []string{r.ChangeID, r.MovePeer, r.LastMoveID} {
		encoded = append(binary.AppendUvarint(encoded, uint64(len(text))), text...)
	}
	encoded = binary.AppendUvarint(encoded, uint64(len(r.Extents)))
	for _, extent := range r.Extents {
		encoded = binary.AppendUvarint(encoded, uint64(extent.Shard))
		encoded = append(binary.AppendUvarint(encoded, uint64(len(extent.Object))), extent.Object...)
	}
	return binary.BigEndian.AppendUint64(encoded, xxhash.Sum64(encoded))
}

// Decode reads a record as Encode wrote it.
func Decode(encoded []byte, version uint64) (*Record, error) {
	if len(encoded) < 47 || xxhash.Sum64(encoded[:len(encoded)-8]) != binary.BigEndian.Uint64(encoded[len(encoded)-8:]) {
		return nil, ErrCorruptRecord
	}
	if encoded[0] != recordFormat {
		return nil, fmt.Errorf("%w: its form is %d, this build reads %d", ErrCorruptRecord, encoded[0], recordFormat)
	}
	record := &Record{Version: version, Kind: Kind(encoded[1]), State: State(encoded[2]), Mode: binary.BigEndian.Uint32(encoded[3:]),
		Size: binary.BigEndian.Uint64(encoded[7:]), Modified: int64(binary.BigEndian.Uint64(encoded[15:])),
		ExtentSize:  binary.BigEndian.Uint32(encoded[23:]),
		PeerVersion: binary.BigEndian.Uint64(encoded[27:])}
	remaining, malformed := encoded[35:len(encoded)-8], false
	number := func() uint64 {
		value, used := binary.Uvarint(remaining)
		if used <= 0 {
			malformed, value, used = true, 0, 0
		}
		remaining = remaining[used:]
		return value
	}
	text := func() string {
		value := number()
		if value > uint64(len(remaining)) {
			malformed, value = true, 0
		}
		text := string(remaining[:value])
		remaining = remaining[value:]
		return text
	}
	record.ChangeID, record.MovePeer, record.LastMoveID = text(), text(), text()
	count := number()
	if malformed || count > uint64(len(remaining)) {
		return nil, ErrCorruptRecord
	}
	for range count {
		record.Extents = append(record.Extents, Extent{int(number()), text()})
	}
	if malformed || len(remaining) > 0 {
		return nil, ErrCorruptRecord
	}
	return record, nil
}

// ExtentAt is extent number i; beyond the last there are holes.
func (r *Record) ExtentAt(index int) Extent {
	if index < len(r.Extents) {
		return r.Extents[index]
	}
	return Extent{}
}

// SetExtent sets extent number i.
func (r *Record) SetExtent(index int, extent Extent) {
	for len(r.Extents) <= index {
		r.Extents = append(r.Extents, Extent{})
	}
	r.Extents[index] = extent
}

// StoredExtents lists the extents that have an object.
func (r *Record) StoredExtents() (stored []Extent) {
	for _, extent := range r.Extents {
		if extent.Object != "" {
			stored = append(stored, extent)
		}
	}
	return stored
}

// Merge lays the extents that one writer placed over a record that another has changed since: by whole extents, the
// last to commit wins. It returns what lost and is no longer referenced.
func (r *Record) Merge(placed map[int]Extent, size uint64) (replaced []Extent) {
	for index, extent := range placed {
		if old := r.ExtentAt(index); old.Object != "" && old.Object != extent.Object {
			replaced = append(replaced, old)
		}
		r.SetExtent(index, extent)
	}
	r.Size = max(r.Size, size)
	return replaced
}

// Piece is the part of a read or write that lies in one extent.
type Piece struct {
	ExtentIndex  int
	ExtentOffset uint64 // in the extent
	DataOffset   int    // in the client's bytes
	Length       int
}

// SplitByExtent cuts a run of bytes by extents.
func SplitByExtent(offset uint64, length int, extentSize uint32) (pieces []Piece) {
	for done := 0; done < length; {
		position := offset + uint64(done)
		extentOffset := position % uint64(extentSize)
		size := min(length-done, int(uint64(extentSize)-extentOffset))
		pieces = append(pieces, Piece{int(position / uint64(extentSize)), extentOffset, done, size})
		done += size
	}
	return pieces
}
