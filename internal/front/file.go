package front

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// openFile is a file that is open at this gateway, shared by all its handles and disks. Writes go to the extents
// immediately, and to the record, where other gateways see them, with a commit: at CLOSE and at fsync.
type openFile struct {
	front  *Front
	volume *Volume
	path   layout.Path
	refs   int // number of handles, disks and requests that use the file; guarded by front.lock

	commitLock sync.Mutex // held during a commit; acquired before lock

	lock        sync.Mutex            // guards the fields below
	record      *layout.Record        // as last seen; replaced, never modified
	uncommitted map[int]layout.Extent // extents that the record does not have yet, by index
	allocating  map[int]chan struct{} // extents whose first write is in flight; closed when it ends
	size        uint64
	truncated   bool // truncated to size 0 since the last commit: the extents in record are void
	dirty       bool // there are uncommitted changes
}

// orderingKey returns the ordering key of requests that write an object. Bit 1 is set so that the key stays
// positive after submit halves it: 0 means no key.
func orderingKey(object string) uint64 { return xxhash.Sum64String(object) | 2 }

// openFile opens a file, and creates it if it does not exist and the flags say so. The caller releases it.
func (t *task) openFile(volume *Volume, path layout.Path, flags uint32, attrs sftp.Attrs) (*openFile, *failure) {
	if path.Rel == "" {
		return nil, failuref(sftp.Failure, "%s is a folder", path)
	}
	record, err := t.readRecord(volume, path)
	if err != nil {
		return nil, err
	}
	created := false
	if record.Kind == layout.Absent {
		if flags&sftp.FlagCreate == 0 {
			return nil, failuref(sftp.NoSuchFile, "there is no %s", path)
		}
		record, created, err = t.createRecord(volume, path, &layout.Record{
			Version:    record.Version,
			Mode:       modeOf(attrs, defaultFileMode),
			Modified:   t.arrived,
			ExtentSize: t.front.options.ExtentSize,
		})
		if err != nil {
			return nil, err
		}
	}
	if flags&sftp.FlagExcl != 0 && flags&sftp.FlagCreate != 0 && !created {
		return nil, failuref(sftp.Failure, "%s exists", path)
	}
	if record.Kind == layout.Directory {
		return nil, failuref(sftp.Failure, "%s is a folder", path)
	}
	file := t.front.acquire(volume, path)
	file.lock.Lock()
	defer file.lock.Unlock()
	file.adopt(record)
	if flags&sftp.FlagTrunc != 0 && !created {
		file.truncate()
	}
	return file, nil
}

// acquire returns the open file of a path with one more reference. It adds the file if it is not open yet.
func (f *Front) acquire(volume *Volume, path layout.Path) *openFile {
	f.lock.Lock()
	defer f.lock.Unlock()
	file := f.openFiles[path]
	if file == nil {
		file = &openFile{
			front:       f,
			volume:      volume,
			path:        path,
			uncommitted: map[int]layout.Extent{},
			allocating:  map[int]chan struct{}{},
		}
		f.openFiles[path] = file
	}
	file.refs++
	return file
}

// release drops a reference. The file is closed with its last reference.
func (f *openFile) release() {
	f.front.lock.Lock()
	defer f.front.lock.Unlock()
	f.refs--
	if f.refs == 0 && f.front.openFiles[f.path] == f {
		delete(f.front.openFiles, f.path)
	}
}

// findOpenFile returns the open file of a path, or nil if it is not open at this gateway.
func (f *Front) findOpenFile(path layout.Path) *openFile {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.openFiles[path]
}

// adopt sets the record to one that was read when the file was opened, unless there are uncommitted changes or a newer
// record is known. The caller holds the lock.
func (f *openFile) adopt(record *layout.Record) {
	if f.dirty {
		return
	}
	if f.record == nil || record.Version >= f.record.Version || record.ChangeID != f.record.ChangeID {
		f.record, f.size = record, record.Size
	}
}

// truncate sets the size to 0. The caller holds the lock.
func (f *openFile) truncate() {
	f.truncated = true
	f.dirty = true
	f.size = 0
	f.uncommitted = map[int]layout.Extent{}
}

func (f *openFile) currentSize() uint64 {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.size
}

// sizes returns the file size and the extent size in bytes.
func (f *openFile) sizes() (size uint64, extentSize uint32) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.size, f.record.ExtentSize
}

// extentAt returns the extent at an index. The extent of a hole has no object. The caller holds the lock.
func (f *openFile) extentAt(index int) layout.Extent {
	if extent, ok := f.uncommitted[index]; ok {
		return extent
	}
	if f.truncated {
		return layout.Extent{}
	}
	return f.record.ExtentAt(index)
}

// allocatedExtent returns the extent at an index. If its first write is in flight, it waits for that to end.
func (t *task) allocatedExtent(file *openFile, class *RequestClass, index int) (layout.Extent, *failure) {
	for {
		file.lock.Lock()
		extent, allocated := file.extentAt(index), file.allocating[index]
		file.lock.Unlock()
		if extent.Object != "" || allocated == nil {
			return extent, nil
		}
		if err := t.waitFor(allocated, class); err != nil {
			return extent, err
		}
	}
}

// reload reads the record again and replaces the file's record unless there are uncommitted changes.
func (f *openFile) reload(t *task) *failure {
	record, err := t.readRecord(f.volume, f.path)
	if err != nil {
		return err
	}
	if record.Kind == layout.Absent {
		return failuref(sftp.NoSuchFile, "%s was removed", f.path)
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.dirty {
		f.record, f.size = record, record.Size
	}
	return nil
}
