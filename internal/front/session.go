package front

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
	"irispost/scheduler"
)

// SessionExtension tells a client in VERSION how its connection is called; its jobs' names begin so.
const SessionExtension = "session@irispost"

// Extensions of others that are offered.
const (
	posixRenameExtension = "posix-rename@openssh.com"
	fsyncExtension       = "fsync@openssh.com"
	limitsExtension      = "limits@openssh.com"
)

// session is one client's connection.
type session struct {
	front       *Front
	conn        *sftp.Conn
	gateway     *gateway.Session
	slots       chan struct{} // one for each request without an answer
	initialized bool
	lastHandle  int
	lock        sync.Mutex
	handles     map[string]*openHandle
	accesses    map[layout.Path][]*rangeAccess
}

// openHandle is an open file or folder.
type openHandle struct {
	name    string
	path    layout.Path
	file    *openFile // nil for a folder
	flags   uint32
	entries []dirEntry // of a folder, that were not sent yet
	listed  bool       // the folder has been listed
}

// rangeAccess is a request's place among those for one path. The draft asks (section 4.1) that requests for one file have the
// results that they would have one at a time; those whose bytes do not overlap, or that only read, go side by side.
type rangeAccess struct {
	from, to uint64
	write    bool
	done     chan struct{}
}

// requestState is where a request stands. Only request.move changes it.
type requestState uint8

const (
	requestWaiting requestState = iota // for earlier requests for the same bytes
	requestRunning
	requestAnswered
)

// request is one request of a client's. It gets exactly one answer, unless its client has gone.
type request struct {
	task
	session      *session
	id           uint32
	state        requestState
	accesses     map[layout.Path]*rangeAccess
	predecessors []<-chan struct{}
	class        *Product // whose patience bounds the wait for the turn
}

func newSession(front *Front, conn *sftp.Conn) *session {
	name := front.options.Name + "/" + front.incarnation + "/" + strconv.FormatInt(front.lastSession.Add(1), 10)
	return &session{front: front, conn: conn, gateway: gateway.NewSession(name), handles: map[string]*openHandle{},
		accesses: map[layout.Path][]*rangeAccess{}, slots: make(chan struct{}, max(front.options.Limits.Outstanding, 1))}
}

// Packet takes in one packet. It waits while the client has too many requests out, and with it the connection.
func (s *session) Packet(frame sftp.Frame) error {
	if !s.initialized {
		if frame.Type != sftp.Init {
			return fmt.Errorf("the first packet is of type %d, not INIT", frame.Type)
		}
		if version, req := frame.ID(); req.Err != nil || version < sftp.ProtocolVersion {
			return fmt.Errorf("the client speaks version %d, version %d is needed", version, sftp.ProtocolVersion)
		}
		s.initialized = true
		s.conn.Send(sftp.Hello(posixRenameExtension, "1", fsyncExtension, "1", limitsExtension, "1", SessionExtension, s.gateway.Name))
		return nil
	}
	id, fields := frame.ID()
	if fields.Err != nil {
		return fmt.Errorf("a packet of type %d without an id", frame.Type)
	}
	if err := s.acquireSlot(); err != nil {
		return err
	}
	req := &request{session: s, id: id, accesses: map[layout.Path]*rangeAccess{},
		task: task{front: s.front, session: s.gateway, requestID: id, arrived: s.front.options.Loop.Now()}}
	s.front.inFlight.begin()
	if s.front.draining.Load() {
		req.answer(nil, rejection(0, "this gateway is stopping, another may serve you"))
		return nil
	}
	work := s.prepare(req, frame.Type, fields)
	if work == nil {
		return nil // answered
	}
	go req.run(work)
	return nil
}

// acquireSlot waits for room for one more request.
func (s *session) acquireSlot() error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case s.slots <- struct{}{}:
			return nil
		case <-s.conn.Done():
			return s.conn.Err()
		case <-ticker.C:
			if s.conn.ReadAheadExceeded() {
				return fmt.Errorf("the client sends on while %d requests wait for their answers", cap(s.slots))
			}
		}
	}
}

// Closed ends the session: its jobs are left, and what it wrote is committed.
func (s *session) Closed(cause error) {
	s.front.options.Loop.CloseSession(s.gateway)
	s.front.options.Log.Debug("session ended", "session", s.gateway.Name, "why", cause)
	s.lock.Lock()
	var open []*openHandle
	for _, opened := range s.handles {
		if opened.file != nil {
			open = append(open, opened)
		}
	}
	s.handles = map[string]*openHandle{}
	s.lock.Unlock()
	slices.SortFunc(open, func(a, b *openHandle) int { return len(a.name) - len(b.name) })
	s.front.inFlight.begin()
	go func() {
		defer s.front.inFlight.end()
		for _, opened := range open {
			if err := s.front.backgroundTask().commit(opened.file); err != nil {
				s.front.options.Log.Warn("what a client wrote before it left is not recorded", "path", opened.path.String(), "why", err.message)
			}
			opened.file.release()
		}
	}()
}

