package front

import (
	"cmp"
	"slices"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/layout"
	"irispost/internal/sftp"
)

const (
	namesPerReply  = 128 // entries in a response to READDIR
	recordsPerPage = 512 // records that a shard returns per list call
)

// dirEntry is one entry of a directory.
type dirEntry struct {
	name   string
	record *layout.Record
}

func compareNames(a, b dirEntry) int { return cmp.Compare(a.name, b.name) }

func (s *session) opendir(req *request, volume *Volume, path layout.Path) (*sftp.Packet, *failure) {
	if path.Rel != "" {
		record, err := req.fetchRecord(volume, path)
		if err == nil {
			err = requireDirectory(path, record)
		}
		if err != nil {
			return nil, err
		}
	}
	return s.addHandle(req, &openHandle{path: path})
}

// requireDirectory fails if the record of a path is not that of a directory.
func requireDirectory(path layout.Path, record *layout.Record) *failure {
	switch record.Kind {
	case layout.Directory:
		return nil
	case layout.Absent:
		return failuref(sftp.NoSuchFile, "there is no %s", path)
	default:
		return failuref(sftp.Failure, "%s is no folder", path)
	}
}

// readdir responds with the next entries of a directory. The first READDIR of a handle lists the whole directory.
func (s *session) readdir(req *request, handle *openHandle) (*sftp.Packet, *failure) {
	if !handle.listed {
		entries, err := s.listAll(req, handle.path)
		if err != nil {
			return nil, err
		}
		handle.entries, handle.listed = entries, true
	}
	if len(handle.entries) == 0 {
		return nil, failuref(sftp.EOF, "end of folder")
	}
	var names []sftp.Entry
	for _, entry := range handle.entries[:min(namesPerReply, len(handle.entries))] {
		names = append(names, sftp.Entry{Name: entry.name, Attrs: attrsOf(entry.record)})
	}
	handle.entries = handle.entries[len(names):]
	return sftp.NewNames(req.requestID, names), nil
}

// listAll lists a directory or, for the root path, the volumes. It fails if a directory has more entries than the
// limit.
func (s *session) listAll(req *request, path layout.Path) ([]dirEntry, *failure) {
	if path.Volume == "" {
		return s.front.listVolumes(), nil
	}
	limit := s.front.options.Limits.Entries
	entries, err := req.listDirectory(s.front.options.Volumes[path.Volume], path, limit+1)
	if err != nil {
		return nil, err
	}
	if len(entries) > limit {
		return nil, failuref(sftp.Failure, "the folder has over %d entries, which is the limit of a listing", limit)
	}
	return entries, nil
}

func (f *Front) listVolumes() []dirEntry {
	var entries []dirEntry
	for name := range f.options.Volumes {
		record := &layout.Record{Kind: layout.Directory, Mode: defaultDirectoryMode}
		entries = append(entries, dirEntry{name: name, record: record})
	}
	slices.SortFunc(entries, compareNames)
	return entries
}

// mkdir creates a directory.
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

// rmdir removes an empty directory. It marks the directory as Removing, so that no more entries are created in it,
// then lists it, and removes it if it is empty. Otherwise it sets the state back to Live.
func (t *task) rmdir(volume *Volume, path layout.Path) *failure {
	if path.Rel == "" {
		return failuref(sftp.Failure, "%s is a volume", path)
	}
	record, err := t.fetchRecord(volume, path)
	if err != nil {
		return err
	}
	if err := requireDirectory(path, record); err != nil {
		return err
	}
	removing := *record
	removing.State = layout.Removing
	marked, ours, err := t.compareAndSwap(volume, path, record.Version, &removing, t.front.uniqueName())
	if err != nil {
		return err
	}
	if !ours {
		return rejection(0, "the folder is changed by others")
	}
	entries, err := t.listDirectory(volume, path, 1)
	if err == nil && len(entries) == 0 {
		return t.removeMarkedDirectory(volume, path, marked)
	}
	reopened := *marked
	reopened.State = layout.Live
	// If this fails, the directory remains marked as Removing.
	_, _, _ = t.compareAndSwap(volume, path, marked.Version, &reopened, t.front.uniqueName())
	if err == nil {
		err = failuref(sftp.Failure, "%s is not empty", path)
	}
	return err
}

func (t *task) removeMarkedDirectory(volume *Volume, path layout.Path, marked *layout.Record) *failure {
	_, ours, err := t.compareAndSwap(volume, path, marked.Version, nil, t.front.uniqueName())
	if err == nil && !ours {
		return rejection(0, "the folder is changed by others")
	}
	return err
}

// listDirectory lists a directory up to a limit of entries, sorted by name. It queries all shards, as each holds the
// records that hash to it. If one does not answer, the listing fails: a client could not tell an incomplete listing
// from a complete one.
func (t *task) listDirectory(volume *Volume, path layout.Path, limit int) ([]dirEntry, *failure) {
	listing := newListing(t.front.options.Shards)
	for listing.incomplete() {
		if err := t.listNextPages(volume, path, limit, listing); err != nil {
			return nil, err
		}
		if len(listing.entries) >= limit {
			break
		}
	}
	slices.SortFunc(listing.entries, compareNames)
	return listing.entries[:min(len(listing.entries), limit)], nil
}

// listing collects the pages that the shards return for a directory. lastName and more are indexed by shard.
type listing struct {
	entries  []dirEntry
	lastName []string // the last name that the shard has listed; its next page starts after it
	more     []bool   // the shard may have more records
}

func newListing(shards int) *listing {
	l := &listing{lastName: make([]string, shards), more: make([]bool, shards)}
	for shard := range l.more {
		l.more[shard] = true
	}
	return l
}

func (l *listing) incomplete() bool { return slices.Contains(l.more, true) }

// listNextPages requests the next page from all shards that may have more, concurrently, and waits for all replies.
func (t *task) listNextPages(volume *Volume, path layout.Path, limit int, listing *listing) *failure {
	var shards []int
	var results []<-chan gateway.Result
	for shard, more := range listing.more {
		if !more {
			continue
		}
		shards = append(shards, shard)
		results = append(results, t.submit(volume, volume.ClassOf(Lookup, path, 0), t.front.options.Units.Of(0), 0, node.Call{
			Op:     node.ListRecords,
			Name:   path.String(),
			Owner:  listing.lastName[shard],
			Shard:  shard,
			Length: uint32(min(limit, recordsPerPage)),
		}))
	}
	replies := make([]node.Reply, len(results))
	failures := make([]*failure, len(results))
	for i, result := range results {
		replies[i], failures[i] = t.replyOf(<-result, node.ListRecords)
	}
	for i, shard := range shards {
		if failures[i] != nil {
			return failures[i]
		}
		if err := listing.addPage(shard, replies[i].Data); err != nil {
			return err
		}
	}
	return nil
}

// addPage adds a page from a shard. A page with fewer than recordsPerPage records is the shard's last.
func (l *listing) addPage(shard int, page []byte) *failure {
	items, err := node.DecodeItems(page)
	if err != nil {
		return failuref(sftp.Failure, "listing of shard %d: %v", shard, err)
	}
	for _, item := range items {
		record, err := layout.Decode(item.Data, item.Version)
		if err != nil {
			return failuref(sftp.Failure, "%s: %v", item.Name, err)
		}
		path, err := layout.Parse(item.Name)
		if err != nil {
			return failuref(sftp.Failure, "shard %d holds a record named %q", shard, item.Name)
		}
		l.entries = append(l.entries, dirEntry{name: path.Name(), record: record})
		l.lastName[shard] = item.Name
	}
	l.more[shard] = len(items) == recordsPerPage
	return nil
}
