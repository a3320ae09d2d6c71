package standin

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
)

// A file consists of a header, the name, the owner and the data. The header is big-endian: kind (1 byte), version (8),
// time of writing in Unix nanoseconds (8), length of the name (2) and length of the owner (2).
const (
	fileSuffix      = ".irispost"
	objectFile byte = 'o'
	recordFile byte = 'r'

	versionOffset     = 1
	writtenAtOffset   = 9
	nameLengthOffset  = 17
	ownerLengthOffset = 19
	headerSize        = 21

	maxNameInFileName = 40 // length of the suffix of the name that is part of the file name, in bytes
)

// fileContent is the content of a file without its kind and name.
type fileContent struct {
	version   uint64
	writtenAt time.Time
	owner     string
	data      []byte
}

// loadFile adds the object or record of a file to the store. Files that the store did not write are ignored.
func (s *Store) loadFile(fileName string, content []byte) {
	if len(content) < headerSize || !strings.HasSuffix(fileName, fileSuffix) {
		return
	}
	version := binary.BigEndian.Uint64(content[versionOffset:])
	writtenAt := int64(binary.BigEndian.Uint64(content[writtenAtOffset:]))
	nameEnd := headerSize + int(binary.BigEndian.Uint16(content[nameLengthOffset:]))
	ownerEnd := nameEnd + int(binary.BigEndian.Uint16(content[ownerLengthOffset:]))
	if len(content) < ownerEnd {
		return
	}
	name := string(content[headerSize:nameEnd])
	owner := string(content[nameEnd:ownerEnd])
	data := content[ownerEnd:]
	if content[0] == recordFile {
		s.records[name] = &record{version: version, data: data}
		s.version = max(s.version, version)
	} else {
		s.objects[name] = &object{owner, time.Unix(0, writtenAt), data}
	}
}

// filePath returns the path of the file of an object or record. The file name has a readable suffix of the name and a
// hash of the full name.
func (s *Store) filePath(kind byte, name string) string {
	readable := strings.Map(sanitizeRune, name[max(0, len(name)-maxNameInFileName):])
	return filepath.Join(s.dir, fmt.Sprintf("%c%s-%016x%s", kind, readable, xxhash.Sum64String(name), fileSuffix))
}

// writeFile atomically replaces the file of an object or record.
func (s *Store) writeFile(kind byte, name string, content fileContent) error {
	if s.dir == "" {
		return nil
	}
	file := make([]byte, headerSize, headerSize+len(name)+len(content.owner)+len(content.data))
	file[0] = kind
	binary.BigEndian.PutUint64(file[versionOffset:], content.version)
	binary.BigEndian.PutUint64(file[writtenAtOffset:], uint64(content.writtenAt.UnixNano()))
	binary.BigEndian.PutUint16(file[nameLengthOffset:], uint16(len(name)))
	binary.BigEndian.PutUint16(file[ownerLengthOffset:], uint16(len(content.owner)))
	file = append(file, name...)
	file = append(file, content.owner...)
	file = append(file, content.data...)
	return renameio.WriteFile(s.filePath(kind, name), file, 0o644)
}

func (s *Store) removeFile(kind byte, name string) error {
	if s.dir == "" {
		return nil
	}
	return os.Remove(s.filePath(kind, name))
}

// sanitizeRune replaces all but ASCII letters, digits and hyphens by underscores, for use in a file name.
func sanitizeRune(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-':
		return r
	}
	return '_'
}
