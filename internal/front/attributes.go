package front

import (
	"slices"

	"irispost/internal/layout"
	"irispost/internal/sftp"
	"irispost/scheduler"
)

// stat responds with the attributes of a path. The size includes uncommitted writes through this gateway.
func (s *session) stat(req *request, volume *Volume, path layout.Path) (*sftp.Packet, *failure) {
	answer := sftp.New(sftp.Attributes, req.requestID)
	if path.Rel == "" {
		return answer.Attrs(sftp.Attrs{HasMode: true, Mode: sftp.ModeDirectory | defaultDirectoryMode}), nil
	}
	record, err := req.readRecord(volume, path)
	if err != nil {
		return nil, err
	}
	if record.Kind == layout.Absent {
		return nil, failuref(sftp.NoSuchFile, "there is no %s", path)
	}
	attrs := attrsOf(record)
	if file := s.front.findOpenFile(path); file != nil {
		file.lock.Lock()
		if file.dirty {
			attrs.Size = file.size
		}
		file.lock.Unlock()
	}
	return answer.Attrs(attrs), nil
}

func attrsOf(record *layout.Record) sftp.Attrs {
	modified := uint32(record.Modified / scheduler.Second)
	kind := uint32(sftp.ModeFile)
	if record.Kind == layout.Directory {
		kind = sftp.ModeDirectory
	}
	return sftp.Attrs{
		HasSize:  true,
		HasMode:  true,
		HasTimes: true,
		Size:     record.Size,
		Mode:     record.Mode | kind,
		Modified: modified,
		Accessed: modified,
	}
}

// setstat sets the size, mode and modification time. Owners are not stored. open is the file of the handle for
// FSETSTAT and nil for SETSTAT.
func (s *session) setstat(req *request, volume *Volume, path layout.Path, open *openFile, attrs sftp.Attrs) *failure {
	if path.Rel == "" {
		return failuref(sftp.Denied, "%s is set in the configuration", path)
	}
	if attrs.HasSize {
		if err := req.setSize(volume, path, open, attrs.Size); err != nil {
			return err
		}
	}
	if !attrs.HasMode && !attrs.HasTimes {
		return nil
	}
	if open != nil {
		if err := req.commit(open); err != nil {
			return err
		}
	}
	return req.setModeAndTime(volume, path, attrs)
}

// setSize sets the size of the open file or, if open is nil, of the file at path.
func (t *task) setSize(volume *Volume, path layout.Path, open *openFile, size uint64) *failure {
	if open != nil {
		return t.resize(open, size)
	}
	file, err := t.openFile(volume, path, sftp.FlagWrite, sftp.Attrs{})
	if err != nil {
		return err
	}
	defer file.release()
	if err := t.resize(file, size); err != nil {
		return err
	}
	return t.commit(file)
}

// setModeAndTime sets the mode and the modification time in a record. On a version conflict it retries with the
// current record until the deadline.
func (t *task) setModeAndTime(volume *Volume, path layout.Path, attrs sftp.Attrs) *failure {
	for t.beforeDeadline(volume, path) {
		record, err := t.readRecord(volume, path)
		if err != nil {
			return err
		}
		if record.Kind == layout.Absent {
			return failuref(sftp.NoSuchFile, "there is no %s", path)
		}
		next := *record
		if attrs.HasMode {
			next.Mode = attrs.Mode & sftp.ModeBits
		}
		if attrs.HasTimes {
			next.Modified = int64(attrs.Modified) * scheduler.Second
		}
		current, ours, err := t.compareAndSwap(volume, path, record.Version, &next, t.front.uniqueName())
		if err != nil {
			return err
		}
		if ours {
			t.front.updateOpenRecord(path, current)
			return nil
		}
	}
	return rejection(0, "the file is changed by others all the time")
}

// updateOpenRecord updates the record of the open file at path to one that this gateway has just stored, provided that
// it is newer and has the same extents.
func (f *Front) updateOpenRecord(path layout.Path, record *layout.Record) {
	file := f.findOpenFile(path)
	if file == nil {
		return
	}
	file.lock.Lock()
	defer file.lock.Unlock()
	if file.record == nil || file.record.Version >= record.Version {
		return
	}
	if slices.Equal(file.record.Extents, record.Extents) {
		file.record = record
	}
}
