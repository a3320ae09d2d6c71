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
	posixRename = "posix-rename@openssh.com"
	fsync       = "fsync@openssh.com"
	limits      = "limits@openssh.com"
)

// session is one client's connection.
type session struct {
	front   *Front
	conn    *sftp.Conn
	loop    *gateway.Session
	slots   chan struct{} // one for each request without an answer
	greeted bool
	next    int
	lock    sync.Mutex
	handles map[string]*handle
	turns   map[layout.Path][]*turn
}

// handle is an open file or folder.
type handle struct {
	name  string
	path  layout.Path
	file  *file // nil for a folder
	flags uint32
	items []item // of a folder, that were not sent yet
	read  bool   // the folder has been listed
}

// turn is a request's place among those for one path. The draft asks (section 4.1) that requests for one file have the
// results that they would have one at a time; those whose bytes do not overlap, or that only read, go side by side.
type turn struct {
	from, to uint64
	write    bool
	done     chan struct{}
}

// requestState is where a request stands. Only request.move changes it.
type requestState uint8

const (
	waiting requestState = iota // for earlier requests for the same bytes
	working
	answered
)

// request is one request of a client's. It gets exactly one answer, unless its client has gone.
type request struct {
	task
	session *session
	id      uint32
	state   requestState
	turns   map[layout.Path]*turn
	before  []<-chan struct{}
	product *Product // whose patience bounds the wait for the turn
}

func newSession(f *Front, c *sftp.Conn) *session {
	name := f.opt.Name + "/" + f.boot + "/" + strconv.FormatInt(f.sessions.Add(1), 10)
	return &session{front: f, conn: c, loop: gateway.NewSession(name), handles: map[string]*handle{},
		turns: map[layout.Path][]*turn{}, slots: make(chan struct{}, max(f.opt.Limits.Outstanding, 1))}
}

// Packet takes in one packet. It waits while the client has too many requests out, and with it the connection.
func (s *session) Packet(p sftp.Frame) error {
	if !s.greeted {
		if p.Type != sftp.Init {
			return fmt.Errorf("the first packet is of type %d, not INIT", p.Type)
		}
		if v, r := p.ID(); r.Err != nil || v < sftp.ProtocolVersion {
			return fmt.Errorf("the client speaks version %d, version %d is needed", v, sftp.ProtocolVersion)
		}
		s.greeted = true
		s.conn.Send(sftp.Hello(posixRename, "1", fsync, "1", limits, "1", SessionExtension, s.loop.Name))
		return nil
	}
	id, fields := p.ID()
	if fields.Err != nil {
		return fmt.Errorf("a packet of type %d without an id", p.Type)
	}
	if err := s.slot(); err != nil {
		return err
	}
	r := &request{session: s, id: id, turns: map[layout.Path]*turn{},
		task: task{front: s.front, session: s.loop, number: id, arrived: s.front.opt.Loop.Now()}}
	s.front.busy.begin()
	if s.front.stopping.Load() {
		r.answer(nil, dismissal(0, "this gateway is stopping, another may serve you"))
		return nil
	}
	work := s.read(r, p.Type, fields)
	if work == nil {
		return nil // answered
	}
	go r.run(work)
	return nil
}

// slot waits for room for one more request.
func (s *session) slot() error {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	look := time.NewTicker(50 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case s.slots <- struct{}{}:
			return nil
		case <-s.conn.Done():
			return s.conn.Err()
		case <-look.C:
			if s.conn.ReadAheadExceeded() {
				return fmt.Errorf("the client sends on while %d requests wait for their answers", cap(s.slots))
			}
		}
	}
}

// Closed ends the session: its jobs are left, and what it wrote is committed.
func (s *session) Closed(why error) {
	s.front.opt.Loop.CloseSession(s.loop)
	s.front.opt.Log.Debug("session ended", "session", s.loop.Name, "why", why)
	s.lock.Lock()
	var open []*handle
	for _, h := range s.handles {
		if h.file != nil {
			open = append(open, h)
		}
	}
	s.handles = map[string]*handle{}
	s.lock.Unlock()
	slices.SortFunc(open, func(a, b *handle) int { return len(a.name) - len(b.name) })
	s.front.busy.begin()
	go func() {
		defer s.front.busy.end()
		for _, h := range open {
			if err := s.front.duty().commit(h.file); err != nil {
				s.front.opt.Log.Warn("what a client wrote before it left is not recorded", "path", h.path.String(), "why", err.text)
			}
			h.file.release()
		}
	}()
}

