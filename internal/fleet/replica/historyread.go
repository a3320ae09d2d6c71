package replica

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/bbolt"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/delta"
)

// errNoVersionNumber reports a record of bucketContents without a valid header.
var errNoVersionNumber = errors.New("it has no version number")

// readPage returns the versions of a page; nil if the page does not exist or cannot be read.
func (h *history) readPage(metadata *bbolt.Bucket, page uint64) []*configversion.Version {
	compressed := metadata.Get(encodeKey(page))
	if compressed == nil {
		return nil
	}
	var versions []*configversion.Version
	encoded, err := delta.Decode(nil, compressed, maxPageBytes)
	if err == nil {
		err = json.Unmarshal(encoded, &versions)
	}
	if err != nil || slices.Contains(versions, nil) {
		first := page * versionsPerPage
		h.reportCorrupt(fmt.Sprintf("metadata of versions %d to %d", first, first+versionsPerPage-1), err)
		return nil
	}
	return versions
}

// readContents calls visit for each content of the wanted segments, in the order in which they were added. Contents
// that cannot be read are reported and skipped, and so are those that are deltas from them, directly or indirectly.
func (h *history) readContents(
	contents *bbolt.Bucket,
	wanted func(segment uint64) bool,
	visit func(number uint64, content []byte),
) {
	var last []byte
	cursor := contents.Cursor()
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		position := decodeKey(key)
		if !wanted(position / contentsPerSegment) {
			continue
		}
		header, size := binary.Uvarint(record)
		if size <= 0 {
			h.reportCorrupt(fmt.Sprintf("content at position %d", position), errNoVersionNumber)
			last = nil
			continue
		}
		number, complete := header>>1, header&1 == 1
		base := last
		if complete {
			base = nil
		} else if base == nil {
			continue // its base cannot be read, which has been reported
		}
		content, err := delta.Decode(base, record[size:], configversion.MaxContentBytes)
		if err != nil {
			h.reportCorrupt(fmt.Sprintf("content of version %d at position %d", number, position), err)
		} else {
			visit(number, content)
		}
		last = content
	}
}

// lastContent returns the number and the content of the last record; no content if there is none or it cannot be read.
func (h *history) lastContent(contents *bbolt.Bucket) configversion.Version {
	var last configversion.Version
	key, record := contents.Cursor().Last()
	if key == nil {
		return last
	}
	header, _ := binary.Uvarint(record)
	segment := decodeKey(key) / contentsPerSegment
	h.readContents(contents, func(n uint64) bool { return n == segment }, func(number uint64, content []byte) {
		if number == header>>1 {
			last = configversion.Version{Number: number, Content: content}
		}
	})
	return last
}

// versions returns the versions from one number to another, both included. Versions whose content is no longer kept
// are returned without it.
func (h *history) versions(tx *bbolt.Tx, from, to uint64) []*configversion.Version {
	list := h.readMetadata(tx.Bucket(bucketMetadata), from, to)
	if len(list) == 0 {
		return nil
	}
	contents := tx.Bucket(bucketContents)
	wanted := segmentsOf(contents, from, to)
	h.readContents(contents, func(segment uint64) bool { return wanted[segment] }, func(number uint64, content []byte) {
		position, listed := slices.BinarySearchFunc(list, number, compareNumber)
		if !listed {
			return
		}
		version := list[position]
		if digest := configversion.DigestOf(content); digest != version.Digest {
			h.reportCorrupt(fmt.Sprintf("content of version %d", number),
				fmt.Errorf("its digest is %.12s instead of %.12s", digest, version.Digest))
			return
		}
		version.Content = content
	})
	return list
}

// readMetadata returns the versions from one number to another, both included, without their contents.
func (h *history) readMetadata(metadata *bbolt.Bucket, from, to uint64) []*configversion.Version {
	var list []*configversion.Version
	cursor := metadata.Cursor()
	key, _ := cursor.Seek(encodeKey(from / versionsPerPage))
	for ; key != nil && decodeKey(key) <= to/versionsPerPage; key, _ = cursor.Next() {
		for _, version := range h.readPage(metadata, decodeKey(key)) {
			if version.Number >= from && version.Number <= to {
				list = append(list, version)
			}
		}
	}
	return list
}

// segmentsOf returns the segments that have contents of versions from one number to another.
func segmentsOf(contents *bbolt.Bucket, from, to uint64) map[uint64]bool {
	segments := map[uint64]bool{}
	cursor := contents.Cursor()
	for key, record := cursor.First(); key != nil; key, record = cursor.Next() {
		header, _ := binary.Uvarint(record)
		if number := header >> 1; number >= from && number <= to {
			segments[decodeKey(key)/contentsPerSegment] = true
		}
	}
	return segments
}
