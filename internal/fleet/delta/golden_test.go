package delta

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestGoldenDeltasAreDecoded checks that data of earlier builds, which logs and snapshots keep, can be decoded. New
// data may be compressed differently, but a delta must have the same header: the magic number and the SHA-256 of its
// base.
func TestGoldenDeltasAreDecoded(t *testing.T) {
	base, content := nodeList(50, -1), nodeList(50, 25)
	for name, base := range map[string][]byte{"delta.dcz": base, "complete.zst": nil} {
		file, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := Decode(base, file, maxTestBytes); err != nil || !bytes.Equal(decoded, content) {
			t.Errorf("%s: decoded %d bytes, want the %d bytes that were encoded; error %v",
				name, len(decoded), len(content), err)
		}
		encoded := mustEncode(t, base, content)
		if fixed := headerBytes; base != nil && !bytes.Equal(encoded[:fixed], file[:fixed]) {
			t.Errorf("%s: encoded header % x, want % x as in the file", name, encoded[:fixed], file[:fixed])
		}
	}
}
