package delta

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write missing golden files")

// Deltas and whole contents that an earlier build has written are read for as long as logs and snapshots have them. What is written now
// may be compressed otherwise, but for the first bytes of a delta: its magic number and the SHA-256 of its base.
func TestGoldenDeltas(t *testing.T) {
	base, content := text(50, -1), text(50, 25)
	for name, base := range map[string][]byte{"delta.dcz": base, "whole.zst": nil} {
		coded, err := Encode(base, content)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("testdata", name)
		if _, err := os.Stat(path); *update && os.IsNotExist(err) {
			if err := os.WriteFile(path, coded, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		file, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(base, file, most); err != nil || !bytes.Equal(got, content) {
			t.Errorf("%s: %d bytes of %d: %v", name, len(got), len(content), err)
		}
		if fixed := 40; base != nil && !bytes.Equal(coded[:fixed], file[:fixed]) {
			t.Errorf("%s: % x is written, the file has % x", name, coded[:fixed], file[:fixed])
		}
	}
}
