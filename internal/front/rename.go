package front

import (
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// renameFile moves a file in four changes of records: the source is marked Moving with its target, the target is made
// Arriving, the source is removed, the target becomes Live. Whoever meets a marked record completes the move, so a
// gateway that dies leaves none half done. A version that was replaced never comes back, so the second change happens
// at most once; and a target that is Arriving stays until the source is removed. So a file is never lost nor there
// twice.
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

// move moves the file of a record from source to target, and deletes the objects of the record that it replaces.
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

// completeMove completes the move of a record that is Moving: forward if the target has the version that the move
// expects, else back. It tells whether the file has moved.
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

// revertMove makes the source Live again. Where it is no longer Moving, another has completed the move; it tells
// whether that was forward, by the ID that a reverted move leaves in the record.
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

// completeArrival completes the move of a record that is Arriving: it removes the source, if that is not done yet, and
// makes the target Live.
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
