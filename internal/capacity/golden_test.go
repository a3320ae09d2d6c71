package capacity

import (
	"bytes"
	"os"
	"testing"

	"irispost/internal/testkit/golden"
)

// The JSON form of a record must not change, and docs/capacity.json must be written back byte for byte after reading.
func TestGoldenJSON(t *testing.T) {
	t.Run("record", func(t *testing.T) { golden.CheckJSON(t, "record.json", &Record{}) })
	t.Run("file", func(t *testing.T) {
		const path = "../../docs/capacity.json"
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		all, err := Read(path)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := all.Bytes(); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s has %d bytes and is written back differently, with %d bytes, error %v", path, len(want), len(got), err)
		}
	})
}
