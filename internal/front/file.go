package front

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// openFile is a file that is open at this gateway, for all its handles. What is written is in its extents at once, and in
// its record, where other gateways see it, with a commit: at CLOSE and at fsync.
type openFile struct {
	front  *Front
	volume *Volume
	path   layout.Path
	refs   int // the front's lock

	commitLock sync.Mutex // held during a commit

	lock        sync.Mutex
	record      *layout.Record // as last seen
	uncommitted map[int]layout.Extent
	allocating  map[int]chan struct{} // extents whose first write is out; closed when it is over
	size        uint64
	truncated   bool // cut to nothing since the last commit: the record's extents do not count
	dirty       bool
}

func orderingKey(object string) uint64 { return xxhash.Sum64String(object) | 2 } // never 0, even when halved

// openFile opens a file, and makes it where that is asked for.
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
		mode := uint32(0o644)
		if attrs.HasMode {
			mode = attrs.Mode & sftp.ModeBits
		}
		record, created, err = t.createRecord(volume, path, &layout.Record{Version: record.Version, Mode: mode, Modified: t.arrived,
			ExtentSize: t.front.options.Extent})
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
	if !file.dirty && (file.record == nil || record.Version >= file.record.Version || record.ChangeID != file.record.ChangeID) {
		file.record, file.size = record, record.Size
	}
	if flags&sftp.FlagTrunc != 0 && !created {
		file.truncated, file.dirty, file.size, file.uncommitted = true, true, 0, map[int]layout.Extent{}
	}
	return file, nil
}

// acquire finds or makes the open file of a path, and counts one more handle on it.
func (f *Front) acquire(volume *Volume, path layout.Path) *openFile {
	f.lock.Lock()
	defer f.lock.Unlock()
	opened := f.openFiles[path]
	if opened == nil {
		opened = &openFile{front: f, volume: volume, path: path, uncommitted: map[int]layout.Extent{}, allocating: map[int]chan struct{}{}}
		f.openFiles[path] = opened
	}
	opened.refs++
	return opened
}

// release counts one handle less.
func (f *openFile) release() {
	f.front.lock.Lock()
	defer f.front.lock.Unlock()
	if f.refs--; f.refs == 0 && f.front.openFiles[f.path] == f {
		delete(f.front.openFiles, f.path)
	}
}

// extentAt is where extent i lies now; the lock is held.
func (f *openFile) extentAt(index int) layout.Extent {
	if extent, ok := f.uncommitted[index]; ok {
		return extent
	}
	if f.truncated {
		return layout.Extent{}
	}
	return f.record.ExtentAt(index)
}

// reload reads the record anew, where nothing of ours waits to be committed.
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

// readFile reads bytes. An object that has gone means that the file was written anew: its record is read once more.
func (t *task) readFile(file *openFile, offset uint64, length int) ([]byte, *failure) {
	data, gone, err := t.readOnce(file, offset, length)
	if gone && err == nil {
		if err := file.reload(t); err != nil {
			return nil, err
		}
		if data, gone, err = t.readOnce(file, offset, length); gone && err == nil {
			return nil, rejection(0, "the file is being written anew")
		}
	}
	return data, err
}

