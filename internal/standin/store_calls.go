package standin

import (
	"errors"
	"slices"
	"strings"
	"time"

	"irispost/internal/backend/node"
)

// maxObjectSize is the largest offset, in bytes, at which a write to an object may start.
const maxObjectSize = 1 << 30

var errObjectTooLarge = errors.New("write offset exceeds the limit of 2^30 bytes")

// apply executes a call. The caller holds the lock.
func (s *Store) apply(call *node.Call, now time.Time) node.Reply {
	switch call.Op {
	case node.GetObject:
		return s.getObject(call)
	case node.PutObject:
		return s.putObject(call, now)
	case node.DeleteObject:
		return s.deleteObject(call)
	case node.GetRecord:
		return s.getRecord(call)
	case node.CompareAndSwapRecord:
		return s.compareAndSwapRecord(call, now)
	case node.ListRecords:
		return s.listRecords(call)
	case node.ListObjects:
		return s.listObjects(call, now)
	}
	return node.Reply{Outcome: node.Executed}
}

func failed(err error) node.Reply {
	return node.Reply{Outcome: node.Failed, Message: err.Error()}
}

func (s *Store) getObject(call *node.Call) node.Reply {
	o := s.objects[call.Name]
	if o == nil {
		return node.Reply{Outcome: node.Executed, Status: node.NotFound}
	}
	size := uint64(len(o.data))
	from := min(call.Offset, size)
	until := min(from+uint64(call.Length), size)
	return node.Reply{Outcome: node.Executed, Data: slices.Clone(o.data[from:until])}
}

// putObject writes a range of an object. A call with a version requires that the object exists.
func (s *Store) putObject(call *node.Call, now time.Time) node.Reply {
	if call.Offset > maxObjectSize {
		return failed(errObjectTooLarge)
	}
	o := s.objects[call.Name]
	if o == nil {
		if call.Version > 0 {
			return node.Reply{Outcome: node.Executed, Status: node.NotFound}
		}
		o = &object{owner: call.Owner}
		s.objects[call.Name] = o
	}
	if end := int(call.Offset) + len(call.Data); end > len(o.data) {
		o.data = append(o.data, make([]byte, end-len(o.data))...)
	}
	copy(o.data[call.Offset:], call.Data)
	o.writtenAt = now
	if err := s.writeFile(objectFile, call.Name, fileContent{writtenAt: now, owner: o.owner, data: o.data}); err != nil {
		return failed(err)
	}
	return node.Reply{Outcome: node.Executed}
}

func (s *Store) deleteObject(call *node.Call) node.Reply {
	if s.objects[call.Name] == nil {
		return node.Reply{Outcome: node.Executed}
	}
	delete(s.objects, call.Name)
	if err := s.removeFile(objectFile, call.Name); err != nil {
		return failed(err)
	}
	return node.Reply{Outcome: node.Executed}
}

func (s *Store) getRecord(call *node.Call) node.Reply {
	reply := node.Reply{Outcome: node.Executed}
	if r := s.records[call.Name]; r != nil {
		reply.Version = r.version
		reply.Data = r.data
	}
	return reply
}

// compareAndSwapRecord replaces a record if its version is that of the call. Empty data remove the record.
func (s *Store) compareAndSwapRecord(call *node.Call, now time.Time) node.Reply {
	r := s.records[call.Name]
	if r == nil {
		r = &record{}
	}
	if r.version != call.Version {
		return node.Reply{Outcome: node.Executed, Status: node.VersionConflict, Version: r.version, Data: r.data}
	}
	s.version++
	s.records[call.Name] = &record{s.version, slices.Clone(call.Data), now}
	var err error
	if len(call.Data) > 0 {
		err = s.writeFile(recordFile, call.Name, fileContent{version: s.version, writtenAt: now, data: call.Data})
	} else {
		err = s.removeFile(recordFile, call.Name)
	}
	if err != nil {
		return failed(err)
	}
	return node.Reply{Outcome: node.Executed, Version: s.version}
}

// listRecords lists the records of a folder in the order of their names, starting after the name in call.Owner.
func (s *Store) listRecords(call *node.Call) node.Reply {
	prefix := strings.TrimSuffix(call.Name, "/") + "/"
	items := listPage(s.records, call.Owner, int(call.Length), func(name string, r *record) (node.ListItem, bool) {
		rest, inFolder := strings.CutPrefix(name, prefix)
		listed := inFolder && len(r.data) > 0 && !strings.Contains(rest, "/")
		return node.ListItem{Name: name, Version: r.version, Data: r.data}, listed
	})
	return node.Reply{Outcome: node.Executed, Data: node.EncodeItems(items)}
}

// listObjects lists all objects in the order of their names, starting after the name in call.Owner.
func (s *Store) listObjects(call *node.Call, now time.Time) node.Reply {
	items := listPage(s.objects, call.Owner, int(call.Length), func(name string, o *object) (node.ListItem, bool) {
		age := uint32(now.Sub(o.writtenAt) / time.Second)
		return node.ListItem{Name: name, Owner: o.owner, Age: age}, true
	})
	return node.Reply{Outcome: node.Executed, Data: node.EncodeItems(items)}
}

// listPage lists up to limit items in the order of their names, starting after the given name. item returns an item and
// whether it is to be listed.
func listPage[T any](
	all map[string]T, after string, limit int, item func(string, T) (node.ListItem, bool),
) []node.ListItem {
	var names []string
	for name := range all {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var items []node.ListItem
	for _, name := range names {
		if next, listed := item(name, all[name]); listed && len(items) < limit {
			items = append(items, next)
		}
	}
	return items
}