// orderRange places a request among those for a path, and notes which it has to wait for.
func (r *request) orderRange(path layout.Path, from, to uint64, write bool, kind Sort) {
	s := r.session
	if volume := s.front.options.Volumes[path.Volume]; volume != nil {
		r.class = volume.Product(kind, path, 0)
	}
	access := &rangeAccess{from, to, write, make(chan struct{})}
	s.lock.Lock()
	for _, earlier := range s.accesses[path] {
		if (earlier.write || write) && earlier.from < to && from < earlier.to {
			r.predecessors = append(r.predecessors, earlier.done)
		}
	}
	s.accesses[path] = append(s.accesses[path], access)
	s.lock.Unlock()
	r.accesses[path] = access
}

// orderPath places a request that concerns all of a path.
func (r *request) orderPath(path layout.Path, write bool) {
	kind := Look
	if write {
		kind = Change
	}
	r.orderRange(path, 0, ^uint64(0), write, kind)
}

// run waits for the request's turn, does its work and answers. One whose turn does not come before its client's
// patience ends has done nothing.
func (r *request) run(work func() (*sftp.Packet, *failure)) {
	for _, before := range r.predecessors {
		if err := r.waitFor(before, r.class); err != nil {
			r.answer(nil, err)
			return
		}
	}
	r.setState(requestRunning)
	r.answer(work())
}

// setState is the one place where a request changes state.
func (r *request) setState(state requestState) {
	r.state = state
	if state != requestAnswered {
		return
	}
	s := r.session
	s.lock.Lock()
	for path, access := range r.accesses {
		close(access.done)
		if index := slices.Index(s.accesses[path], access); index >= 0 {
			s.accesses[path] = slices.Delete(s.accesses[path], index, index+1)
		}
		if len(s.accesses[path]) == 0 {
			delete(s.accesses, path)
		}
	}
	s.lock.Unlock()
	<-s.slots
	s.front.inFlight.end()
}

// answer sends the one answer.
func (r *request) answer(packet *sftp.Packet, err *failure) {
	if r.state == requestAnswered {
		return
	}
	switch {
	case err != nil && err.clientGone:
	case err != nil:
		r.session.conn.Send(sftp.StatusOf(r.id, err.code, err.message))
	case packet != nil:
		r.session.conn.Send(packet)
	default:
		r.session.conn.Send(sftp.StatusOf(r.id, sftp.OK, "ok"))
	}
	r.setState(requestAnswered)
}

// prepare reads a request's fields and says what is to be done for it, or answers it at once.
func (s *session) prepare(req *request, packetType sftp.Type, fields *sftp.Fields) func() (*sftp.Packet, *failure) {
	work, err := s.parse(req, packetType, fields)
	if malformed := fields.Err; malformed != nil && (err == nil || err.code != sftp.OpUnsupported) {
		work, err = nil, failuref(sftp.BadMessage, "packet of type %d: %v", packetType, malformed)
	}
	if err == nil && work == nil && req.state != requestAnswered { // all fields could be read, and some were left
		err = failuref(sftp.BadMessage, "packet of type %d: %v", packetType, sftp.ErrExtra)
	}
	if err != nil {
		req.answer(nil, err)
		return nil
	}
	return work
}

type work = func() (*sftp.Packet, *failure)

