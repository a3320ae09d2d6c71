package front

import (
	"irispost/internal/backend/node"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// readRecord reads a record. If a rename of it is in progress, it completes the rename first.
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

// fetchRecord reads a record in any state.
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

// compareAndSwap replaces a record that has the given version with next, or removes it if next is nil. It returns the
// current record and whether this change made it. A version conflict with an earlier attempt of the same change, which
// the change ID identifies, is a success.
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

// checkParent fails if no entry can be created in the parent directory of a path.
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

// createRecord stores a record if there is none; record.Version is the last known version of the absent record. It
// returns the current record and whether it is the one given: another client may have created one at the same time.
//
// The parent directory is checked before and after. rmdir lists a directory only after it has marked it as Removing,
// so either rmdir sees the new record or createRecord sees the mark.
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
		// The request fails because of the directory, whether or not this removal succeeds.
		_, _, _ = t.compareAndSwap(volume, path, current.Version, nil, t.front.uniqueName())
		return nil, false, err
	}
	return current, true, nil
}

// storeIfAbsent stores a record if there is none. If others create and remove one meanwhile, it retries until the
// deadline.
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
		version = current.Version // another client has created and removed one
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

// deleteObjects deletes objects that no record refers to any more, in the background. If it fails, Sweep finds the
// remaining objects.
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
