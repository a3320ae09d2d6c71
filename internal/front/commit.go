package front

import (
	"maps"
	"slices"

	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// pendingCommit is a copy of the uncommitted state of a file, taken under the file's lock.
type pendingCommit struct {
	base      *layout.Record
	written   map[int]layout.Extent
	size      uint64
	truncated bool
}

// takePending marks the file as clean and returns its uncommitted state, or nil if there is none. Later writes make
// the file dirty again.
func (f *openFile) takePending() *pendingCommit {
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.dirty {
		return nil
	}
	f.dirty = false
	return &pendingCommit{base: f.record, written: maps.Clone(f.uncommitted), size: f.size, truncated: f.truncated}
}

// nextRecord returns the record to store and the extents that it does not refer to any more.
func (p *pendingCommit) nextRecord(modified int64) (next *layout.Record, replaced []layout.Extent) {
	record := *p.base
	record.Modified = modified
	record.Size = max(p.size, p.base.Size)
	record.Extents = slices.Clone(p.base.Extents)
	if p.truncated {
		replaced = record.StoredExtents()
		record.Extents = nil
		record.Size = p.size
	}
	replaced = append(replaced, record.Merge(p.written, record.Size)...)
	return &record, replaced
}

// commit stores uncommitted writes in the file's record. On a version conflict it retries on top of the current record
// until the deadline: extents that were written through this gateway replace those of other gateways.
func (t *task) commit(file *openFile) *failure {
	file.commitLock.Lock()
	defer file.commitLock.Unlock()
	for t.beforeDeadline(file.volume, file.path) {
		pending := file.takePending()
		if pending == nil {
			return nil
		}
		committed, err := t.tryCommit(file, pending)
		if err != nil || committed {
			return err
		}
	}
	return rejection(0, "the file is changed by others all the time")
}

// tryCommit makes one attempt to store the pending state and reports whether it succeeded. If another gateway has
// changed the record meanwhile, the file takes over that record as the base of the next attempt.
func (t *task) tryCommit(file *openFile, pending *pendingCommit) (committed bool, err *failure) {
	next, replaced := pending.nextRecord(t.front.options.Loop.Now())
	changeID := t.front.uniqueName() // each attempt is a separate change
	current, ours, err := t.compareAndSwap(file.volume, file.path, pending.base.Version, next, changeID)
	if err == nil && !ours && current.State != layout.Live {
		current, err = t.readRecord(file.volume, file.path)
	}
	if err == nil && !ours && current.Kind != layout.File {
		t.front.deleteObjects(file.volume, file.path, slices.Collect(maps.Values(pending.written)))
		err = failuref(sftp.NoSuchFile, "%s was removed or renamed by another", file.path)
	}
	file.finishCommit(pending, current, ours, err)
	if err != nil || !ours {
		return false, err
	}
	t.front.deleteObjects(file.volume, file.path, replaced)
	return true, nil
}

// finishCommit updates the file after an attempt to commit.
func (f *openFile) finishCommit(pending *pendingCommit, current *layout.Record, ours bool, err *failure) {
	f.lock.Lock()
	defer f.lock.Unlock()
	switch {
	case err != nil:
		f.dirty = true
	case ours:
		f.record = current
		f.truncated = false
		for index, extent := range pending.written {
			if f.uncommitted[index] == extent {
				delete(f.uncommitted, index)
			}
		}
	default:
		f.record = current
		f.dirty = true
	}
}

// maxZeroWrite is the most bytes in one write of zeros after a truncation.
const maxZeroWrite = 32 << 10

// resize truncates or extends a file and commits the change. A truncation to size 0 is left to the next commit,
// together with the writes that follow.
func (t *task) resize(file *openFile, size uint64) *failure {
	oldSize, extentSize := file.sizes()
	switch {
	case size == 0:
		file.lock.Lock()
		file.truncate()
		file.lock.Unlock()
		return nil
	case size < oldSize:
		if err := t.zeroRestOfExtent(file, size, oldSize, uint64(extentSize)); err != nil {
			return err
		}
		file.shorten(size, uint64(extentSize))
	default:
		file.lock.Lock()
		file.size = max(file.size, size)
		file.dirty = true
		file.lock.Unlock()
	}
	return t.commit(file)
}

// zeroRestOfExtent writes zeros from a truncation point to the end of its extent or of the file, so that these bytes
// read as zeros if the file grows again.
func (t *task) zeroRestOfExtent(file *openFile, cut, oldSize, extentSize uint64) *failure {
	if cut%extentSize == 0 {
		return nil
	}
	class := file.volume.ClassOf(Write, file.path, oldSize)
	index := cut / extentSize
	end := min(oldSize, (index+1)*extentSize)
	for offset := cut; offset < end; {
		extent, err := t.allocatedExtent(file, class, int(index))
		if err != nil || extent.Object == "" {
			break
		}
		length := min(end-offset, maxZeroWrite)
		if err := t.writeFile(file, offset, make([]byte, length)); err != nil {
			return err
		}
		offset += length
	}
	return nil
}

// shorten sets a smaller size and drops the extents beyond it.
func (f *openFile) shorten(size, extentSize uint64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	kept := int((size + extentSize - 1) / extentSize)
	record := *f.record
	record.Extents = slices.Clone(record.Extents[:min(kept, len(record.Extents))])
	record.Size = min(record.Size, size)
	f.record = &record
	f.size = size
	f.dirty = true
	maps.DeleteFunc(f.uncommitted, func(index int, _ layout.Extent) bool { return index >= kept })
}