// parse reads a request. Fields that cannot be read are found by who called.
func (s *session) parse(req *request, packetType sftp.Type, fields *sftp.Fields) (work, *failure) {
	switch packetType {
	case sftp.Open:
		path, volume, err := s.readPath(fields)
		flags, attrs := fields.Uint32(), fields.Attrs()
		if err != nil || fields.Done() != nil {
			return nil, err
		}
		req.orderPath(path, flags&(sftp.FlagCreate|sftp.FlagTrunc) != 0)
		return func() (*sftp.Packet, *failure) { return s.open(req, volume, path, flags, attrs) }, nil
	case sftp.Close:
		handle, err := s.readHandle(fields, true)
		if err != nil {
			return nil, err
		}
		req.orderPath(handle.path, true)
		return func() (*sftp.Packet, *failure) { return nil, s.close(req, handle) }, nil
	case sftp.Read:
		handle, err := s.readHandle(fields, false)
		offset, length := fields.Uint64(), fields.Uint32()
		if err != nil || fields.Done() != nil {
			return nil, err
		}
		if handle.file == nil || handle.flags&sftp.FlagRead == 0 {
			return nil, failuref(sftp.Denied, "the handle is not open for reading")
		}
		count := int(min(length, uint32(s.front.options.Limits.Wire.MaxPacket-1024)))
		req.orderRange(handle.path, offset, offset+uint64(count), false, Read)
		return func() (*sftp.Packet, *failure) {
			data, err := req.readFile(handle.file, offset, count)
			return sftp.New(sftp.Data, req.id).Tail(data), err
		}, nil
	case sftp.Write:
		handle, err := s.readHandle(fields, false)
		offset, data := fields.Uint64(), fields.Bytes()
		if err != nil || fields.Done() != nil {
			return nil, err
		}
		if handle.file == nil || handle.flags&sftp.FlagWrite == 0 {
			return nil, failuref(sftp.Denied, "the handle is not open for writing")
		}
		if handle.flags&sftp.FlagAppend != 0 {
			req.orderPath(handle.path, true)
			return func() (*sftp.Packet, *failure) {
				handle.file.lock.Lock()
				end := handle.file.size
				handle.file.lock.Unlock()
				return nil, req.writeFile(handle.file, end, data)
			}, nil
		}
		req.orderRange(handle.path, offset, offset+uint64(len(data)), true, Write)
		return func() (*sftp.Packet, *failure) { return nil, req.writeFile(handle.file, offset, data) }, nil
	case sftp.Lstat, sftp.Stat:
		path, volume, err := s.readPath(fields)
		if err != nil || fields.Done() != nil {
			return nil, err
		}
		req.orderPath(path, false)
		return func() (*sftp.Packet, *failure) { return s.stat(req, volume, path) }, nil
	case sftp.Fstat:
		handle, err := s.readHandle(fields, false)
		if err != nil {
			return nil, err
		}
		req.orderPath(handle.path, false)
		return func() (*sftp.Packet, *failure) {
			return s.stat(req, s.front.options.Volumes[handle.path.Volume], handle.path)
		}, nil
	case sftp.Setstat:
		path, volume, err := s.readPath(fields)
		attrs := fields.Attrs()
		if err != nil || fields.Done() != nil {
			return nil, err
		}
		req.orderPath(path, true)
		return func() (*sftp.Packet, *failure) { return nil, s.setstat(req, volume, path, nil, attrs) }, nil
	case sftp.Fsetstat:
		handle, err := s.readHandle(fields, false)
		attrs := fields.Attrs()
		if err != nil || fields.Done() != nil {
			return nil, err
		}
		if attrs.HasSize && (handle.file == nil || handle.flags&sftp.FlagWrite == 0) {
			return nil, failuref(sftp.Denied, "the handle is not open for writing")
		}
		req.orderPath(handle.path, true)
		return func() (*sftp.Packet, *failure) {
			return nil, s.setstat(req, s.front.options.Volumes[handle.path.Volume], handle.path, handle.file, attrs)
		}, nil
	case sftp.Opendir:
		path, volume, err := s.readPath(fields)
		if err != nil || fields.Done() != nil {
			return nil, err
		}
		req.orderPath(path, false)
		return func() (*sftp.Packet, *failure) { return s.opendir(req, volume, path) }, nil
	case sftp.Readdir:
		handle, err := s.readHandle(fields, false)
		if err != nil {
			return nil, err
		}
		if handle.file != nil {
			return nil, failuref(sftp.Failure, "the handle is not a folder's")
		}
		req.orderPath(handle.path, true) // one after the other: each takes what the one before has left
		return func() (*sftp.Packet, *failure) { return s.readdir(req, handle) }, nil
	case sftp.Remove, sftp.Rmdir, sftp.Mkdir:
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
		return func() (*sftp.Packet, *failure) {
			switch packetType {
			case sftp.Remove:
				return nil, req.removeFile(volume, path)
			case sftp.Rmdir:
				return nil, req.rmdir(volume, path)
			}
			mode := uint32(0o755)
			if attrs.HasMode {
				mode = attrs.Mode & sftp.ModeBits
			}
			return nil, req.mkdir(volume, path, mode)
		}, nil
	case sftp.Rename:
		return s.rename(req, fields, false)
	case sftp.Realpath:
		path, err := parsePath(fields.Text())
		if err != nil || fields.Done() != nil {
			return nil, err
		}
		req.answer(sftp.Names(req.id, []sftp.Entry{{Name: path.String()}}), nil)
		return nil, nil
	case sftp.Extended:
		return s.extended(req, fields)
	}
	fields.Err = nil
	return nil, failuref(sftp.OpUnsupported, "packets of type %d are not served", packetType)
}

