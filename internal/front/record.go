package front

import (
	"cmp"
	"slices"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// beforeDeadline tells whether a task may try once more to put its change of a record on top of others' changes: as long as
// its client waits.
func (t *task) beforeDeadline(volume *Volume, path layout.Path) bool {
	return t.front.options.Loop.Now() < t.arrived+int64(volume.Product(Change, path, 0).Patience)
}

// readRecord reads a record. One that is in a move has that brought to its end first.
func (t *task) readRecord(volume *Volume, path layout.Path) (*layout.Record, *failure) {
	for t.beforeDeadline(volume, path) {
		record, err := t.fetchRecord(volume, path)
		if err != nil || record.State != layout.Moving && record.State != layout.Arriving {
			return record, err
		}
		if record.State == layout.Moving {
			_, err = t.completeMove(volume, path, record)
		} else {
			err = t.completeArrival(volume, path, record)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, rejection(0, "the file keeps moving")
}

// fetchRecord reads a record as it stands.
func (t *task) fetchRecord(volume *Volume, path layout.Path) (*layout.Record, *failure) {
	reply, err := t.execute(volume, volume.Product(Look, path, 0), t.front.options.Units.Of(0), 0,
		node.Call{Op: node.GetRecord, Name: path.String(), Shard: path.HomeShard(t.front.options.Shards)})
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

// compareAndSwap changes a record from the version that was seen to another, or removes it (to is nil). It returns the record
// as it stands afterwards, and whether it is ours.
func (t *task) compareAndSwap(volume *Volume, path layout.Path, version uint64, next *layout.Record, changeID string) (*layout.Record, bool, *failure) {
	call := node.Call{Op: node.CompareAndSwapRecord, Name: path.String(), Shard: path.HomeShard(t.front.options.Shards), Version: version, IdempotencyKey: changeID}
	if next != nil {
		next.ChangeID = changeID
		call.Data = next.Encode()
	}
	reply, err := t.execute(volume, volume.Product(Change, path, 0), t.front.options.Units.Of(len(call.Data)), 0, call)
	if err != nil {
		return nil, false, err
	}
	if reply.Status == node.VersionConflict {
		current, err := decodeRecord(path, reply)
		return current, err == nil && next != nil && current.Kind != layout.Absent && current.ChangeID == changeID, err
	}
	if next == nil {
		return &layout.Record{Kind: layout.Absent, Version: reply.Version}, true, nil
	}
	stored := *next
	stored.Version = reply.Version
	return &stored, true, nil
}

// checkParent looks whether something can be made in the folder that p lies in.
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

// createRecord makes a record where there is none, as far as is known at the version that r holds. The folder is looked at before and after: a folder that is being removed
// is listed only after it was marked, so one of both sees the other.
func (t *task) createRecord(volume *Volume, path layout.Path, record *layout.Record) (*layout.Record, bool, *failure) {
	if err := t.checkParent(volume, path); err != nil {
		return nil, false, err
	}
	current, ours, version := (*layout.Record)(nil), false, record.Version
	for t.beforeDeadline(volume, path) {
		var err *failure
		current, ours, err = t.compareAndSwap(volume, path, version, record, t.front.uniqueName())
		if err != nil {
			return nil, false, err
		}
		if ours || current.Kind != layout.Absent {
			break
		}
		version = current.Version // it was there, and was removed
	}
	if current == nil || current.Kind == layout.Absent {
		return nil, false, rejection(0, "the name is changed by others all the time")
	}
	if !ours || path.Parent().Rel == "" {
		return current, ours, nil
	}
	if gone := t.checkParent(volume, path); gone != nil {
		_, _, _ = t.compareAndSwap(volume, path, current.Version, nil, t.front.uniqueName()) // the answer is that the folder is gone, whether this succeeds or not
		return nil, false, gone
	}
	return current, true, nil
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

// deleteObjects removes objects that nothing refers to any more. No client waits for it; what stays is found by the sweep.
func (f *Front) deleteObjects(volume *Volume, path layout.Path, extents []layout.Extent) {
	if len(extents) == 0 {
		return
	}
	f.inFlight.begin()
	go func() {
		defer f.inFlight.end()
		task := f.backgroundTask()
		for _, extent := range extents {
			_, _ = task.execute(volume, volume.Product(Write, path, 0), f.options.Units.Of(0), orderingKey(extent.Object),
				node.Call{Op: node.DeleteObject, Name: extent.Object, Shard: extent.Shard})
		}
	}()
}

// mkdir makes a folder.
func (t *task) mkdir(volume *Volume, path layout.Path, mode uint32) *failure {
	if path.Rel == "" {
		return failuref(sftp.Failure, "%s is a volume", path)
	}
	_, ours, err := t.createRecord(volume, path, &layout.Record{Kind: layout.Directory, Mode: mode, Modified: t.arrived})
	if err == nil && !ours {
		return failuref(sftp.Failure, "%s exists", path)
	}
	return err
}

// rmdir removes an empty folder: it is marked, then listed, then removed.
func (t *task) rmdir(volume *Volume, path layout.Path) *failure {
	if path.Rel == "" {
		return failuref(sftp.Failure, "%s is a volume", path)
	}
	record, err := t.fetchRecord(volume, path)
	switch {
	case err != nil:
		return err
	case record.Kind == layout.Absent:
		return failuref(sftp.NoSuchFile, "there is no %s", path)
	case record.Kind != layout.Directory:
		return failuref(sftp.Failure, "%s is no folder", path)
	}
	closing := *record
	closing.State = layout.Removing
	marked, ours, err := t.compareAndSwap(volume, path, record.Version, &closing, t.front.uniqueName())
	if err != nil {
		return err
	}
	if !ours {
		return rejection(0, "the folder is changed by others")
	}
	entries, err := t.listDirectory(volume, path, 1)
	if err == nil && len(entries) == 0 {
		_, ours, err = t.compareAndSwap(volume, path, marked.Version, nil, t.front.uniqueName())
		if err == nil && !ours {
			err = rejection(0, "the folder is changed by others")
		}
		return err
	}
	reopened := *marked
	reopened.State = layout.Live
	_, _, _ = t.compareAndSwap(volume, path, marked.Version, &reopened, t.front.uniqueName()) // where it fails, the folder stays marked as closing
	if err == nil {
		err = failuref(sftp.Failure, "%s is not empty", path)
	}
	return err
}

// dirEntry is one name of a folder.
type dirEntry struct {
	name   string
	record *layout.Record
}

// listDirectory reads a folder: all shards are asked, since each holds the records that hash to it. One that does not answer
// fails the whole, as a listing with names missing would be believed.
func (t *task) listDirectory(volume *Volume, path layout.Path, limit int) ([]dirEntry, *failure) {
	type page struct {
		answer node.Reply
		err    *failure
	}
	var entries []dirEntry
	lastNames := make([]string, t.front.options.Shards)
	more := make([]bool, t.front.options.Shards)
	for index := range more {
		more[index] = true
	}
	for slices.Contains(more, true) {
		var results []<-chan gateway.Result
		var shards []int
		for shard := range more {
			if more[shard] {
				shards = append(shards, shard)
				results = append(results, t.submit(volume, volume.Product(Look, path, 0), t.front.options.Units.Of(0), 0,
					node.Call{Op: node.ListRecords, Name: path.String(), Owner: lastNames[shard], Shard: shard, Length: uint32(min(limit, 512))}))
			}
		}
		pages := make([]page, len(results))
		for index, result := range results {
			pages[index].answer, pages[index].err = t.replyOf(<-result, node.ListRecords)
		}
		for index, answer := range pages {
			if answer.err != nil {
				return nil, answer.err
			}
			items, err := node.DecodeItems(answer.answer.Data)
			if err != nil {
				return nil, failuref(sftp.Failure, "listing of shard %d: %v", shards[index], err)
			}
			for _, item := range items {
				r, err := layout.Decode(item.Data, item.Version)
				if err != nil {
					return nil, failuref(sftp.Failure, "%s: %v", item.Name, err)
				}
				entry, perr := layout.Parse(item.Name)
				if perr != nil {
					return nil, failuref(sftp.Failure, "shard %d holds a record named %q", shards[index], item.Name)
				}
				entries = append(entries, dirEntry{entry.Name(), r})
				lastNames[shards[index]] = item.Name
			}
			more[shards[index]] = len(items) == 512
		}
		if len(entries) >= limit {
			break
		}
	}
	slices.SortFunc(entries, func(a, b dirEntry) int { return cmp.Compare(a.name, b.name) })
	return entries[:min(len(entries), limit)], nil
}

// renameFile moves a file in four changes of records: the old place is marked Moving with where it goes, the new one is
// made Arriving, the old one is removed, the new one becomes Live. Whoever meets a mark brings the move to its end, so
// a gateway that dies leaves none. What a version was replaced by never comes back, so the second change happens once
// at most; and what is Arriving stays until the old place is removed. So a file is never lost, nor there twice.
func (t *task) renameFile(volume *Volume, source, target layout.Path, replace bool) *failure {
	if source.Volume != target.Volume {
		return failuref(sftp.OpUnsupported, "files do not move between volumes")
	}
	record, err := t.readRecord(volume, source)
	switch {
	case err != nil:
		return err
	case record.Kind == layout.Absent:
		return failuref(sftp.NoSuchFile, "there is no %s", source)
	case record.Kind == layout.Directory:
		return failuref(sftp.OpUnsupported, "folders cannot be renamed")
	case source == target:
		return nil
	}
	if err := t.checkParent(volume, target); err != nil {
		return err
	}
	replaced, err := t.readRecord(volume, target)
	switch {
	case err != nil:
		return err
	case replaced.Kind != layout.Absent && (!replace || replaced.Kind == layout.Directory):
		return failuref(sftp.Failure, "%s exists", target)
	}
	moving := *record
	moving.State, moving.MovePeer, moving.PeerVersion = layout.Moving, target.String(), replaced.Version
	marked, ours, err := t.compareAndSwap(volume, source, record.Version, &moving, t.front.uniqueName())
	if err != nil {
		return err
	}
	if !ours {
		return rejection(0, "the file is changed by others")
	}
	moved, err := t.completeMove(volume, source, marked)
	if err != nil {
		return err
	}
	if !moved {
		return failuref(sftp.Failure, "%s was changed by another, and %s is where it was", target, source)
	}
	t.front.deleteObjects(volume, target, replaced.StoredExtents())
	return nil
}

// completeMove brings a move to its end: forward if the new place is as it was, else back. It tells which.
func (t *task) completeMove(volume *Volume, source layout.Path, moving *layout.Record) (moved bool, err *failure) {
	target, parseErr := layout.Parse(moving.MovePeer)
	if parseErr != nil {
		return false, failuref(sftp.Failure, "%s moves to %q", source, moving.MovePeer)
	}
	arriving := *moving
	arriving.State, arriving.MovePeer, arriving.PeerVersion, arriving.LastMoveID = layout.Arriving, source.String(), moving.Version, moving.ChangeID
	current, ours, err := t.compareAndSwap(volume, target, moving.PeerVersion, &arriving, t.front.uniqueName())
	if err != nil {
		return false, err
	}
	if ours || current.State == layout.Arriving && current.LastMoveID == moving.ChangeID {
		return true, t.completeArrival(volume, target, current)
	}
	restored := *moving
	restored.State, restored.MovePeer, restored.PeerVersion, restored.LastMoveID = layout.Live, "", 0, moving.ChangeID
	left, ours, err := t.compareAndSwap(volume, source, moving.Version, &restored, t.front.uniqueName())
	// If the old place is not as it was, another has brought the move to its end, and said so if it was back.
	return err == nil && !ours && (left.Kind == layout.Absent || left.LastMoveID != moving.ChangeID), err
}

// completeArrival ends a move whose new place stands.
func (t *task) completeArrival(volume *Volume, target layout.Path, arriving *layout.Record) *failure {
	source, parseErr := layout.Parse(arriving.MovePeer)
	if parseErr != nil {
		return failuref(sftp.Failure, "%s comes from %q", target, arriving.MovePeer)
	}
	if _, _, err := t.compareAndSwap(volume, source, arriving.PeerVersion, nil, t.front.uniqueName()); err != nil { // if it is gone already, good
		return err
	}
	live := *arriving
	live.State, live.MovePeer, live.PeerVersion = layout.Live, "", 0
	_, _, err := t.compareAndSwap(volume, target, arriving.Version, &live, t.front.uniqueName())
	return err
}
