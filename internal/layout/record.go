package layout

// Kind is the kind of a record. Its numbers are stored.
type Kind uint8

// The kinds of records.
const (
	File Kind = iota
	Directory
	Absent // there is no record; its version is that of the removal, as long as the node remembers it
)

// State is the state of a record. Its numbers are stored.
type State uint8

// The states of a record.
const (
	Live     State = iota
	Moving         // a file that is being renamed to MovePeer, by the change ChangeID
	Arriving       // a file that is being renamed from MovePeer, which has to be removed before anything else
	Removing       // a directory that is about to be removed: nothing is made in it
)

// Extent is a run of a file's bytes, stored as an object. One without an object is a hole.
type Extent struct {
	Shard  int
	Object string
}

// Record describes a file or directory. It is changed by compare-and-swap on Version.
type Record struct {
	Version     uint64 // given by the node that stores it
	Kind        Kind
	State       State
	Mode        uint32 // POSIX permission bits
	Size        uint64 // bytes
	Modified    int64  // nanoseconds since 1970
	ExtentSize  uint32 // bytes; the same for the life of a file
	ChangeID    string // of the change that made this version; unique
	MovePeer    string // of Moving and Arriving: the path of the other record
	PeerVersion uint64 // and its version, which the move replaces or removes
	LastMoveID  string // the ChangeID of the latest move's first change, whether it was completed or reverted
	Extents     []Extent
}

// ExtentAt returns the extent of an index. Behind the last there are holes.
func (r *Record) ExtentAt(index int) Extent {
	if index < len(r.Extents) {
		return r.Extents[index]
	}
	return Extent{}
}

// SetExtent sets the extent of an index, with holes before it where there were none.
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

// Merge puts extents that one gateway has written, by index, over a record that another may have changed since: by
// whole extents, the last to commit wins. It returns the extents that are replaced, whose objects nothing refers to.
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