func (s *session) extended(req *request, fields *sftp.Fields) (work, *failure) {
	switch name := fields.Text(); name {
	case posixRenameExtension:
		return s.rename(req, fields, true)
	case fsyncExtension:
		handle, err := s.readHandle(fields, false)
		if err != nil {
			return nil, err
		}
		if handle.file == nil {
			return nil, failuref(sftp.Failure, "the handle is a folder's")
		}
		req.orderPath(handle.path, true)
		return func() (*sftp.Packet, *failure) { return nil, req.commit(handle.file) }, nil
	case limitsExtension:
		packet := s.front.options.Limits.Wire.MaxPacket
		req.answer(sftp.New(sftp.ExtendedReply, req.id).Uint64(uint64(packet)).Uint64(uint64(packet-1024)).
			Uint64(uint64(packet-1024)).Uint64(uint64(s.front.options.Limits.Handles)), nil)
		return nil, nil
	default:
		return nil, failuref(sftp.OpUnsupported, "the extension %.64q is not served", name)
	}
}

func (s *session) rename(req *request, fields *sftp.Fields, replace bool) (work, *failure) {
	from, volume, err := s.readPath(fields)
	to, _, err2 := s.readPath(fields)
	if err == nil {
		err = err2
	}
	if err != nil || fields.Done() != nil {
		return nil, err
	}
	if from.Rel == "" || to.Rel == "" {
		return nil, failuref(sftp.Denied, "volumes are not renamed")
	}
	req.orderPath(from, true)
	if to != from {
		req.orderPath(to, true)
	}
	return func() (*sftp.Packet, *failure) { return nil, req.renameFile(volume, from, to, replace) }, nil
}

// readPath reads a path. The root of all volumes has none.
func (s *session) readPath(fields *sftp.Fields) (layout.Path, *Volume, *failure) {
	text := fields.Text()
	if fields.Err != nil {
		return layout.Path{}, nil, nil
	}
	path, err := parsePath(text)
	if err != nil || path.Volume == "" {
		return path, nil, err
	}
	volume, err := s.front.findVolume(path)
	return path, volume, err
}

