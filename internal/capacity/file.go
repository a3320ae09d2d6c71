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

// Read reads records. A file that is not there has none; one that cannot be read, with a record that does not hold or comes twice, is refused.
func Read(path string) (Records, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Records{}, nil
	}
	if err != nil {
		return nil, err
	}
	return Parse(path, b)
}

// Parse reads records from a file's bytes.
func Parse(path string, b []byte) (Records, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var list []*Record
	if err := d.Decode(&list); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	all := Records{}
	for i, r := range list {
		if r == nil {
			return nil, fmt.Errorf("%s: record %d is empty", path, i+1)
		}
		if err := r.Check(); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if all[r.Name] != nil {
			return nil, fmt.Errorf("%s: %s comes twice", path, r.Name)
		}
		all[r.Name] = r
	}
	return all, nil
}

// Bytes are the records as the file has them, sorted by name.
func (all Records) Bytes() ([]byte, error) {
	list := make([]*Record, 0, len(all))
	for _, r := range all {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *Record) int { return strings.Compare(a.Name, b.Name) })
	for _, r := range list {
		if err := r.Check(); err != nil {
			return nil, err
		}
	}
	b, err := json.MarshalIndent(list, "", "  ")
	return append(b, '\n'), err
}

// Merge fits one measurement's records and takes them into the file, in place of those of the same names. The file is written whole, or left as it
// was where any record is refused.
func Merge(path string, records ...*Record) error {
	all, err := Read(path)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := r.Fit(); err != nil {
			return err
		}
		all[r.Name] = r
	}
	b, err := all.Bytes()
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, b, 0o644)
}
