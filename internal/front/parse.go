package front

import (
	"irispost/internal/sftp"
)

// Supported OpenSSH extensions.
const (
	posixRenameExtension = "posix-rename@openssh.com"
	fsyncExtension       = "fsync@openssh.com"
	limitsExtension      = "limits@openssh.com"
)

// packetOverhead is the space in a packet that is reserved for everything except the data, in bytes.
const packetOverhead = 1024

// Modes of files and directories that are created without one.
const (
	defaultFileMode      = 0o644
	defaultDirectoryMode = 0o755
)

// prepare parses a request and returns its handler, or answers it immediately and returns nil.
func (s *session) prepare(req *request, packetType sftp.Type, fields *sftp.Fields) handler {
	work, err := s.parse(req, packetType, fields)
	if malformed := fields.Err; malformed != nil && (err == nil || err.code != sftp.OpUnsupported) {
		work, err = nil, failuref(sftp.BadMessage, "packet of type %d: %v", packetType, malformed)
	}
	if err == nil && work == nil && req.state != requestAnswered { // all fields were read, but bytes are left
		err = failuref(sftp.BadMessage, "packet of type %d: %v", packetType, sftp.ErrExtra)
	}
	if err != nil {
		req.answer(nil, err)
		return nil
	}
	return work
}

// parse reads a request's fields and orders it after earlier requests for its path. If the fields are malformed, it
// may return neither a handler nor a failure; prepare detects that from fields.
func (s *session) parse(req *request, packetType sftp.Type, fields *sftp.Fields) (handler, *failure) {
	switch packetType {
	case sftp.Open:
		return s.parseOpen(req, fields)
	case sftp.Close:
		return s.parseClose(req, fields)
	case sftp.Read:
		return s.parseRead(req, fields)
	case sftp.Write:
		return s.parseWrite(req, fields)
	case sftp.Lstat, sftp.Stat:
		return s.parseStat(req, fields)
	case sftp.Fstat:
		return s.parseFstat(req, fields)
	case sftp.Setstat:
		return s.parseSetstat(req, fields)
	case sftp.Fsetstat:
		return s.parseFsetstat(req, fields)
	case sftp.Opendir:
		return s.parseOpendir(req, fields)
	case sftp.Readdir:
		return s.parseReaddir(req, fields)
	case sftp.Remove, sftp.Rmdir, sftp.Mkdir:
		return s.parsePathChange(req, packetType, fields)
	case sftp.Rename:
		return s.parseRename(req, fields, false)
	case sftp.Realpath:
		return s.parseRealpath(req, fields)
	case sftp.Extended:
		return s.parseExtended(req, fields)
	}
	fields.Err = nil
	return nil, failuref(sftp.OpUnsupported, "packets of type %d are not served", packetType)
}

func (s *session) parseOpen(req *request, fields *sftp.Fields) (handler, *failure) {
	path, volume, err := s.readPath(fields)
	flags, attrs := fields.Uint32(), fields.Attrs()
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	req.orderPath(path, flags&(sftp.FlagCreate|sftp.FlagTrunc) != 0)
	return func() (*sftp.Packet, *failure) { return s.open(req, volume, path, flags, attrs) }, nil
}

func (s *session) parseClose(req *request, fields *sftp.Fields) (handler, *failure) {
	handle, err := s.removeHandle(fields)
	if err != nil {
		return nil, err
	}
	req.orderPath(handle.path, true)
	return withStatus(func() *failure { return s.close(req, handle) }), nil
}

func (s *session) parseRead(req *request, fields *sftp.Fields) (handler, *failure) {
	handle, err := s.readHandle(fields)
	offset, length := fields.Uint64(), fields.Uint32()
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	if handle.file == nil || handle.flags&sftp.FlagRead == 0 {
		return nil, failuref(sftp.Denied, "the handle is not open for reading")
	}
	count := int(min(length, uint32(s.front.maxDataLength())))
	req.orderRange(handle.path, offset, offset+uint64(count), false, Read)
	return func() (*sftp.Packet, *failure) {
		data, err := req.readFile(handle.file, offset, count)
		return sftp.New(sftp.Data, req.requestID).Tail(data), err
	}, nil
}

func (s *session) parseWrite(req *request, fields *sftp.Fields) (handler, *failure) {
	handle, err := s.readHandle(fields)
	offset, data := fields.Uint64(), fields.Bytes()
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	if handle.file == nil || handle.flags&sftp.FlagWrite == 0 {
		return nil, failuref(sftp.Denied, "the handle is not open for writing")
	}
	if handle.flags&sftp.FlagAppend != 0 {
		req.orderPath(handle.path, true)
		return withStatus(func() *failure { return req.writeFile(handle.file, handle.file.currentSize(), data) }), nil
	}
	req.orderRange(handle.path, offset, offset+uint64(len(data)), true, Write)
	return withStatus(func() *failure { return req.writeFile(handle.file, offset, data) }), nil
}

func (s *session) parseStat(req *request, fields *sftp.Fields) (handler, *failure) {
	path, volume, err := s.readPath(fields)
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	req.orderPath(path, false)
	return func() (*sftp.Packet, *failure) { return s.stat(req, volume, path) }, nil
}

func (s *session) parseFstat(req *request, fields *sftp.Fields) (handler, *failure) {
	handle, err := s.readHandle(fields)
	if err != nil {
		return nil, err
	}
	req.orderPath(handle.path, false)
	volume := s.front.options.Volumes[handle.path.Volume]
	return func() (*sftp.Packet, *failure) { return s.stat(req, volume, handle.path) }, nil
}

