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

// Records maps names to records.
type Records map[string]*Record

// ErrBadFile is wrapped by the errors of a file whose list has an empty or a duplicate record.
var ErrBadFile = errors.New("invalid list of records")

// Read reads a file of records. It returns none if the file does not exist. It fails if the file cannot be parsed, or
// if a record is invalid or appears twice.
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

// Parse parses the content of a file of records. The path is only used in errors.
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
			return nil, fmt.Errorf("%s: record %s appears twice: %w", path, record.Name, ErrBadFile)
		}
		records[record.Name] = record
	}
	return records, nil
}

// Bytes returns the content of a file of records, sorted by name. It fails if a record is invalid.
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

// Merge fits records and writes them to a file, where they replace those of the same names. The file is replaced as a
// whole. If any record is invalid, it is left unchanged.
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
