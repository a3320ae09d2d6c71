package front

import (
	"slices"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/layout"
)

// objectsPerPage is the number of objects that a shard returns per list call.
const objectsPerPage = 256

// Sweep deletes the objects of a shard that no record refers to and that were not written for the duration idle.
// Gateways that crash between the write of an extent and its commit leave such objects. It returns the numbers of
// objects that it has seen and removed, even if it fails.
func (f *Front) Sweep(shard int, idle time.Duration) (seen, removed int, err error) {
	f.inFlight.begin()
	defer f.inFlight.end()
	volume := f.firstVolume()
	lastName := ""
	for {
		task := f.backgroundTask()
		objects, err := task.listObjects(volume, shard, lastName)
		if err != nil || len(objects) == 0 {
			return seen, removed, err
		}
		for _, object := range objects {
			lastName = object.Name
			seen++
			deleted, err := task.deleteIfOrphan(shard, object, idle)
			if err != nil {
				return seen, removed, err
			}
			if deleted {
				removed++
			}
		}
	}
}

// firstVolume returns the volume to which object listings are charged. It is the first by name, so the same on all
// gateways.
func (f *Front) firstVolume() *Volume {
	var first *Volume
	for _, volume := range f.options.Volumes {
		if first == nil || volume.Name < first.Name {
			first = volume
		}
	}
	return first
}

// listObjects returns the next page of a shard's objects, starting after a name.
func (t *task) listObjects(volume *Volume, shard int, after string) ([]node.ListItem, error) {
	class := volume.ClassOf(Lookup, layout.Path{Volume: volume.Name}, 0)
	reply, err := t.execute(volume, class, t.front.options.Units.Of(0), 0, node.Call{
		Op:     node.ListObjects,
		Shard:  shard,
		Owner:  after,
		Length: objectsPerPage,
	})
	if err != nil {
		return nil, err
	}
	return node.DecodeItems(reply.Data)
}

// deleteIfOrphan deletes an object if its volume is known, it has been idle long enough and no record refers to it.
func (t *task) deleteIfOrphan(shard int, object node.ListItem, idle time.Duration) (deleted bool, err error) {
	path, parseErr := layout.Parse(object.Owner)
	volume := t.front.options.Volumes[path.Volume]
	if parseErr != nil || volume == nil || time.Duration(object.Age)*time.Second < idle {
		return false, nil
	}
	extent := layout.Extent{Shard: shard, Object: object.Name}
	orphan, failure := t.isOrphan(volume, path, extent)
	if failure != nil {
		return false, failure
	}
	if !orphan {
		return false, nil
	}
	if failure := t.deleteObject(volume, path, extent); failure != nil {
		return false, failure
	}
	return true, nil
}

// isOrphan reports whether no record refers to an object. It checks the record of the object's owner first, and then
// all records of the volume: the objects of a renamed file still name their original owner.
func (t *task) isOrphan(volume *Volume, owner layout.Path, extent layout.Extent) (bool, *failure) {
	record, err := t.readRecord(volume, owner)
	if err != nil {
		return false, err
	}
	if refersTo(record, extent) {
		return false, nil
	}
	directories := []layout.Path{{Volume: volume.Name}}
	for len(directories) > 0 {
		directory := directories[0]
		directories = directories[1:]
		entries, err := t.listDirectory(volume, directory, t.front.options.Limits.Entries)
		if err != nil {
			return false, err
		}
		for _, entry := range entries {
			if entry.record.Kind == layout.Directory {
				child, _ := layout.Parse(directory.String() + "/" + entry.name)
				directories = append(directories, child)
			} else if refersTo(entry.record, extent) {
				return false, nil
			}
		}
	}
	return true, nil
}

// refersTo reports whether a record has an extent. An object with the same name on another shard is not part of the
// file: an abandoned attempt has left it.
func refersTo(record *layout.Record, extent layout.Extent) bool {
	return slices.Contains(record.Extents, extent)
}
