package front

import (
	"fmt"
	"slices"
	"sync"

	"irispost/internal/sftp"
)

// Disk is a file of a volume that is served as a disk of a fixed size. Its reads and writes are those of a file, with
// the same request classes, units and ordering keys. Writes go to the extents immediately; Client.Sync or a
// write-through commits them to the file's record.
type Disk struct {
	front *Front
	file  *openFile
	size  uint64 // bytes

	lock   sync.Mutex // guards locked
	locked []*rangeLock
}

// rangeLock is a lock on a byte range of a disk. Writes lock it shared, compare-and-write exclusively.
type rangeLock struct {
	from, to  uint64 // bytes; to is exclusive
	exclusive bool
	released  chan struct{} // closed when the lock is released
}

func (l *rangeLock) conflictsWith(other *rangeLock) bool {
	return (l.exclusive || other.exclusive) && l.from < other.to && other.from < l.to
}

// OpenDisk opens the file at path as a disk of size bytes, and creates it if it does not exist. It fails if the file
// is longer, as its end would be inaccessible. The caller closes the disk.
func (f *Front) OpenDisk(path string, size uint64) (*Disk, error) {
	filePath, failure := parsePath(path)
	if failure != nil {
		return nil, failure
	}
	volume, failure := f.findVolume(filePath)
	if failure != nil {
		return nil, failure
	}
	const flags = sftp.FlagRead | sftp.FlagWrite | sftp.FlagCreate
	file, failure := f.backgroundTask().openFile(volume, filePath, flags, sftp.Attrs{})
	if failure != nil {
		return nil, failure
	}
	current := file.currentSize()
	if current > size {
		file.release()
		return nil, fmt.Errorf("%s has %d bytes, more than the %d of the disk", filePath, current, size)
	}
	if current < size {
		if failure := f.backgroundTask().resize(file, size); failure != nil {
			file.release()
			return nil, failure
		}
	}
	return &Disk{front: f, file: file, size: size}, nil
}

// Close commits uncommitted writes and releases the file, even if the commit fails.
func (d *Disk) Close() error {
	failure := d.front.backgroundTask().commit(d.file)
	d.file.release()
	if failure != nil {
		return failure
	}
	return nil
}

// ExtentSize returns the size of the file's extents, in bytes.
func (d *Disk) ExtentSize() uint32 {
	_, extentSize := d.file.sizes()
	return extentSize
}

// lockRange locks a byte range. It waits for conflicting locks until the task's deadline.
func (d *Disk) lockRange(t *task, from, to uint64, exclusive bool) (*rangeLock, *failure) {
	lock := &rangeLock{from: from, to: to, exclusive: exclusive, released: make(chan struct{})}
	class := d.file.volume.ClassOf(Write, d.file.path, d.size)
	for {
		conflicting := d.tryLock(lock)
		if conflicting == nil {
			return lock, nil
		}
		if err := t.waitFor(conflicting.released, class); err != nil {
			return nil, err
		}
	}
}

// tryLock acquires a lock and returns nil, or returns a held lock that conflicts with it.
func (d *Disk) tryLock(lock *rangeLock) *rangeLock {
	d.lock.Lock()
	defer d.lock.Unlock()
	if i := slices.IndexFunc(d.locked, lock.conflictsWith); i >= 0 {
		return d.locked[i]
	}
	d.locked = append(d.locked, lock)
	return nil
}

func (d *Disk) unlockRange(lock *rangeLock) {
	d.lock.Lock()
	if i := slices.Index(d.locked, lock); i >= 0 {
		d.locked = slices.Delete(d.locked, i, i+1)
	}
	d.lock.Unlock()
	close(lock.released)
}

// hasHole reports whether an extent was never written and is not being written.
func (d *Disk) hasHole(index int) bool {
	d.file.lock.Lock()
	defer d.file.lock.Unlock()
	return d.file.extentAt(index).Object == "" && d.file.allocating[index] == nil
}
