package front

import (
	"irispost/internal/backend/node"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// readRecord reads a record. Where a rename of it has begun, it completes the rename first.
func (t *task) readRecord(volume *Volume, path layout.Path) (*layout.Record, *failure) {
	for t.beforeDeadline(volume, path) {
		record, err := t.fetchRecord(volume, path)
		if err != nil {
			return nil, err
		}
		switch record.State {
		case layout.Moving:
			_, err = t.completeMove(volume, path, record)
		case layout.Arriving:
			err = t.completeArrival(volume, path, record)
		default:
			return record, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, rejection(0, "the file keeps moving")
}

// fetchRecord reads a record in whatever state it is.
func (t *task) fetchRecord(volume *Volume, path layout.Path) (*layout.Record, *failure) {
	reply, err := t.execute(volume, volume.ClassOf(Lookup, path, 0), t.front.options.Units.Of(0), 0, node.Call{
		Op:    node.GetRecord,
		Name:  path.String(),
		Shard: path.HomeShard(t.front.options.Shards),
	})
	if err != nil {
		return nil, err
	}
	return decodeRecord(path, reply)
}

func decodeRecord(path layout.Path, reply node.Reply) (*layout.Record, *failure) {
	if len(reply.Data) == 0 {
		return &layout.Record{Kind: layout.Absent, Version: reply.Version}, nil
	}
	record, err := layout.Decode(reply.Data, reply.Version)
	if err != nil {
		return nil, failuref(sftp.Failure, "%s: %v", path, err)
	}
	return record, nil
}

// compareAndSwap changes a record that has the given version to next, or removes it where next is nil. It returns the
// record as it is afterwards, and whether it is the one of this change: a conflict with an earlier attempt of the same
// change is a success.
func (t *task) compareAndSwap(volume *Volume, path layout.Path, version uint64, next *layout.Record, changeID string) (
	current *layout.Record, ours bool, err *failure) {
	call := node.Call{
		Op:             node.CompareAndSwapRecord,
		Name:           path.String(),
		Shard:          path.HomeShard(t.front.options.Shards),
		Version:        version,
		IdempotencyKey: changeID,
	}
	if next != nil {
		next.ChangeID = changeID
		call.Data = next.Encode()
	}
	reply, err := t.execute(volume, volume.ClassOf(Change, path, 0), t.front.options.Units.Of(len(call.Data)), 0, call)
	if err != nil {
		return nil, false, err
	}
	if reply.Status == node.VersionConflict {
		current, err = decodeRecord(path, reply)
		ours = err == nil && next != nil && current.Kind != layout.Absent && current.ChangeID == changeID
		return current, ours, err
	}
	if next == nil {
		return &layout.Record{Kind: layout.Absent, Version: reply.Version}, true, nil
	}
	stored := *next
	stored.Version = reply.Version
	return &stored, true, nil
}

// checkParent fails where nothing can be made in the directory that holds a path.
func (t *task) checkParent(volume *Volume, path layout.Path) *failure {
	parent := path.Parent()
	if parent.Rel == "" {
		return nil
	}
	record, err := t.fetchRecord(volume, parent)
	switch {
	case err != nil:
		return err
	case record.Kind == layout.Absent:
		return failuref(sftp.NoSuchFile, "there is no folder %s", parent)
	case record.Kind != layout.Directory:
		return failuref(sftp.Failure, "%s is no folder", parent)
	case record.State != layout.Live:
		return rejection(0, "the folder is being removed")
	}
	return nil
}

// createRecord stores a record where there is none; record.Version is that of its absence as last seen. It returns the
// record as it is afterwards, and whether it is this one: another may have made one at the same time.
//
// The directory is checked before and after: one that is being removed is listed only after it was marked, so that
// either the remover sees the new record or createRecord sees the mark.
func (t *task) createRecord(volume *Volume, path layout.Path, record *layout.Record) (*layout.Record, bool, *failure) {
	if err := t.checkParent(volume, path); err != nil {
		return nil, false, err
	}
	current, ours, err := t.storeIfAbsent(volume, path, record)
	if err != nil {
		return nil, false, err
	}
	if !ours || path.Parent().Rel == "" {
		return current, ours, nil
	}
	if err := t.checkParent(volume, path); err != nil {
		// The answer is that the directory is gone, whether this succeeds or not.
		_, _, _ = t.compareAndSwap(volume, path, current.Version, nil, t.front.uniqueName())
		return nil, false, err
	}
	return current, true, nil
}

// storeIfAbsent tries to store a record where there is none, until the deadline, while others make and remove one.
func (t *task) storeIfAbsent(volume *Volume, path layout.Path, record *layout.Record) (*layout.Record, bool, *failure) {
	version := record.Version
	for t.beforeDeadline(volume, path) {
		current, ours, err := t.compareAndSwap(volume, path, version, record, t.front.uniqueName())
		if err != nil {
			return nil, false, err
		}
		if current.Kind != layout.Absent {
			return current, ours, nil
		}
		version = current.Version // another has made and removed one
	}
	return nil, false, rejection(0, "the name is changed by others all the time")
}

// removeFile removes a file.
func (t *task) removeFile(volume *Volume, path layout.Path) *failure {
	for t.beforeDeadline(volume, path) {
		record, err := t.readRecord(volume, path)
		switch {
		case err != nil:
			return err
		case record.Kind == layout.Absent:
			return failuref(sftp.NoSuchFile, "there is no %s", path)
		case record.Kind == layout.Directory:
			return failuref(sftp.Failure, "%s is a folder", path)
		}
		_, ours, err := t.compareAndSwap(volume, path, record.Version, nil, t.front.uniqueName())
		if err != nil {
			return err
		}
		if ours {
			t.front.deleteObjects(volume, path, record.StoredExtents())
			return nil
		}
	}
	return rejection(0, "the file is changed by others all the time")
}

// deleteObjects deletes, in the background, objects that no record refers to any more. The sweep finds those that are
// left over where this fails.
func (f *Front) deleteObjects(volume *Volume, path layout.Path, extents []layout.Extent) {
	if len(extents) == 0 {
		return
	}
	f.inFlight.begin()
	go func() {
		defer f.inFlight.end()
		task := f.backgroundTask()
		for _, extent := range extents {
			_ = task.deleteObject(volume, path, extent)
		}
	}()
}

func (t *task) deleteObject(volume *Volume, path layout.Path, extent layout.Extent) *failure {
	class := volume.ClassOf(Write, path, 0)
	_, err := t.execute(volume, class, t.front.options.Units.Of(0), orderingKey(extent.Object), node.Call{
		Op:    node.DeleteObject,
		Name:  extent.Object,
		Shard: extent.Shard,
	})
	return err
}