// turn places a request among those for a path, and notes which it has to wait for.
func (r *request) turn(p layout.Path, from, to uint64, write bool, sort Sort) {
	s := r.session
	if v := s.front.opt.Volumes[p.Volume]; v != nil {
		r.product = v.Product(sort, p, 0)
	}
	t := &turn{from, to, write, make(chan struct{})}
	s.lock.Lock()
	for _, o := range s.turns[p] {
		if (o.write || write) && o.from < to && from < o.to {
			r.before = append(r.before, o.done)
		}
	}
	s.turns[p] = append(s.turns[p], t)
	s.lock.Unlock()
	r.turns[p] = t
}

// whole places a request that concerns all of a path.
func (r *request) whole(p layout.Path, write bool) {
	sort := Look
	if write {
		sort = Change
	}
	r.turn(p, 0, ^uint64(0), write, sort)
}

// run waits for the request's turn, does its work and answers. One whose turn does not come before its client's
// patience ends has done nothing.
func (r *request) run(work func() (*sftp.Packet, *failure)) {
	for _, before := range r.before {
		if err := r.await(before, r.product); err != nil {
			r.answer(nil, err)
			return
		}
	}
	r.move(working)
	r.answer(work())
}

// move is the one place where a request changes state.
func (r *request) move(to requestState) {
	r.state = to
	if to != answered {
		return
	}
	s := r.session
	s.lock.Lock()
	for p, t := range r.turns {
		close(t.done)
		if i := slices.Index(s.turns[p], t); i >= 0 {
			s.turns[p] = slices.Delete(s.turns[p], i, i+1)
		}
		if len(s.turns[p]) == 0 {
			delete(s.turns, p)
		}
	}
	s.lock.Unlock()
	<-s.slots
	s.front.busy.end()
}

// answer sends the one answer.
func (r *request) answer(p *sftp.Packet, err *failure) {
	if r.state == answered {
		return
	}
	switch {
	case err != nil && err.left:
	case err != nil:
		r.session.conn.Send(sftp.StatusOf(r.id, err.code, err.text))
	case p != nil:
		r.session.conn.Send(p)
	default:
		r.session.conn.Send(sftp.StatusOf(r.id, sftp.OK, "ok"))
	}
	r.move(answered)
}

// read reads a request's fields and says what is to be done for it, or answers it at once.
func (s *session) read(r *request, t sftp.Type, f *sftp.Fields) func() (*sftp.Packet, *failure) {
	work, err := s.plan(r, t, f)
	if bad := f.Err; bad != nil && (err == nil || err.code != sftp.OpUnsupported) {
		work, err = nil, failed(sftp.BadMessage, "packet of type %d: %v", t, bad)
	}
	if err == nil && work == nil && r.state != answered { // all fields could be read, and some were left
		err = failed(sftp.BadMessage, "packet of type %d: %v", t, sftp.ErrExtra)
	}
	if err != nil {
		r.answer(nil, err)
		return nil
	}
	return work
}

type step = func() (*sftp.Packet, *failure)

