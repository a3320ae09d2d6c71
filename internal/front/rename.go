package front

import (
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// renameFile moves a file in four record changes: it marks the source as Moving, with the target's path; it stores
// the target as Arriving; it removes the source; it sets the target to Live. Any task that reads a marked record
// completes the move, so that a move is not left half done if its gateway crashes. Record versions never recur, so
// the second change happens at most once, and an Arriving target persists until the source is removed. Thus a file is
// neither lost nor duplicated.
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
	return t.move(volume, source, target, record, replaced)
}

// move moves the file of a record from source to target and deletes the objects of the replaced record.
func (t *task) move(volume *Volume, source, target layout.Path, record, replaced *layout.Record) *failure {
	moving := *record
	moving.State = layout.Moving
	moving.MovePeer = target.String()
	moving.PeerVersion = replaced.Version
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

// completeMove completes the move of a record that is Moving if the target has the version that the move expects, and
// reverts it otherwise. It reports whether the file has moved.
func (t *task) completeMove(volume *Volume, source layout.Path, moving *layout.Record) (moved bool, err *failure) {
	target, parseErr := layout.Parse(moving.MovePeer)
	if parseErr != nil {
		return false, failuref(sftp.Failure, "%s moves to %q", source, moving.MovePeer)
	}
	arriving := *moving
	arriving.State = layout.Arriving
	arriving.MovePeer = source.String()
	arriving.PeerVersion = moving.Version
	arriving.LastMoveID = moving.ChangeID
	current, ours, err := t.compareAndSwap(volume, target, moving.PeerVersion, &arriving, t.front.uniqueName())
	if err != nil {
		return false, err
	}
	if ours || current.State == layout.Arriving && current.LastMoveID == moving.ChangeID {
		return true, t.completeArrival(volume, target, current)
	}
	return t.revertMove(volume, source, moving)
}

// revertMove sets the source back to Live. If the source is not Moving any more, another task has completed or
// reverted the move; revertMove then reports whether the file has moved, by the move ID that a reverted move leaves
// in the record.
func (t *task) revertMove(volume *Volume, source layout.Path, moving *layout.Record) (moved bool, err *failure) {
	restored := *moving
	restored.State = layout.Live
	restored.MovePeer = ""
	restored.PeerVersion = 0
	restored.LastMoveID = moving.ChangeID
	current, ours, err := t.compareAndSwap(volume, source, moving.Version, &restored, t.front.uniqueName())
	if err != nil || ours {
		return false, err
	}
	return current.Kind == layout.Absent || current.LastMoveID != moving.ChangeID, nil
}

// completeArrival completes the move of a record that is Arriving: it removes the source, unless that is already
// done, and sets the target to Live.
func (t *task) completeArrival(volume *Volume, target layout.Path, arriving *layout.Record) *failure {
	source, parseErr := layout.Parse(arriving.MovePeer)
	if parseErr != nil {
		return failuref(sftp.Failure, "%s comes from %q", target, arriving.MovePeer)
	}
	if _, _, err := t.compareAndSwap(volume, source, arriving.PeerVersion, nil, t.front.uniqueName()); err != nil {
		return err
	}
	live := *arriving
	live.State = layout.Live
	live.MovePeer = ""
	live.PeerVersion = 0
	_, _, err := t.compareAndSwap(volume, target, arriving.Version, &live, t.front.uniqueName())
	return err
}
