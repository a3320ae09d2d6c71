package front

import (
	"cmp"
	"slices"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

// patient tells whether a task may try once more to put its change of a record on top of others' changes: as long as
// its client waits.
func (t *task) patient(v *Volume, p layout.Path) bool {
	return t.front.opt.Loop.Now() < t.arrived+int64(v.Product(Change, p, 0).Patience)
}

// look reads a record. One that is in a move has that brought to its end first.
func (t *task) look(v *Volume, p layout.Path) (*layout.Record, *failure) {
	for t.patient(v, p) {
		r, err := t.glance(v, p)
		if err != nil || r.State != layout.Moving && r.State != layout.Arriving {
			return r, err
		}
		if r.State == layout.Moving {
			_, err = t.finishMove(v, p, r)
		} else {
			err = t.arrive(v, p, r)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, dismissal(0, "the file keeps moving")
}

// glance reads a record as it stands.
func (t *task) glance(v *Volume, p layout.Path) (*layout.Record, *failure) {
	a, err := t.do(v, v.Product(Look, p, 0), t.front.opt.Units.Of(0), 0,
		node.Call{Op: node.GetRecord, Name: p.String(), Shard: p.Home(t.front.opt.Shards)})
	if err != nil {
		return nil, err
	}
	return decode(p, a)
}

func decode(p layout.Path, a node.Reply) (*layout.Record, *failure) {
	if len(a.Data) == 0 {
		return &layout.Record{Kind: layout.Absent, Version: a.Version}, nil
	}
	r, err := layout.Decode(a.Data, a.Version)
	if err != nil {
		return nil, failed(sftp.Failure, "%s: %v", p, err)
	}
	return r, nil
}

// swap changes a record from the version that was seen to another, or removes it (to is nil). It returns the record
// as it stands afterwards, and whether it is ours.
func (t *task) swap(v *Volume, p layout.Path, seen uint64, to *layout.Record, mark string) (*layout.Record, bool, *failure) {
	call := node.Call{Op: node.CompareAndSwapRecord, Name: p.String(), Shard: p.Home(t.front.opt.Shards), Version: seen, IdempotencyKey: mark}
	if to != nil {
		to.Mark = mark
		call.Data = to.Encode()
	}
	a, err := t.do(v, v.Product(Change, p, 0), t.front.opt.Units.Of(len(call.Data)), 0, call)
	if err != nil {
		return nil, false, err
	}
	if a.Status == node.VersionConflict {
		now, err := decode(p, a)
		return now, err == nil && to != nil && now.Kind != layout.Absent && now.Mark == mark, err
	}
	if to == nil {
		return &layout.Record{Kind: layout.Absent, Version: a.Version}, true, nil
	}
	done := *to
	done.Version = a.Version
	return &done, true, nil
}

// inFolder looks whether something can be made in the folder that p lies in.
func (t *task) inFolder(v *Volume, p layout.Path) *failure {
	dir := p.Parent()
	if dir.Rel == "" {
		return nil
	}
	r, err := t.glance(v, dir)
	switch {
	case err != nil:
		return err
	case r.Kind == layout.Absent:
		return failed(sftp.NoSuchFile, "there is no folder %s", dir)
	case r.Kind != layout.Folder:
		return failed(sftp.Failure, "%s is no folder", dir)
	case r.State != layout.Live:
		return dismissal(0, "the folder is being removed")
	}
	return nil
}

// make makes a record where there is none, as far as is known at the version that r holds. The folder is looked at before and after: a folder that is being removed
// is listed only after it was marked, so one of both sees the other.
func (t *task) make(v *Volume, p layout.Path, r *layout.Record) (*layout.Record, bool, *failure) {
	if err := t.inFolder(v, p); err != nil {
		return nil, false, err
	}
	now, ours, seen := (*layout.Record)(nil), false, r.Version
	for t.patient(v, p) {
		var err *failure
		now, ours, err = t.swap(v, p, seen, r, t.front.mark())
		if err != nil {
			return nil, false, err
		}
		if ours || now.Kind != layout.Absent {
			break
		}
		seen = now.Version // it was there, and was removed
	}
	if now == nil || now.Kind == layout.Absent {
		return nil, false, dismissal(0, "the name is changed by others all the time")
	}
	if !ours || p.Parent().Rel == "" {
		return now, ours, nil
	}
	if gone := t.inFolder(v, p); gone != nil {
		_, _, _ = t.swap(v, p, now.Version, nil, t.front.mark()) // the answer is that the folder is gone, whether this succeeds or not
		return nil, false, gone
	}
	return now, true, nil
}

// remove removes a file.
func (t *task) remove(v *Volume, p layout.Path) *failure {
	for t.patient(v, p) {
		r, err := t.look(v, p)
		switch {
		case err != nil:
			return err
		case r.Kind == layout.Absent:
			return failed(sftp.NoSuchFile, "there is no %s", p)
		case r.Kind == layout.Folder:
			return failed(sftp.Failure, "%s is a folder", p)
		}
		_, ours, err := t.swap(v, p, r.Version, nil, t.front.mark())
		if err != nil {
			return err
		}
		if ours {
			t.front.drop(v, p, r.Objects())
			return nil
		}
	}
	return dismissal(0, "the file is changed by others all the time")
}

// drop removes objects that nothing refers to any more. No client waits for it; what stays is found by the sweep.
func (f *Front) drop(v *Volume, p layout.Path, extents []layout.Extent) {
	if len(extents) == 0 {
		return
	}
	f.busy.begin()
	go func() {
		defer f.busy.end()
		t := f.duty()
		for _, e := range extents {
			_, _ = t.do(v, v.Product(Write, p, 0), f.opt.Units.Of(0), keyOf(e.Object),
				node.Call{Op: node.DeleteObject, Name: e.Object, Shard: e.Shard})
		}
	}()
}

// mkdir makes a folder.
func (t *task) mkdir(v *Volume, p layout.Path, mode uint32) *failure {
	if p.Rel == "" {
		return failed(sftp.Failure, "%s is a volume", p)
	}
	_, ours, err := t.make(v, p, &layout.Record{Kind: layout.Folder, Mode: mode, Modified: t.arrived})
	if err == nil && !ours {
		return failed(sftp.Failure, "%s exists", p)
	}
	return err
}

// rmdir removes an empty folder: it is marked, then listed, then removed.
func (t *task) rmdir(v *Volume, p layout.Path) *failure {
	if p.Rel == "" {
		return failed(sftp.Failure, "%s is a volume", p)
	}
	r, err := t.glance(v, p)
	switch {
	case err != nil:
		return err
	case r.Kind == layout.Absent:
		return failed(sftp.NoSuchFile, "there is no %s", p)
	case r.Kind != layout.Folder:
		return failed(sftp.Failure, "%s is no folder", p)
	}
	closing := *r
	closing.State = layout.Closing
	marked, ours, err := t.swap(v, p, r.Version, &closing, t.front.mark())
	if err != nil {
		return err
	}
	if !ours {
		return dismissal(0, "the folder is changed by others")
	}
	items, err := t.list(v, p, 1)
	if err == nil && len(items) == 0 {
		_, ours, err = t.swap(v, p, marked.Version, nil, t.front.mark())
		if err == nil && !ours {
			err = dismissal(0, "the folder is changed by others")
		}
		return err
	}
	back := *marked
	back.State = layout.Live
	_, _, _ = t.swap(v, p, marked.Version, &back, t.front.mark()) // where it fails, the folder stays marked as closing
	if err == nil {
		err = failed(sftp.Failure, "%s is not empty", p)
	}
	return err
}

// item is one name of a folder.
type item struct {
	name   string
	record *layout.Record
}

// list reads a folder: all shards are asked, since each holds the records that hash to it. One that does not answer
// fails the whole, as a listing with names missing would be believed.
func (t *task) list(v *Volume, p layout.Path, most int) ([]item, *failure) {
	type page struct {
		answer node.Reply
		err    *failure
	}
	var items []item
	after := make([]string, t.front.opt.Shards)
	open := make([]bool, t.front.opt.Shards)
	for i := range open {
		open[i] = true
	}
	for slices.Contains(open, true) {
		var waits []<-chan gateway.Result
		var shards []int
		for shard := range open {
			if open[shard] {
				shards = append(shards, shard)
				waits = append(waits, t.start(v, v.Product(Look, p, 0), t.front.opt.Units.Of(0), 0,
					node.Call{Op: node.ListRecords, Name: p.String(), Owner: after[shard], Shard: shard, Length: uint32(min(most, 512))}))
			}
		}
		pages := make([]page, len(waits))
		for i, w := range waits {
			pages[i].answer, pages[i].err = t.finish(<-w, node.ListRecords)
		}
		for i, pg := range pages {
			if pg.err != nil {
				return nil, pg.err
			}
			list, err := node.DecodeItems(pg.answer.Data)
			if err != nil {
				return nil, failed(sftp.Failure, "listing of shard %d: %v", shards[i], err)
			}
			for _, it := range list {
				r, err := layout.Decode(it.Data, it.Version)
				if err != nil {
					return nil, failed(sftp.Failure, "%s: %v", it.Name, err)
				}
				entry, perr := layout.Parse(it.Name)
				if perr != nil {
					return nil, failed(sftp.Failure, "shard %d holds a record named %q", shards[i], it.Name)
				}
				items = append(items, item{entry.Name(), r})
				after[shards[i]] = it.Name
			}
			open[shards[i]] = len(list) == 512
		}
		if len(items) >= most {
			break
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.name, b.name) })
	return items[:min(len(items), most)], nil
}

// rename moves a file in four changes of records: the old place is marked Moving with where it goes, the new one is
// made Arriving, the old one is removed, the new one becomes Live. Whoever meets a mark brings the move to its end, so
// a gateway that dies leaves none. What a version was replaced by never comes back, so the second change happens once
// at most; and what is Arriving stays until the old place is removed. So a file is never lost, nor there twice.
func (t *task) rename(v *Volume, from, to layout.Path, replace bool) *failure {
	if from.Volume != to.Volume {
		return failed(sftp.OpUnsupported, "files do not move between volumes")
	}
	r, err := t.look(v, from)
	switch {
	case err != nil:
		return err
	case r.Kind == layout.Absent:
		return failed(sftp.NoSuchFile, "there is no %s", from)
	case r.Kind == layout.Folder:
		return failed(sftp.OpUnsupported, "folders cannot be renamed")
	case from == to:
		return nil
	}
	if err := t.inFolder(v, to); err != nil {
		return err
	}
	there, err := t.look(v, to)
	switch {
	case err != nil:
		return err
	case there.Kind != layout.Absent && (!replace || there.Kind == layout.Folder):
		return failed(sftp.Failure, "%s exists", to)
	}
	moving := *r
	moving.State, moving.Target, moving.Expected = layout.Moving, to.String(), there.Version
	marked, ours, err := t.swap(v, from, r.Version, &moving, t.front.mark())
	if err != nil {
		return err
	}
	if !ours {
		return dismissal(0, "the file is changed by others")
	}
	moved, err := t.finishMove(v, from, marked)
	if err != nil {
		return err
	}
	if !moved {
		return failed(sftp.Failure, "%s was changed by another, and %s is where it was", to, from)
	}
	t.front.drop(v, to, there.Objects())
	return nil
}

// finishMove brings a move to its end: forward if the new place is as it was, else back. It tells which.
func (t *task) finishMove(v *Volume, from layout.Path, moving *layout.Record) (moved bool, err *failure) {
	to, perr := layout.Parse(moving.Target)
	if perr != nil {
		return false, failed(sftp.Failure, "%s moves to %q", from, moving.Target)
	}
	arriving := *moving
	arriving.State, arriving.Target, arriving.Expected, arriving.Origin = layout.Arriving, from.String(), moving.Version, moving.Mark
	there, ours, err := t.swap(v, to, moving.Expected, &arriving, t.front.mark())
	if err != nil {
		return false, err
	}
	if ours || there.State == layout.Arriving && there.Origin == moving.Mark {
		return true, t.arrive(v, to, there)
	}
	back := *moving
	back.State, back.Target, back.Expected, back.Origin = layout.Live, "", 0, moving.Mark
	old, ours, err := t.swap(v, from, moving.Version, &back, t.front.mark())
	// If the old place is not as it was, another has brought the move to its end, and said so if it was back.
	return err == nil && !ours && (old.Kind == layout.Absent || old.Origin != moving.Mark), err
}

// arrive ends a move whose new place stands.
func (t *task) arrive(v *Volume, to layout.Path, arriving *layout.Record) *failure {
	from, perr := layout.Parse(arriving.Target)
	if perr != nil {
		return failed(sftp.Failure, "%s comes from %q", to, arriving.Target)
	}
	if _, _, err := t.swap(v, from, arriving.Expected, nil, t.front.mark()); err != nil { // if it is gone already, good
		return err
	}
	live := *arriving
	live.State, live.Target, live.Expected = layout.Live, "", 0
	_, _, err := t.swap(v, to, arriving.Version, &live, t.front.mark())
	return err
}