// plan reads a request. Fields that cannot be read are found by who called.
func (s *session) plan(r *request, t sftp.Type, f *sftp.Fields) (step, *failure) {
	switch t {
	case sftp.Open:
		p, v, err := s.path(f)
		flags, attrs := f.Uint32(), f.Attrs()
		if err != nil || f.Done() != nil {
			return nil, err
		}
		r.whole(p, flags&(sftp.FlagCreate|sftp.FlagTrunc) != 0)
		return func() (*sftp.Packet, *failure) { return s.open(r, v, p, flags, attrs) }, nil
	case sftp.Close:
		h, err := s.handle(f, true)
		if err != nil {
			return nil, err
		}
		r.whole(h.path, true)
		return func() (*sftp.Packet, *failure) { return nil, s.close(r, h) }, nil
	case sftp.Read:
		h, err := s.handle(f, false)
		offset, length := f.Uint64(), f.Uint32()
		if err != nil || f.Done() != nil {
			return nil, err
		}
		if h.file == nil || h.flags&sftp.FlagRead == 0 {
			return nil, failed(sftp.Denied, "the handle is not open for reading")
		}
		n := int(min(length, uint32(s.front.opt.Limits.Wire.MaxPacket-1024)))
		r.turn(h.path, offset, offset+uint64(n), false, Read)
		return func() (*sftp.Packet, *failure) {
			data, err := r.read(h.file, offset, n)
			return sftp.New(sftp.Data, r.id).Tail(data), err
		}, nil
	case sftp.Write:
		h, err := s.handle(f, false)
		offset, data := f.Uint64(), f.Bytes()
		if err != nil || f.Done() != nil {
			return nil, err
		}
		if h.file == nil || h.flags&sftp.FlagWrite == 0 {
			return nil, failed(sftp.Denied, "the handle is not open for writing")
		}
		if h.flags&sftp.FlagAppend != 0 {
			r.whole(h.path, true)
			return func() (*sftp.Packet, *failure) {
				h.file.lock.Lock()
				end := h.file.size
				h.file.lock.Unlock()
				return nil, r.write(h.file, end, data)
			}, nil
		}
		r.turn(h.path, offset, offset+uint64(len(data)), true, Write)
		return func() (*sftp.Packet, *failure) { return nil, r.write(h.file, offset, data) }, nil
	case sftp.Lstat, sftp.Stat:
		p, v, err := s.path(f)
		if err != nil || f.Done() != nil {
			return nil, err
		}
		r.whole(p, false)
		return func() (*sftp.Packet, *failure) { return s.stat(r, v, p) }, nil
	case sftp.Fstat:
		h, err := s.handle(f, false)
		if err != nil {
			return nil, err
		}
		r.whole(h.path, false)
		return func() (*sftp.Packet, *failure) { return s.stat(r, s.front.opt.Volumes[h.path.Volume], h.path) }, nil
	case sftp.Setstat:
		p, v, err := s.path(f)
		attrs := f.Attrs()
		if err != nil || f.Done() != nil {
			return nil, err
		}
		r.whole(p, true)
		return func() (*sftp.Packet, *failure) { return nil, s.setstat(r, v, p, nil, attrs) }, nil
	case sftp.Fsetstat:
		h, err := s.handle(f, false)
		attrs := f.Attrs()
		if err != nil || f.Done() != nil {
			return nil, err
		}
		if attrs.HasSize && (h.file == nil || h.flags&sftp.FlagWrite == 0) {
			return nil, failed(sftp.Denied, "the handle is not open for writing")
		}
		r.whole(h.path, true)
		return func() (*sftp.Packet, *failure) {
			return nil, s.setstat(r, s.front.opt.Volumes[h.path.Volume], h.path, h.file, attrs)
		}, nil
	case sftp.Opendir:
		p, v, err := s.path(f)
		if err != nil || f.Done() != nil {
			return nil, err
		}
		r.whole(p, false)
		return func() (*sftp.Packet, *failure) { return s.opendir(r, v, p) }, nil
	case sftp.Readdir:
		h, err := s.handle(f, false)
		if err != nil {
			return nil, err
		}
		if h.file != nil {
			return nil, failed(sftp.Failure, "the handle is not a folder's")
		}
		r.whole(h.path, true) // one after the other: each takes what the one before has left
		return func() (*sftp.Packet, *failure) { return s.readdir(r, h) }, nil
	case sftp.Remove, sftp.Rmdir, sftp.Mkdir:
		p, v, err := s.path(f)
		var attrs sftp.Attrs
		if t == sftp.Mkdir {
			attrs = f.Attrs()
		}
		if err != nil || f.Done() != nil {
			return nil, err
		}
		if p.Volume == "" || v == nil {
			return nil, failed(sftp.Denied, "volumes are made and removed in the configuration")
		}
		r.whole(p, true)
		return func() (*sftp.Packet, *failure) {
			switch t {
			case sftp.Remove:
				return nil, r.remove(v, p)
			case sftp.Rmdir:
				return nil, r.rmdir(v, p)
			}
			mode := uint32(0o755)
			if attrs.HasMode {
				mode = attrs.Mode & sftp.ModeBits
			}
			return nil, r.mkdir(v, p, mode)
		}, nil
	case sftp.Rename:
		return s.rename(r, f, false)
	case sftp.Realpath:
		p, err := parse(f.Text())
		if err != nil || f.Done() != nil {
			return nil, err
		}
		r.answer(sftp.Names(r.id, []sftp.Entry{{Name: p.String()}}), nil)
		return nil, nil
	case sftp.Extended:
		return s.extended(r, f)
	}
	f.Err = nil
	return nil, failed(sftp.OpUnsupported, "packets of type %d are not served", t)
}