func (s *session) parseSetstat(req *request, fields *sftp.Fields) (handler, *failure) {
	path, volume, err := s.readPath(fields)
	attrs := fields.Attrs()
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	req.orderPath(path, true)
	return withStatus(func() *failure { return s.setstat(req, volume, path, nil, attrs) }), nil
}

func (s *session) parseFsetstat(req *request, fields *sftp.Fields) (handler, *failure) {
	handle, err := s.readHandle(fields)
	attrs := fields.Attrs()
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	if attrs.HasSize && (handle.file == nil || handle.flags&sftp.FlagWrite == 0) {
		return nil, failuref(sftp.Denied, "the handle is not open for writing")
	}
	req.orderPath(handle.path, true)
	volume := s.front.options.Volumes[handle.path.Volume]
	return withStatus(func() *failure { return s.setstat(req, volume, handle.path, handle.file, attrs) }), nil
}

func (s *session) parseOpendir(req *request, fields *sftp.Fields) (handler, *failure) {
	path, volume, err := s.readPath(fields)
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	req.orderPath(path, false)
	return func() (*sftp.Packet, *failure) { return s.opendir(req, volume, path) }, nil
}

func (s *session) parseReaddir(req *request, fields *sftp.Fields) (handler, *failure) {
	handle, err := s.readHandle(fields)
	if err != nil {
		return nil, err
	}
	if handle.file != nil {
		return nil, failuref(sftp.Failure, "the handle is not a folder's")
	}
	req.orderPath(handle.path, true) // ordered as a write: each takes the entries that the previous one left
	return func() (*sftp.Packet, *failure) { return s.readdir(req, handle) }, nil
}

// parsePathChange parses REMOVE, RMDIR and MKDIR.
func (s *session) parsePathChange(req *request, packetType sftp.Type, fields *sftp.Fields) (handler, *failure) {
	path, volume, err := s.readPath(fields)
	var attrs sftp.Attrs
	if packetType == sftp.Mkdir {
		attrs = fields.Attrs()
	}
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	if path.Volume == "" || volume == nil {
		return nil, failuref(sftp.Denied, "volumes are made and removed in the configuration")
	}
	req.orderPath(path, true)
	switch packetType {
	case sftp.Remove:
		return withStatus(func() *failure { return req.removeFile(volume, path) }), nil
	case sftp.Rmdir:
		return withStatus(func() *failure { return req.rmdir(volume, path) }), nil
	default:
		mode := modeOf(attrs, defaultDirectoryMode)
		return withStatus(func() *failure { return req.mkdir(volume, path, mode) }), nil
	}
}

func (s *session) parseRename(req *request, fields *sftp.Fields, replace bool) (handler, *failure) {
	source, volume, err := s.readPath(fields)
	target, _, targetErr := s.readPath(fields)
	if err == nil {
		err = targetErr
	}
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	if source.Rel == "" || target.Rel == "" {
		return nil, failuref(sftp.Denied, "volumes are not renamed")
	}
	req.orderPath(source, true)
	if target != source {
		req.orderPath(target, true)
	}
	return withStatus(func() *failure { return req.renameFile(volume, source, target, replace) }), nil
}

// parseRealpath responds immediately: cleaning a path needs no request to a node.
func (s *session) parseRealpath(req *request, fields *sftp.Fields) (handler, *failure) {
	path, err := parsePath(fields.Text())
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	req.answer(sftp.NewNames(req.requestID, []sftp.Entry{{Name: path.String()}}), nil)
	return nil, nil
}

func (s *session) parseExtended(req *request, fields *sftp.Fields) (handler, *failure) {
	switch name := fields.Text(); name {
	case posixRenameExtension:
		return s.parseRename(req, fields, true)
	case fsyncExtension:
		return s.parseFsync(req, fields)
	case limitsExtension:
		s.answerLimits(req)
		return nil, nil
	default:
		return nil, failuref(sftp.OpUnsupported, "the extension %.64q is not served", name)
	}
}

func (s *session) parseFsync(req *request, fields *sftp.Fields) (handler, *failure) {
	handle, err := s.readHandle(fields)
	if err != nil {
		return nil, err
	}
	if handle.file == nil {
		return nil, failuref(sftp.Failure, "the handle is a folder's")
	}
	req.orderPath(handle.path, true)
	return withStatus(func() *failure { return req.commit(handle.file) }), nil
}

// answerLimits responds to limits@openssh.com with the maximum lengths of a packet, a read and a write, and the
// maximum number of open handles.
func (s *session) answerLimits(req *request) {
	limits := s.front.options.Limits
	data := uint64(s.front.maxDataLength())
	req.answer(sftp.New(sftp.ExtendedReply, req.requestID).
		Uint64(uint64(limits.Wire.MaxPacket)).
		Uint64(data).
		Uint64(data).
		Uint64(uint64(limits.Handles)), nil)
}

// maxDataLength returns the maximum length of the data of one READ or WRITE, in bytes.
func (f *Front) maxDataLength() int { return f.options.Limits.Wire.MaxPacket - packetOverhead }

// modeOf returns the permission bits of attributes, or defaultMode if they have no mode.
func modeOf(attrs sftp.Attrs, defaultMode uint32) uint32 {
	if attrs.HasMode {
		return attrs.Mode & sftp.ModeBits
	}
	return defaultMode
}