// readHandle reads a handle, and takes it away where it is to be closed.
func (s *session) readHandle(fields *sftp.Fields, remove bool) (*openHandle, *failure) {
	name := fields.Text()
	if fields.Err != nil {
		return nil, failuref(sftp.BadMessage, "%v", fields.Err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	handle := s.handles[name]
	if handle == nil {
		return nil, failuref(sftp.Failure, "no such handle")
	}
	if remove {
		delete(s.handles, name)
	}
	return handle, nil
}

// addHandle gives a handle a name, if there is room.
func (s *session) addHandle(req *request, handle *openHandle) (*sftp.Packet, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.handles) >= s.front.options.Limits.Handles {
		return nil, failuref(sftp.Failure, "%d handles are open on this connection, no more are given", len(s.handles))
	}
	s.lastHandle++
	handle.name = strconv.Itoa(s.lastHandle)
	s.handles[handle.name] = handle
	return sftp.New(sftp.Handle, req.id).Text(handle.name), nil
}

func (s *session) open(req *request, volume *Volume, path layout.Path, flags uint32, attrs sftp.Attrs) (*sftp.Packet, *failure) {
	if volume == nil {
		return nil, failuref(sftp.Failure, "/ is a folder")
	}
	file, err := req.openFile(volume, path, flags, attrs)
	if err != nil {
		return nil, err
	}
	answer, err := s.addHandle(req, &openHandle{path: path, file: file, flags: flags})
	if err != nil {
		file.release()
	}
	return answer, err
}

func (s *session) close(req *request, handle *openHandle) *failure {
	if handle.file == nil {
		return nil
	}
	defer handle.file.release()
	if handle.flags&sftp.FlagWrite == 0 {
		return nil
	}
	return req.commit(handle.file)
}

func (s *session) stat(req *request, volume *Volume, path layout.Path) (*sftp.Packet, *failure) {
	if path.Rel == "" {
		return sftp.New(sftp.Attributes, req.id).Attrs(sftp.Attrs{HasMode: true, Mode: sftp.ModeFolder | 0o755}), nil
	}
	record, err := req.readRecord(volume, path)
	if err != nil {
		return nil, err
	}
	if record.Kind == layout.Absent {
		return nil, failuref(sftp.NoSuchFile, "there is no %s", path)
	}
	attrs := attrsOf(record)
	s.front.lock.Lock()
	open := s.front.openFiles[path]
	s.front.lock.Unlock()
	if open != nil { // what is written here counts before it is committed
		open.lock.Lock()
		if open.dirty {
			attrs.Size = open.size
		}
		open.lock.Unlock()
	}
	return sftp.New(sftp.Attributes, req.id).Attrs(attrs), nil
}

func attrsOf(record *layout.Record) sftp.Attrs {
	attrs := sftp.Attrs{HasSize: true, HasMode: true, HasTimes: true, Size: record.Size, Mode: record.Mode | sftp.ModeFile,
		Modified: uint32(record.Modified / scheduler.Second), Accessed: uint32(record.Modified / scheduler.Second)}
	if record.Kind == layout.Directory {
		attrs.Mode = record.Mode | sftp.ModeFolder
	}
	return attrs
}

// setstat sets size, mode and time of change. Owners are not kept.
func (s *session) setstat(req *request, volume *Volume, path layout.Path, open *openFile, attrs sftp.Attrs) *failure {
	if path.Rel == "" {
		return failuref(sftp.Denied, "%s is set in the configuration", path)
	}
	if attrs.HasSize {
		file2 := open
		if file2 == nil {
			var err *failure
			if file2, err = req.openFile(volume, path, sftp.FlagWrite, sftp.Attrs{}); err != nil {
				return err
			}
			defer file2.release()
		}
		if err := req.resize(file2, attrs.Size); err != nil {
			return err
		}
		if open == nil {
			if err := req.commit(file2); err != nil {
				return err
			}
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
	for req.beforeDeadline(volume, path) {
		record, err := req.readRecord(volume, path)
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
		current, ours, err := req.compareAndSwap(volume, path, record.Version, &next, s.front.uniqueName())
		if err != nil {
			return err
		}
		if ours {
			s.front.updateOpenRecord(path, current)
			return nil
		}
	}
	return rejection(0, "the file is changed by others all the time")
}

// updateOpenRecord lets an open file know a record that this gateway has just made of it.
func (f *Front) updateOpenRecord(path layout.Path, record *layout.Record) {
	f.lock.Lock()
	open := f.openFiles[path]
	f.lock.Unlock()
	if open != nil {
		open.lock.Lock()
		if open.record != nil && open.record.Version < record.Version && slices.Equal(open.record.Extents, record.Extents) {
			open.record = record
		}
		open.lock.Unlock()
	}
}

func (s *session) opendir(req *request, volume *Volume, path layout.Path) (*sftp.Packet, *failure) {
	if path.Rel != "" {
		record, err := req.fetchRecord(volume, path)
		switch {
		case err != nil:
			return nil, err
		case record.Kind == layout.Absent:
			return nil, failuref(sftp.NoSuchFile, "there is no %s", path)
		case record.Kind != layout.Directory:
			return nil, failuref(sftp.Failure, "%s is no folder", path)
		}
	}
	return s.addHandle(req, &openHandle{path: path})
}

// namesPerReply is how many names go into one answer.
const namesPerReply = 128

func (s *session) readdir(req *request, handle *openHandle) (*sftp.Packet, *failure) {
	if !handle.listed {
		if handle.path.Volume == "" {
			for name := range s.front.options.Volumes {
				handle.entries = append(handle.entries, dirEntry{name, &layout.Record{Kind: layout.Directory, Mode: 0o755}})
			}
			slices.SortFunc(handle.entries, func(a, b dirEntry) int {
				if a.name < b.name {
					return -1
				}
				return 1
			})
		} else {
			limit := s.front.options.Limits.Entries
			items, err := req.listDirectory(s.front.options.Volumes[handle.path.Volume], handle.path, limit+1)
			if err != nil {
				return nil, err
			}
			if len(items) > limit {
				return nil, failuref(sftp.Failure, "the folder has over %d entries, which is the limit of a listing", limit)
			}
			handle.entries = items
		}
		handle.listed = true
	}
	if len(handle.entries) == 0 {
		return nil, failuref(sftp.EOF, "end of folder")
	}
	var entries []sftp.Entry
	for _, entry := range handle.entries[:min(namesPerReply, len(handle.entries))] {
		entries = append(entries, sftp.Entry{Name: entry.name, Attrs: attrsOf(entry.record)})
	}
	handle.entries = handle.entries[len(entries):]
	return sftp.Names(req.id, entries), nil
}