func (s *session) extended(r *request, f *sftp.Fields) (step, *failure) {
	switch name := f.Text(); name {
	case posixRename:
		return s.rename(r, f, true)
	case fsync:
		h, err := s.handle(f, false)
		if err != nil {
			return nil, err
		}
		if h.file == nil {
			return nil, failed(sftp.Failure, "the handle is a folder's")
		}
		r.whole(h.path, true)
		return func() (*sftp.Packet, *failure) { return nil, r.commit(h.file) }, nil
	case limits:
		packet := s.front.opt.Limits.Wire.MaxPacket
		r.answer(sftp.New(sftp.ExtendedReply, r.id).Uint64(uint64(packet)).Uint64(uint64(packet-1024)).
			Uint64(uint64(packet-1024)).Uint64(uint64(s.front.opt.Limits.Handles)), nil)
		return nil, nil
	default:
		return nil, failed(sftp.OpUnsupported, "the extension %.64q is not served", name)
	}
}

func (s *session) rename(r *request, f *sftp.Fields, replace bool) (step, *failure) {
	from, v, err := s.path(f)
	to, _, err2 := s.path(f)
	if err == nil {
		err = err2
	}
	if err != nil || f.Done() != nil {
		return nil, err
	}
	if from.Rel == "" || to.Rel == "" {
		return nil, failed(sftp.Denied, "volumes are not renamed")
	}
	r.whole(from, true)
	if to != from {
		r.whole(to, true)
	}
	return func() (*sftp.Packet, *failure) { return nil, r.rename(v, from, to, replace) }, nil
}

// path reads a path. The root of all volumes has none.
func (s *session) path(f *sftp.Fields) (layout.Path, *Volume, *failure) {
	text := f.Text()
	if f.Err != nil {
		return layout.Path{}, nil, nil
	}
	p, err := parse(text)
	if err != nil || p.Volume == "" {
		return p, nil, err
	}
	v, err := s.front.volume(p)
	return p, v, err
}

