package replica

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"go.etcd.io/bbolt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// The history is on disk alone, in two buckets.
//
// bucketMetadata has who made which version of what, when and why: pages of 64 versions by number, each the zstd
// frame of their JSON without contents.
//
// bucketContents has contents in the order in which they came, each a delta from the one before. The first of each
// segment is complete, so that a segment is read and deleted without the others. What is too old is deleted in the
// transaction that adds something.
const (
	versionsPerPage    = 64
	maxPages           = 64 // and the one that is being filled: the newest 4,096 versions
	contentsPerSegment = 32
	maxSegments        = 8 // and the one that is being filled: the newest 256 contents

	maxPageBytes = versionsPerPage * 8192 // of a page's JSON
)

// history is what a replica has of versions that the state machine has forgotten.
type history struct {
	pending []forgottenVersion    // not on disk yet; each gets there with the next write, or again by the log
	last    configversion.Version // number and content of the last record of bucketContents; no content: unknown

	onCorrupt func(part string, err error) // called once for each part that cannot be read
	reported  map[string]bool              // parts that onCorrupt was called with
}

// forgottenVersion is a version that the state machine has forgotten.
type forgottenVersion struct {
	version *configversion.Version
	delta   []byte // its content as a delta from that of the version before; nil: not encoded yet
}

// add notes a version that the state machine forgets.
func (h *history) add(version *configversion.Version, delta []byte) {
	h.pending = append(h.pending, forgottenVersion{version, delta})
}

// reportCorrupt reports a part that cannot be read, once.
func (h *history) reportCorrupt(part string, err error) {
	if h.reported[part] {
		return
	}
	h.reported[part] = true
	h.onCorrupt(part, err)
}

// flush writes what is pending. The caller empties pending once the transaction is committed.
func (h *history) flush(tx *bbolt.Tx) error {
	if len(h.pending) == 0 {
		return nil
	}
	metadata, contents := tx.Bucket(bucketMetadata), tx.Bucket(bucketContents)
	if h.last.Content == nil {
		h.last = h.lastContent(contents)
	}
	pages := map[uint64][]*configversion.Version{}
	newest := uint64(0)
	for i, forgotten := range h.pending {
		newest = max(newest, forgotten.version.Number)
		if !h.addToPage(pages, metadata, forgotten.version) {
			continue // the log repeated it
		}
		if i+contentsPerSegment*(maxSegments+1) < len(h.pending) {
			continue // its content would be deleted at once
		}
		if err := h.putContent(contents, forgotten); err != nil {
			return err
		}
	}
	for page, versions := range pages {
		if err := putPage(metadata, page, versions); err != nil {
			return err
		}
	}
	if err := deleteBefore(metadata, newest/versionsPerPage, maxPages); err != nil {
		return err
	}
	sequence := contents.Sequence()
	return deleteBefore(contents, sequence, contentsPerSegment*maxSegments+sequence%contentsPerSegment)
}

// addToPage adds a version's metadata to its page, which is read if it was not yet; false where it is there already.
func (h *history) addToPage(
	pages map[uint64][]*configversion.Version, metadata *bbolt.Bucket, version *configversion.Version,
) bool {
	page := version.Number / versionsPerPage
	if _, read := pages[page]; !read {
		pages[page] = h.readPage(metadata, page)
	}
	place, known := slices.BinarySearchFunc(pages[page], version.Number, compareNumber)
	if known {
		return false
	}
	pages[page] = slices.Insert(pages[page], place, withoutContent(version))
	return true
}

func putPage(metadata *bbolt.Bucket, page uint64, versions []*configversion.Version) error {
	encoded, err := json.Marshal(versions)
	if err != nil {
		return err
	}
	compressed, err := delta.Encode(nil, encoded)
	if err != nil {
		return err
	}
	return metadata.Put(encodeKey(page), compressed)
}

// putContent appends a content. A record is its head, a varint of the version's number and a bit that is set where the
// content is complete, and the content.
func (h *history) putContent(contents *bbolt.Bucket, forgotten forgottenVersion) error {
	sequence, err := contents.NextSequence() // from 1
	if err != nil {
		return err
	}
	version := forgotten.version
	encoded := forgotten.delta
	complete := h.last.Content == nil || sequence%contentsPerSegment == 0
	if complete || encoded == nil || h.last.Number+1 != version.Number {
		base := h.last.Content
		if complete {
			base = nil
		}
		if encoded, err = delta.Encode(base, version.Content); err != nil {
			return err
		}
	}
	h.last = configversion.Version{Number: version.Number, Content: version.Content}
	head := version.Number << 1
	if complete {
		head |= 1
	}
	record := append(binary.AppendUvarint(nil, head), encoded...)
	return contents.Put(encodeKey(sequence), record)
}

// deleteBefore deletes the records whose key is more than distance before newest.
func deleteBefore(bucket *bbolt.Bucket, newest, distance uint64) error {
	cursor := bucket.Cursor()
	for key, _ := cursor.First(); key != nil && decodeKey(key)+distance < newest; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func compareNumber(version *configversion.Version, number uint64) int {
	return int(int64(version.Number) - int64(number))
}

// withoutContent is a copy of a version without its content.
func withoutContent(version *configversion.Version) *configversion.Version {
	return &configversion.Version{
		Number:    version.Number,
		Parent:    version.Parent,
		Digest:    version.Digest,
		Author:    version.Author,
		Reason:    version.Reason,
		CreatedAt: version.CreatedAt,
	}
}
