package front

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// openFile is a file that is open at this gateway, shared by all its handles and disks. What is written is in its
// extents at once, and in its record, where other gateways see it, with a commit: at CLOSE and at fsync.
type openFile struct {
	front  *Front
	volume *Volume
	path   layout.Path
	refs   int // handles and disks; guarded by the front's lock

	commitLock sync.Mutex // held during a commit, before lock

	lock        sync.Mutex     // guards what follows
	record      *layout.Record // as last seen; it is replaced, never changed
	uncommitted map[int]layout.Extent
	allocating  map[int]chan struct{} // extents whose first write is in flight; closed when it is over
	size        uint64
	truncated   bool // cut to nothing since the last commit: the record's extents do not count
	dirty       bool // something is to be committed
}

// orderingKey is the key of requests that write an object. It stays positive when it is halved, as 0 is no key.
func orderingKey(object string) uint64 { return xxhash.Sum64String(object) | 2 }

// openFile opens a file, and creates it where the flags ask for that. The caller releases it.
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

// acquire returns the open file of a path, opened now if it is not open yet, with one more reference.
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

// release gives a reference back.
func (f *openFile) release() {
	f.front.lock.Lock()
	defer f.front.lock.Unlock()
	f.refs--
	if f.refs == 0 && f.front.openFiles[f.path] == f {
		delete(f.front.openFiles, f.path)
	}
}

// findOpenFile returns the open file of a path, nil where it is not open here.
func (f *Front) findOpenFile(path layout.Path) *openFile {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.openFiles[path]
}

// adopt takes over a record that was read when the file was opened, unless something is to be committed or a newer
// record is known. The caller holds the lock.
func (f *openFile) adopt(record *layout.Record) {
	if f.dirty {
		return
	}
	if f.record == nil || record.Version >= f.record.Version || record.ChangeID != f.record.ChangeID {
		f.record, f.size = record, record.Size
	}
}

// truncate cuts the file to nothing. The caller holds the lock.
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

// sizes returns the file's size and that of its extents, in bytes.
func (f *openFile) sizes() (size uint64, extentSize uint32) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.size, f.record.ExtentSize
}

// extentAt returns the extent of an index; it has no object where there is a hole. The caller holds the lock.
func (f *openFile) extentAt(index int) layout.Extent {
	if extent, ok := f.uncommitted[index]; ok {
		return extent
	}
	if f.truncated {
		return layout.Extent{}
	}
	return f.record.ExtentAt(index)
}

// allocatedExtent returns the extent of an index, once its first write is over if one is in flight.
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

// reload reads the file's record again, and takes it over where nothing is to be committed.
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
