package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
)

// Records are slopes by name.
type Records map[string]*Record

// ErrBadFile is wrapped by the errors of a file whose list of records is not valid.
var ErrBadFile = errors.New("not a list of records")

// Read reads a file of records. A file that does not exist has none. A file that cannot be parsed, or with a record
// that is not valid or comes twice, is an error.
func Read(path string) (Records, error) {
	encoded, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Records{}, nil
	}
	if err != nil {
		return nil, err
	}
	return Parse(path, encoded)
}

// Parse reads records from a file's bytes; the path is for errors.
func Parse(path string, encoded []byte) (Records, error) {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	var list []*Record
	if err := decoder.Decode(&list); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	records := Records{}
	for i, record := range list {
		if record == nil {
			return nil, fmt.Errorf("%s: record %d is empty: %w", path, i+1, ErrBadFile)
		}
		if err := record.Check(); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if records[record.Name] != nil {
			return nil, fmt.Errorf("%s: %s comes twice: %w", path, record.Name, ErrBadFile)
		}
		records[record.Name] = record
	}
	return records, nil
}

// Bytes returns the records as the file has them, sorted by name. A record that is not valid is an error.
func (r Records) Bytes() ([]byte, error) {
	list := make([]*Record, 0, len(r))
	for _, record := range r {
		list = append(list, record)
	}
	slices.SortFunc(list, func(a, b *Record) int { return strings.Compare(a.Name, b.Name) })
	for _, record := range list {
		if err := record.Check(); err != nil {
			return nil, err
		}
	}
	encoded, err := json.MarshalIndent(list, "", "  ")
	return append(encoded, '\n'), err
}

// Merge fits records and puts them into a file, in place of those of the same names. The file is replaced as a whole,
// or not changed if any record is not valid.
func Merge(path string, records ...*Record) error {
	all, err := Read(path)
	if err != nil {
		return err
	}
	for _, record := range records {
		if err := record.Fit(); err != nil {
			return err
		}
		all[record.Name] = record
	}
	encoded, err := all.Bytes()
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, encoded, 0o644)
}
