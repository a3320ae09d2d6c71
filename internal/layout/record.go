package layout

// Kind is the kind of a record. Its values are stored by nodes.
type Kind uint8

// The kinds of records.
const (
	File Kind = iota
	Directory
	Absent // no record exists; its version is that of the removal as long as the node remembers it
)

// State is the state of a record. Its values are stored by nodes.
type State uint8

// The states of a record.
const (
	Live     State = iota
	Moving         // a file that the change ChangeID is renaming to MovePeer
	Arriving       // a file that is being renamed from MovePeer, which must be removed before any other change
	Removing       // a directory that is about to be removed: nothing may be created in it
)

// Extent is a contiguous range of a file's bytes, stored as one object. An extent without an object is a hole.
type Extent struct {
	Shard  int
	Object string
}

// Record describes a file or directory. It is changed by compare-and-swap on Version.
type Record struct {
	Version     uint64 // assigned by the node that stores the record
	Kind        Kind
	State       State
	Mode        uint32 // POSIX permission bits
	Size        uint64 // bytes
	Modified    int64  // nanoseconds since 1970
	ExtentSize  uint32 // bytes; constant over the life of a file
	ChangeID    string // of the change that wrote this version; unique
	MovePeer    string // in Moving and Arriving: path of the other record of the move
	PeerVersion uint64 // version of the other record, which the move replaces or removes
	LastMoveID  string // ChangeID of the first change of the latest move, whether that was completed or reverted
	Extents     []Extent
}

// ExtentAt returns the extent at index. Past the last extent there are holes.
func (r *Record) ExtentAt(index int) Extent {
	if index < len(r.Extents) {
		return r.Extents[index]
	}
	return Extent{}
}

// SetExtent sets the extent at index. It fills a gap before it with holes.
func (r *Record) SetExtent(index int, extent Extent) {
	for len(r.Extents) <= index {
		r.Extents = append(r.Extents, Extent{})
	}
	r.Extents[index] = extent
}

// StoredExtents returns the extents that have an object.
func (r *Record) StoredExtents() (stored []Extent) {
	for _, extent := range r.Extents {
		if extent.Object != "" {
			stored = append(stored, extent)
		}
	}
	return stored
}

// Merge sets the extents that a gateway has written, by index, in a record that another gateway may have changed in
// the meantime. For each extent the last commit wins. Merge returns the replaced extents, whose objects are no longer
// referenced.
func (r *Record) Merge(written map[int]Extent, size uint64) (replaced []Extent) {
	for index, extent := range written {
		if old := r.ExtentAt(index); old.Object != "" && old.Object != extent.Object {
			replaced = append(replaced, old)
		}
		r.SetExtent(index, extent)
	}
	r.Size = max(r.Size, size)
	return replaced
}