func (t *task) readOnce(file *openFile, offset uint64, length int) (data []byte, gone bool, err *failure) {
	file.lock.Lock()
	size, extentSize := file.size, file.record.ExtentSize
	file.lock.Unlock()
	if offset >= size {
		return nil, false, failuref(sftp.EOF, "end of file")
	}
	length = int(min(uint64(length), size-offset))
	pieces := layout.SplitByExtent(offset, length, extentSize)
	class := file.volume.Product(Read, file.path, size)
	extents := make([]layout.Extent, len(pieces)) // all are known before the first job goes: none is out when this fails
	for index, piece := range pieces {
		if extents[index], err = t.allocatedExtent(file, class, piece.ExtentIndex); err != nil {
			return nil, false, err
		}
	}
	results := make([]<-chan gateway.Result, len(pieces))
	for index, piece := range pieces {
		if extent := extents[index]; extent.Object != "" {
			results[index] = t.submit(file.volume, class, t.front.options.Units.Of(piece.Length), 0,
				node.Call{Op: node.GetObject, Name: extent.Object, Offset: piece.ExtentOffset, Length: uint32(piece.Length), Shard: extent.Shard})
		}
	}
	for index, piece := range pieces {
		var part []byte
		if results[index] != nil { // all are waited for, whatever the first says
			reply, failure := t.replyOf(<-results[index], node.GetObject)
			if err == nil {
				err = failure
			}
			gone = gone || reply.Status == node.NotFound
			part = reply.Data
		}
		if len(part) == length && len(pieces) == 1 {
			return part, gone, err // as it came, not copied
		}
		if data == nil {
			data = make([]byte, length)
		}
		copy(data[piece.DataOffset:piece.DataOffset+piece.Length], part)
	}
	return data, gone, err
}

// allocatedExtent is where an extent lies, once its first write is over.
func (t *task) allocatedExtent(file *openFile, class *Product, index int) (layout.Extent, *failure) {
	for {
		file.lock.Lock()
		extent, wait := file.extentAt(index), file.allocating[index]
		file.lock.Unlock()
		if extent.Object != "" || wait == nil {
			return extent, nil
		}
		if err := t.waitFor(wait, class); err != nil {
			return extent, err
		}
	}
}

// writeFile writes bytes. All its pieces go at once.
func (t *task) writeFile(file *openFile, offset uint64, data []byte) *failure {
	file.lock.Lock()
	extentSize, size := file.record.ExtentSize, file.size
	file.lock.Unlock()
	if offset+uint64(len(data)) < offset || offset+uint64(len(data)) > 1<<50 {
		return failuref(sftp.Failure, "a file ends at 2^50 bytes at most")
	}
	pieces := layout.SplitByExtent(offset, len(data), extentSize)
	class := file.volume.Product(Write, file.path, max(size, offset+uint64(len(data))))
	results := make(chan *failure, len(pieces))
	for _, piece := range pieces[:max(len(pieces)-1, 0)] {
		go func() {
			results <- t.writePiece(file, class, piece, data[piece.DataOffset:piece.DataOffset+piece.Length])
		}()
	}
	if len(pieces) > 0 {
		piece := pieces[len(pieces)-1]
		results <- t.writePiece(file, class, piece, data[piece.DataOffset:piece.DataOffset+piece.Length])
	}
	var err *failure
	mayHaveRun := false // some of it may be there
	for range pieces {
		pieceErr := <-results
		mayHaveRun = mayHaveRun || pieceErr == nil || pieceErr.mayHaveRun
		if pieceErr != nil && (err == nil || pieceErr.clientGone) {
			err = pieceErr
		}
	}
	if err != nil {
		err.mayHaveRun = mayHaveRun
	}
	if err == nil {
		file.lock.Lock()
		file.size, file.dirty = max(file.size, offset+uint64(len(data))), true
		file.lock.Unlock()
	}
	return err
}

// writePiece writes one extent's part. The first write of an extent makes a new object, which may go to any node; others
// wait until it is known where.
func (t *task) writePiece(file *openFile, class *Product, piece layout.Piece, data []byte) *failure {
	for {
		file.lock.Lock()
		extent, wait := file.extentAt(piece.ExtentIndex), file.allocating[piece.ExtentIndex]
		if extent.Object == "" && wait == nil {
			file.allocating[piece.ExtentIndex] = make(chan struct{})
		}
		file.lock.Unlock()
		switch {
		case extent.Object != "":
			return t.writeExtent(file, class, extent, piece, data)
		case wait == nil:
			return t.allocateExtent(file, class, piece, data)
		}
		if err := t.waitFor(wait, class); err != nil {
			return err
		}
	}
}