// handle reads a handle, and takes it away where it is to be closed.
func (s *session) handle(f *sftp.Fields, take bool) (*handle, *failure) {
	name := f.Text()
	if f.Err != nil {
		return nil, failed(sftp.BadMessage, "%v", f.Err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	h := s.handles[name]
	if h == nil {
		return nil, failed(sftp.Failure, "no such handle")
	}
	if take {
		delete(s.handles, name)
	}
	return h, nil
}

// keep gives a handle a name, if there is room.
func (s *session) keep(r *request, h *handle) (*sftp.Packet, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.handles) >= s.front.opt.Limits.Handles {
		return nil, failed(sftp.Failure, "%d handles are open on this connection, no more are given", len(s.handles))
	}
	s.next++
	h.name = strconv.Itoa(s.next)
	s.handles[h.name] = h
	return sftp.New(sftp.Handle, r.id).Text(h.name), nil
}

func (s *session) open(r *request, v *Volume, p layout.Path, flags uint32, attrs sftp.Attrs) (*sftp.Packet, *failure) {
	if v == nil {
		return nil, failed(sftp.Failure, "/ is a folder")
	}
	file, err := r.open(v, p, flags, attrs)
	if err != nil {
		return nil, err
	}
	answer, err := s.keep(r, &handle{path: p, file: file, flags: flags})
	if err != nil {
		file.release()
	}
	return answer, err
}

func (s *session) close(r *request, h *handle) *failure {
	if h.file == nil {
		return nil
	}
	defer h.file.release()
	if h.flags&sftp.FlagWrite == 0 {
		return nil
	}
	return r.commit(h.file)
}

func (s *session) stat(r *request, v *Volume, p layout.Path) (*sftp.Packet, *failure) {
	if p.Rel == "" {
		return sftp.New(sftp.Attributes, r.id).Attrs(sftp.Attrs{HasMode: true, Mode: sftp.ModeFolder | 0o755}), nil
	}
	record, err := r.look(v, p)
	if err != nil {
		return nil, err
	}
	if record.Kind == layout.Absent {
		return nil, failed(sftp.NoSuchFile, "there is no %s", p)
	}
	a := attrsOf(record)
	s.front.lock.Lock()
	open := s.front.files[p]
	s.front.lock.Unlock()
	if open != nil { // what is written here counts before it is committed
		open.lock.Lock()
		if open.dirty {
			a.Size = open.size
		}
		open.lock.Unlock()
	}
	return sftp.New(sftp.Attributes, r.id).Attrs(a), nil
}

func attrsOf(r *layout.Record) sftp.Attrs {
	a := sftp.Attrs{HasSize: true, HasMode: true, HasTimes: true, Size: r.Size, Mode: r.Mode | sftp.ModeFile,
		Modified: uint32(r.Modified / scheduler.Second), Accessed: uint32(r.Modified / scheduler.Second)}
	if r.Kind == layout.Folder {
		a.Mode = r.Mode | sftp.ModeFolder
	}
	return a
}

// setstat sets size, mode and time of change. Owners are not kept.
func (s *session) setstat(r *request, v *Volume, p layout.Path, open *file, a sftp.Attrs) *failure {
	if p.Rel == "" {
		return failed(sftp.Denied, "%s is set in the configuration", p)
	}
	if a.HasSize {
		f := open
		if f == nil {
			var err *failure
			if f, err = r.open(v, p, sftp.FlagWrite, sftp.Attrs{}); err != nil {
				return err
			}
			defer f.release()
		}
		if err := r.resize(f, a.Size); err != nil {
			return err
		}
		if open == nil {
			if err := r.commit(f); err != nil {
				return err
			}
		}
	}
	if !a.HasMode && !a.HasTimes {
		return nil
	}
	if open != nil {
		if err := r.commit(open); err != nil {
			return err
		}
	}
	for r.patient(v, p) {
		record, err := r.look(v, p)
		if err != nil {
			return err
		}
		if record.Kind == layout.Absent {
			return failed(sftp.NoSuchFile, "there is no %s", p)
		}
		next := *record
		if a.HasMode {
			next.Mode = a.Mode & sftp.ModeBits
		}
		if a.HasTimes {
			next.Modified = int64(a.Modified) * scheduler.Second
		}
		now, ours, err := r.swap(v, p, record.Version, &next, s.front.mark())
		if err != nil {
			return err
		}
		if ours {
			s.front.learn(p, now)
			return nil
		}
	}
	return dismissal(0, "the file is changed by others all the time")
}

// learn lets an open file know a record that this gateway has just made of it.
func (f *Front) learn(p layout.Path, r *layout.Record) {
	f.lock.Lock()
	open := f.files[p]
	f.lock.Unlock()
	if open != nil {
		open.lock.Lock()
		if open.record != nil && open.record.Version < r.Version && slices.Equal(open.record.Extents, r.Extents) {
			open.record = r
		}
		open.lock.Unlock()
	}
}

func (s *session) opendir(r *request, v *Volume, p layout.Path) (*sftp.Packet, *failure) {
	if p.Rel != "" {
		record, err := r.glance(v, p)
		switch {
		case err != nil:
			return nil, err
		case record.Kind == layout.Absent:
			return nil, failed(sftp.NoSuchFile, "there is no %s", p)
		case record.Kind != layout.Folder:
			return nil, failed(sftp.Failure, "%s is no folder", p)
		}
	}
	return s.keep(r, &handle{path: p})
}

// batch is how many names go into one answer.
const batch = 128

func (s *session) readdir(r *request, h *handle) (*sftp.Packet, *failure) {
	if !h.read {
		if h.path.Volume == "" {
			for name := range s.front.opt.Volumes {
				h.items = append(h.items, item{name, &layout.Record{Kind: layout.Folder, Mode: 0o755}})
			}
			slices.SortFunc(h.items, func(a, b item) int {
				if a.name < b.name {
					return -1
				}
				return 1
			})
		} else {
			most := s.front.opt.Limits.Entries
			items, err := r.list(s.front.opt.Volumes[h.path.Volume], h.path, most+1)
			if err != nil {
				return nil, err
			}
			if len(items) > most {
				return nil, failed(sftp.Failure, "the folder has over %d entries, which is the limit of a listing", most)
			}
			h.items = items
		}
		h.read = true
	}
	if len(h.items) == 0 {
		return nil, failed(sftp.EOF, "end of folder")
	}
	var entries []sftp.Entry
	for _, it := range h.items[:min(batch, len(h.items))] {
		entries = append(entries, sftp.Entry{Name: it.name, Attrs: attrsOf(it.record)})
	}
	h.items = h.items[len(entries):]
	return sftp.Names(r.id, entries), nil
}
