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

// file is a file that is open at this gateway, for all its handles. What is written is in its extents at once, and in
// its record, where other gateways see it, with a commit: at CLOSE and at fsync.
type file struct {
	front  *Front
	volume *Volume
	path   layout.Path
	refs   int // the front's lock

	commits sync.Mutex // held during a commit

	lock    sync.Mutex
	record  *layout.Record // as last seen
	placed  map[int]layout.Extent
	placing map[int]chan struct{} // extents whose first write is out; closed when it is over
	size    uint64
	fresh   bool // cut to nothing since the last commit: the record's extents do not count
	dirty   bool
}

func keyOf(object string) uint64 { return xxhash.Sum64String(object) | 2 } // never 0, even when halved

// open opens a file, and makes it where that is asked for.
func (t *task) open(v *Volume, p layout.Path, flags uint32, attrs sftp.Attrs) (*file, *failure) {
	if p.Rel == "" {
		return nil, failed(sftp.Failure, "%s is a folder", p)
	}
	r, err := t.look(v, p)
	if err != nil {
		return nil, err
	}
	made := false
	if r.Kind == layout.Absent {
		if flags&sftp.FlagCreate == 0 {
			return nil, failed(sftp.NoSuchFile, "there is no %s", p)
		}
		mode := uint32(0o644)
		if attrs.HasMode {
			mode = attrs.Mode & sftp.ModeBits
		}
		r, made, err = t.make(v, p, &layout.Record{Version: r.Version, Mode: mode, Modified: t.arrived,
			Extent: t.front.opt.Extent})
		if err != nil {
			return nil, err
		}
	}
	if flags&sftp.FlagExcl != 0 && flags&sftp.FlagCreate != 0 && !made {
		return nil, failed(sftp.Failure, "%s exists", p)
	}
	if r.Kind == layout.Folder {
		return nil, failed(sftp.Failure, "%s is a folder", p)
	}
	f := t.front.hold(v, p)
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.dirty && (f.record == nil || r.Version >= f.record.Version || r.Mark != f.record.Mark) {
		f.record, f.size = r, r.Size
	}
	if flags&sftp.FlagTrunc != 0 && !made {
		f.fresh, f.dirty, f.size, f.placed = true, true, 0, map[int]layout.Extent{}
	}
	return f, nil
}

// hold finds or makes the open file of a path, and counts one more handle on it.
func (f *Front) hold(v *Volume, p layout.Path) *file {
	f.lock.Lock()
	defer f.lock.Unlock()
	o := f.files[p]
	if o == nil {
		o = &file{front: f, volume: v, path: p, placed: map[int]layout.Extent{}, placing: map[int]chan struct{}{}}
		f.files[p] = o
	}
	o.refs++
	return o
}

// release counts one handle less.
func (f *file) release() {
	f.front.lock.Lock()
	defer f.front.lock.Unlock()
	if f.refs--; f.refs == 0 && f.front.files[f.path] == f {
		delete(f.front.files, f.path)
	}
}

// extent is where extent i lies now; the lock is held.
func (f *file) extent(i int) layout.Extent {
	if e, ok := f.placed[i]; ok {
		return e
	}
	if f.fresh {
		return layout.Extent{}
	}
	return f.record.At(i)
}