func (t *task) writeExtent(file *openFile, class *Product, extent layout.Extent, piece layout.Piece, data []byte) *failure {
	reply, err := t.execute(file.volume, class, t.front.options.Units.Of(len(data)), orderingKey(extent.Object),
		node.Call{Op: node.PutObject, Name: extent.Object, Owner: file.path.String(), Offset: piece.ExtentOffset, Shard: extent.Shard, Version: 1, Data: data})
	if err == nil && reply.Status == node.NotFound {
		return failuref(sftp.Failure, "written off: another has written or removed the file")
	}
	return err
}

// allocateExtent makes an extent's object. A name is used for one try only: where it may have been made, it is never used.
func (t *task) allocateExtent(file *openFile, class *Product, piece layout.Piece, data []byte) *failure {
	extent := layout.Extent{Object: t.front.uniqueName()}
	reply, err := t.execute(file.volume, class, t.front.options.Units.Of(len(data)), orderingKey(extent.Object),
		node.Call{Op: node.PutObject, Name: extent.Object, Owner: file.path.String(), Offset: piece.ExtentOffset, Shard: -1, Data: data})
	extent.Shard = reply.Shard
	file.lock.Lock()
	defer file.lock.Unlock()
	close(file.allocating[piece.ExtentIndex])
	delete(file.allocating, piece.ExtentIndex)
	if err == nil {
		file.uncommitted[piece.ExtentIndex], file.dirty = extent, true
	}
	return err
}

// commit brings what was written into the record. On top of another's change the extents written here win.
func (t *task) commit(file *openFile) *failure {
	file.commitLock.Lock()
	defer file.commitLock.Unlock()
	for t.beforeDeadline(file.volume, file.path) {
		file.lock.Lock()
		if !file.dirty {
			file.lock.Unlock()
			return nil
		}
		base, written, size, truncated := file.record, maps.Clone(file.uncommitted), file.size, file.truncated
		file.dirty = false
		file.lock.Unlock()
		next := *base
		next.Modified, next.Size = t.front.options.Loop.Now(), max(size, base.Size)
		next.Extents = slices.Clone(base.Extents)
		var replaced []layout.Extent
		if truncated {
			replaced = next.StoredExtents()
			next.Extents, next.Size = nil, size
		}
		replaced = append(replaced, next.Merge(written, next.Size)...)
		current, ours, err := t.compareAndSwap(file.volume, file.path, base.Version, &next, t.front.uniqueName()) // each try is a change of its own
		if err == nil && !ours && current.State != layout.Live {
			current, err = t.readRecord(file.volume, file.path)
		}
		if err == nil && !ours && current.Kind != layout.File {
			t.front.deleteObjects(file.volume, file.path, values(written))
			err = failuref(sftp.NoSuchFile, "%s was removed or renamed by another", file.path)
		}
		file.lock.Lock()
		switch {
		case err != nil:
			file.dirty = true
		case ours:
			file.record = current
			file.truncated = false // what was cut since the copy was taken set dirty again and is fresh anew
			for index, extent := range written {
				if file.uncommitted[index] == extent {
					delete(file.uncommitted, index)
				}
			}
		default: // another changed it: once more, on top of that
			file.dirty, file.record = true, current
		}
		file.lock.Unlock()
		if err != nil {
			return err
		}
		if ours {
			t.front.deleteObjects(file.volume, file.path, replaced)
			return nil
		}
	}
	return rejection(0, "the file is changed by others all the time")
}

func values(extents map[int]layout.Extent) (list []layout.Extent) {
	for _, extent := range extents {
		list = append(list, extent)
	}
	return list
}

