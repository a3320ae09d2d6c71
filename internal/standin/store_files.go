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

// A file of a store's folder has a header and the data. The header, big-endian: kind (1 byte), version (8), time of
// writing in nanoseconds (8), lengths of name and owner (2 each); then name, owner and data.
const (
	fileSuffix      = ".irispost"
	objectFile byte = 'o'
	recordFile byte = 'r'

	versionOffset     = 1
	writtenAtOffset   = 9
	nameLengthOffset  = 17
	ownerLengthOffset = 19
	headerSize        = 21

	maxNameInFileName = 40 // last characters of the name that the file's name shows
)

// fileContent is what a file holds beside its kind and name.
type fileContent struct {
	version   uint64
	writtenAt time.Time
	owner     string
	data      []byte
}

// loadFile takes in a file of the folder. Files that are none of the store's are ignored.
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

// filePath is the path of an object's or record's file: a readable part of its name, and a hash of it.
func (s *Store) filePath(kind byte, name string) string {
	shown := strings.Map(plainCharacter, name[max(0, len(name)-maxNameInFileName):])
	return filepath.Join(s.dir, fmt.Sprintf("%c%s-%016x%s", kind, shown, xxhash.Sum64String(name), fileSuffix))
}

// writeFile replaces a file of the folder atomically.
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

// plainCharacter replaces characters that do not belong into a file's name.
func plainCharacter(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-':
		return r
	}
	return '_'
}