// refresh reads the record anew, where nothing of ours waits to be committed.
func (f *file) refresh(t *task) *failure {
	r, err := t.look(f.volume, f.path)
	if err != nil {
		return err
	}
	if r.Kind == layout.Absent {
		return failed(sftp.NoSuchFile, "%s was removed", f.path)
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if !f.dirty {
		f.record, f.size = r, r.Size
	}
	return nil
}

// read reads bytes. An object that has gone means that the file was written anew: its record is read once more.
func (t *task) read(f *file, offset uint64, length int) ([]byte, *failure) {
	data, gone, err := t.readOnce(f, offset, length)
	if gone && err == nil {
		if err := f.refresh(t); err != nil {
			return nil, err
		}
		if data, gone, err = t.readOnce(f, offset, length); gone && err == nil {
			return nil, dismissal(0, "the file is being written anew")
		}
	}
	return data, err
}

func (t *task) readOnce(f *file, offset uint64, length int) (data []byte, gone bool, err *failure) {
	f.lock.Lock()
	size, run := f.size, f.record.Extent
	f.lock.Unlock()
	if offset >= size {
		return nil, false, failed(sftp.EOF, "end of file")
	}
	length = int(min(uint64(length), size-offset))
	pieces := layout.Pieces(offset, length, run)
	product := f.volume.Product(Read, f.path, size)
	extents := make([]layout.Extent, len(pieces)) // all are known before the first job goes: none is out when this fails
	for i, p := range pieces {
		if extents[i], err = t.settled(f, product, p.Index); err != nil {
			return nil, false, err
		}
	}
	waits := make([]<-chan gateway.Result, len(pieces))
	for i, p := range pieces {
		if e := extents[i]; e.Object != "" {
			waits[i] = t.start(f.volume, product, t.front.opt.Units.Of(p.Length), 0,
				node.Call{Op: node.GetObject, Name: e.Object, Offset: p.Offset, Length: uint32(p.Length), Shard: e.Shard})
		}
	}
	for i, p := range pieces {
		var part []byte
		if waits[i] != nil { // all are waited for, whatever the first says
			a, failure := t.finish(<-waits[i], node.GetObject)
			if err == nil {
				err = failure
			}
			gone = gone || a.Status == node.NotFound
			part = a.Data
		}
		if len(part) == length && len(pieces) == 1 {
			return part, gone, err // as it came, not copied
		}
		if data == nil {
			data = make([]byte, length)
		}
		copy(data[p.From:p.From+p.Length], part)
	}
	return data, gone, err
}

// settled is where an extent lies, once its first write is over.
func (t *task) settled(f *file, product *Product, i int) (layout.Extent, *failure) {
	for {
		f.lock.Lock()
		e, wait := f.extent(i), f.placing[i]
		f.lock.Unlock()
		if e.Object != "" || wait == nil {
			return e, nil
		}
		if err := t.await(wait, product); err != nil {
			return e, err
		}
	}
}

// write writes bytes. All its pieces go at once.
func (t *task) write(f *file, offset uint64, data []byte) *failure {
	f.lock.Lock()
	run, size := f.record.Extent, f.size
	f.lock.Unlock()
	if offset+uint64(len(data)) < offset || offset+uint64(len(data)) > 1<<50 {
		return failed(sftp.Failure, "a file ends at 2^50 bytes at most")
	}
	pieces := layout.Pieces(offset, len(data), run)
	product := f.volume.Product(Write, f.path, max(size, offset+uint64(len(data))))
	results := make(chan *failure, len(pieces))
	for _, p := range pieces[:max(len(pieces)-1, 0)] {
		go func() { results <- t.piece(f, product, p, data[p.From:p.From+p.Length]) }()
	}
	if len(pieces) > 0 {
		p := pieces[len(pieces)-1]
		results <- t.piece(f, product, p, data[p.From:p.From+p.Length])
	}
	var err *failure
	part := false // some of it may be there
	for range pieces {
		e := <-results
		part = part || e == nil || e.ran
		if e != nil && (err == nil || e.left) {
			err = e
		}
	}
	if err != nil {
		err.ran = part
	}
	if err == nil {
		f.lock.Lock()
		f.size, f.dirty = max(f.size, offset+uint64(len(data))), true
		f.lock.Unlock()
	}
	return err
}

// piece writes one extent's part. The first write of an extent makes a new object, which may go to any node; others
// wait until it is known where.
func (t *task) piece(f *file, product *Product, p layout.Piece, data []byte) *failure {
	for {
		f.lock.Lock()
		e, wait := f.extent(p.Index), f.placing[p.Index]
		if e.Object == "" && wait == nil {
			f.placing[p.Index] = make(chan struct{})
		}
		f.lock.Unlock()
		switch {
		case e.Object != "":
			return t.put(f, product, e, p, data)
		case wait == nil:
			return t.place(f, product, p, data)
		}
		if err := t.await(wait, product); err != nil {
			return err
		}
	}
}

func (t *task) put(f *file, product *Product, e layout.Extent, p layout.Piece, data []byte) *failure {
	a, err := t.do(f.volume, product, t.front.opt.Units.Of(len(data)), keyOf(e.Object),
		node.Call{Op: node.PutObject, Name: e.Object, Owner: f.path.String(), Offset: p.Offset, Shard: e.Shard, Version: 1, Data: data})
	if err == nil && a.Status == node.NotFound {
		return failed(sftp.Failure, "written off: another has written or removed the file")
	}
	return err
}

// place makes an extent's object. A name is used for one try only: where it may have been made, it is never used.
func (t *task) place(f *file, product *Product, p layout.Piece, data []byte) *failure {
	e := layout.Extent{Object: t.front.mark()}
	a, err := t.do(f.volume, product, t.front.opt.Units.Of(len(data)), keyOf(e.Object),
		node.Call{Op: node.PutObject, Name: e.Object, Owner: f.path.String(), Offset: p.Offset, Shard: -1, Data: data})
	e.Shard = a.Shard
	f.lock.Lock()
	defer f.lock.Unlock()
	close(f.placing[p.Index])
	delete(f.placing, p.Index)
	if err == nil {
		f.placed[p.Index], f.dirty = e, true
	}
	return err
}

// commit brings what was written into the record. On top of another's change the extents written here win.
func (t *task) commit(f *file) *failure {
	f.commits.Lock()
	defer f.commits.Unlock()
	for t.patient(f.volume, f.path) {
		f.lock.Lock()
		if !f.dirty {
			f.lock.Unlock()
			return nil
		}
		base, placed, size, fresh := f.record, maps.Clone(f.placed), f.size, f.fresh
		f.dirty = false
		f.lock.Unlock()
		next := *base
		next.Modified, next.Size = t.front.opt.Loop.Now(), max(size, base.Size)
		next.Extents = slices.Clone(base.Extents)
		var lost []layout.Extent
		if fresh {
			lost = next.Objects()
			next.Extents, next.Size = nil, size
		}
		lost = append(lost, next.Merge(placed, next.Size)...)
		now, ours, err := t.swap(f.volume, f.path, base.Version, &next, t.front.mark()) // each try is a change of its own
		if err == nil && !ours && now.State != layout.Live {
			now, err = t.look(f.volume, f.path)
		}
		if err == nil && !ours && now.Kind != layout.File {
			t.front.drop(f.volume, f.path, values(placed))
			err = failed(sftp.NoSuchFile, "%s was removed or renamed by another", f.path)
		}
		f.lock.Lock()
		switch {
		case err != nil:
			f.dirty = true
		case ours:
			f.record = now
			f.fresh = false // what was cut since the copy was taken set dirty again and is fresh anew
			for i, e := range placed {
				if f.placed[i] == e {
					delete(f.placed, i)
				}
			}
		default: // another changed it: once more, on top of that
			f.dirty, f.record = true, now
		}
		f.lock.Unlock()
		if err != nil {
			return err
		}
		if ours {
			t.front.drop(f.volume, f.path, lost)
			return nil
		}
	}
	return dismissal(0, "the file is changed by others all the time")
}

func values(m map[int]layout.Extent) (list []layout.Extent) {
	for _, e := range m {
		list = append(list, e)
	}
	return list
}

// resize cuts a file or makes it longer.
func (t *task) resize(f *file, size uint64) *failure {
	f.lock.Lock()
	old, run := f.size, uint64(f.record.Extent)
	f.lock.Unlock()
	switch {
	case size == 0:
		f.lock.Lock()
		f.fresh, f.dirty, f.size, f.placed = true, true, 0, map[int]layout.Extent{}
		f.lock.Unlock()
		return nil
	case size < old: // what lay behind must read as zeros if the file grows again
		product := f.volume.Product(Write, f.path, old)
		for at := size; size%run > 0 && at < old && at/run == size/run; {
			n := min(run-at%run, old-at, 32<<10)
			if e, err := t.settled(f, product, int(at/run)); err != nil || e.Object == "" {
				break
			}
			if err := t.write(f, at, make([]byte, n)); err != nil {
				return err
			}
			at += n
		}
		f.lock.Lock()
		keep := int((size + run - 1) / run)
		cut := *f.record
		cut.Extents, cut.Size = slices.Clone(cut.Extents[:min(keep, len(cut.Extents))]), min(cut.Size, size)
		f.record, f.size, f.dirty = &cut, size, true
		maps.DeleteFunc(f.placed, func(i int, _ layout.Extent) bool { return i >= keep })
		f.lock.Unlock()
	default:
		f.lock.Lock()
		f.size, f.dirty = max(f.size, size), true
		f.lock.Unlock()
	}
	return t.commit(f)
}

// Sweep removes the objects of a shard that no record refers to and that nobody has written for so long: what was left
// by gateways that died between an extent's write and its commit. It returns how many it looked at and removed.
func (f *Front) Sweep(shard int, idle time.Duration) (seen, removed int, err error) {
	f.busy.begin()
	defer f.busy.end()
	var any *Volume
	for _, v := range f.opt.Volumes {
		if any == nil || v.Name < any.Name {
			any = v
		}
	}
	after := ""
	for {
		t := f.duty()
		a, fail := t.do(any, any.Product(Look, layout.Path{Volume: any.Name}, 0), f.opt.Units.Of(0), 0,
			node.Call{Op: node.ListObjects, Shard: shard, Owner: after, Length: 256})
		if fail != nil {
			return seen, removed, fail
		}
		items, err := node.DecodeItems(a.Data)
		if err != nil || len(items) == 0 {
			return seen, removed, err
		}
		for _, it := range items {
			after = it.Name
			seen++
			p, perr := layout.Parse(it.Owner)
			v := f.opt.Volumes[p.Volume]
			if perr != nil || v == nil || time.Duration(it.Age)*time.Second < idle {
				continue // not ours to judge, or too young
			}
			orphan, fail := t.orphan(v, p, layout.Extent{Shard: shard, Object: it.Name})
			if fail != nil {
				return seen, removed, fail
			}
			if orphan {
				_, fail := t.do(v, v.Product(Write, p, 0), f.opt.Units.Of(0), keyOf(it.Name),
					node.Call{Op: node.DeleteObject, Name: it.Name, Shard: shard})
				if fail != nil {
					return seen, removed, fail
				}
				removed++
			}
		}
	}
}

// orphan tells whether no record refers to an object: not its owner's, nor one that its owner has moved to.
func (t *task) orphan(v *Volume, p layout.Path, e layout.Extent) (bool, *failure) {
	r, err := t.look(v, p)
	if err != nil {
		return false, err
	}
	has := func(r *layout.Record) bool {
		return slices.Contains(r.Extents, e) // a copy at another shard, of a try that was given up, is an orphan too
	}
	if has(r) {
		return false, nil
	}
	// A file that was renamed keeps its objects, and they their first owner: the volume is looked through for it.
	dirs := []layout.Path{{Volume: v.Name}}
	for len(dirs) > 0 {
		items, err := t.list(v, dirs[0], t.front.opt.Limits.Entries)
		if err != nil {
			return false, err
		}
		for _, it := range items {
			if it.record.Kind == layout.Folder {
				sub, _ := layout.Parse(dirs[0].String() + "/" + it.name)
				dirs = append(dirs, sub)
			} else if has(it.record) {
				return false, nil
			}
		}
		dirs = dirs[1:]
	}
	return true, nil
}

// Error makes a failure an error, for duties.
func (f *failure) Error() string { return f.code.String() + ": " + f.text }