// resize cuts a file or makes it longer.
func (t *task) resize(file *openFile, size uint64) *failure {
	file.lock.Lock()
	oldSize, extentSize := file.size, uint64(file.record.ExtentSize)
	file.lock.Unlock()
	switch {
	case size == 0:
		file.lock.Lock()
		file.truncated, file.dirty, file.size, file.uncommitted = true, true, 0, map[int]layout.Extent{}
		file.lock.Unlock()
		return nil
	case size < oldSize: // what lay behind must read as zeros if the file grows again
		product := file.volume.Product(Write, file.path, oldSize)
		for offset := size; size%extentSize > 0 && offset < oldSize && offset/extentSize == size/extentSize; {
			length := min(extentSize-offset%extentSize, oldSize-offset, 32<<10)
			if extent, err := t.allocatedExtent(file, product, int(offset/extentSize)); err != nil || extent.Object == "" {
				break
			}
			if err := t.writeFile(file, offset, make([]byte, length)); err != nil {
				return err
			}
			offset += length
		}
		file.lock.Lock()
		kept := int((size + extentSize - 1) / extentSize)
		shortened := *file.record
		shortened.Extents, shortened.Size = slices.Clone(shortened.Extents[:min(kept, len(shortened.Extents))]), min(shortened.Size, size)
		file.record, file.size, file.dirty = &shortened, size, true
		maps.DeleteFunc(file.uncommitted, func(index int, _ layout.Extent) bool { return index >= kept })
		file.lock.Unlock()
	default:
		file.lock.Lock()
		file.size, file.dirty = max(file.size, size), true
		file.lock.Unlock()
	}
	return t.commit(file)
}

// Sweep removes the objects of a shard that no record refers to and that nobody has written for so long: what was left
// by gateways that died between an extent's write and its commit. It returns how many it looked at and removed.
func (f *Front) Sweep(shard int, idle time.Duration) (seen, removed int, err error) {
	f.inFlight.begin()
	defer f.inFlight.end()
	var first *Volume
	for _, volume := range f.options.Volumes {
		if first == nil || volume.Name < first.Name {
			first = volume
		}
	}
	after := ""
	for {
		task := f.backgroundTask()
		reply, fail := task.execute(first, first.Product(Look, layout.Path{Volume: first.Name}, 0), f.options.Units.Of(0), 0,
			node.Call{Op: node.ListObjects, Shard: shard, Owner: after, Length: 256})
		if fail != nil {
			return seen, removed, fail
		}
		items, err := node.DecodeItems(reply.Data)
		if err != nil || len(items) == 0 {
			return seen, removed, err
		}
		for _, object := range items {
			after = object.Name
			seen++
			path, parseErr := layout.Parse(object.Owner)
			volume := f.options.Volumes[path.Volume]
			if parseErr != nil || volume == nil || time.Duration(object.Age)*time.Second < idle {
				continue // not ours to judge, or too young
			}
			orphan, fail := task.isOrphan(volume, path, layout.Extent{Shard: shard, Object: object.Name})
			if fail != nil {
				return seen, removed, fail
			}
			if orphan {
				_, fail := task.execute(volume, volume.Product(Write, path, 0), f.options.Units.Of(0), orderingKey(object.Name),
					node.Call{Op: node.DeleteObject, Name: object.Name, Shard: shard})
				if fail != nil {
					return seen, removed, fail
				}
				removed++
			}
		}
	}
}

// isOrphan tells whether no record refers to an object: not its owner's, nor one that its owner has moved to.
func (t *task) isOrphan(volume *Volume, path layout.Path, extent layout.Extent) (bool, *failure) {
	record, err := t.readRecord(volume, path)
	if err != nil {
		return false, err
	}
	has := func(record *layout.Record) bool {
		return slices.Contains(record.Extents, extent) // a copy at another shard, of a try that was given up, is an orphan too
	}
	if has(record) {
		return false, nil
	}
	// A file that was renamed keeps its objects, and they their first owner: the volume is looked through for it.
	directories := []layout.Path{{Volume: volume.Name}}
	for len(directories) > 0 {
		items, err := t.listDirectory(volume, directories[0], t.front.options.Limits.Entries)
		if err != nil {
			return false, err
		}
		for _, entry := range items {
			if entry.record.Kind == layout.Directory {
				child, _ := layout.Parse(directories[0].String() + "/" + entry.name)
				directories = append(directories, child)
			} else if has(entry.record) {
				return false, nil
			}
		}
		directories = directories[1:]
	}
	return true, nil
}

// Error makes a failure an error, for duties.
func (f *failure) Error() string { return f.code.String() + ": " + f.message }
