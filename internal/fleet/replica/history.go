package replica

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"go.etcd.io/bbolt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// The history is kept on disk only, in two buckets.
//
// bucketMetadata has the versions without their contents: number, parent, digest, author, reason and time. Each page
// holds 64 consecutive numbers and is a zstd frame of JSON.
//
// bucketContents has the contents in the order in which they were added, each as a delta from the one before. The
// first of each segment is complete, so that a segment can be read and deleted without the others. Records that are
// too old are deleted in the transaction that adds new ones.
const (
	versionsPerPage    = 64
	maxPages           = 64 // besides the one that is being filled: at least the newest 4,096 versions
	contentsPerSegment = 32
	maxSegments        = 8 // besides the one that is being filled: at least the newest 256 contents

	maxPageBytes = versionsPerPage * 8192 // of a page's JSON, uncompressed
)

// history keeps the versions that the state machine has forgotten.
type history struct {
	pending []forgottenVersion    // not on disk yet; after a restart they are added again as the log is replayed
	last    configversion.Version // number and content of the last record of bucketContents; nil content: unknown

	onCorrupt func(part string, err error) // called once for each part that cannot be read
	reported  map[string]bool              // parts that onCorrupt was called for
}

// forgottenVersion is a version that the state machine has forgotten.
type forgottenVersion struct {
	version *configversion.Version
	delta   []byte // content as a delta from that of the version before; nil: not encoded yet
}

// add queues a version that the state machine forgets, to be written by the next flush.
func (h *history) add(version *configversion.Version, delta []byte) {
	h.pending = append(h.pending, forgottenVersion{version, delta})
}

// reportCorrupt reports a part that cannot be read, once for each part.
func (h *history) reportCorrupt(part string, err error) {
	if h.reported[part] {
		return
	}
	h.reported[part] = true
	h.onCorrupt(part, err)
}

// flush writes the pending versions. The caller clears pending once the transaction is committed.
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
			continue // already stored before the log was replayed
		}
		if i+contentsPerSegment*(maxSegments+1) < len(h.pending) {
			continue // its content would be deleted below
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

// addToPage adds a version's metadata to its page, which it reads into pages first if necessary. It returns false if
// the version is there already.
func (h *history) addToPage(
	pages map[uint64][]*configversion.Version, metadata *bbolt.Bucket, version *configversion.Version,
) bool {
	page := version.Number / versionsPerPage
	if _, read := pages[page]; !read {
		pages[page] = h.readPage(metadata, page)
	}
	position, found := slices.BinarySearchFunc(pages[page], version.Number, compareNumber)
	if found {
		return false
	}
	pages[page] = slices.Insert(pages[page], position, withoutContent(version))
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

// putContent appends a record to bucketContents: a header and the encoded content. The header is a varint: the
// version's number shifted left by one, with the lowest bit set if the content is complete.
func (h *history) putContent(contents *bbolt.Bucket, forgotten forgottenVersion) error {
	sequence, err := contents.NextSequence() // starts at 1
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
	header := version.Number << 1
	if complete {
		header |= 1
	}
	record := append(binary.AppendUvarint(nil, header), encoded...)
	return contents.Put(encodeKey(sequence), record)
}

// deleteBefore deletes the records whose key is smaller than newest by more than distance.
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

// withoutContent returns a copy of a version without its content.
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
