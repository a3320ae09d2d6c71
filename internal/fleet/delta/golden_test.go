package delta

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Logs and snapshots keep what earlier builds have encoded. What is encoded now may be compressed otherwise,
// but for the first bytes of a delta: its magic number and the digest of its base.
func TestGoldenDeltasAreDecoded(t *testing.T) {
	base, content := nodeList(50, -1), nodeList(50, 25)
	for name, base := range map[string][]byte{"delta.dcz": base, "complete.zst": nil} {
		file, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := Decode(base, file, maxTestBytes); err != nil || !bytes.Equal(decoded, content) {
			t.Errorf("%s: %d bytes of %d: %v", name, len(decoded), len(content), err)
		}
		encoded := mustEncode(t, base, content)
		if fixed := headerBytes; base != nil && !bytes.Equal(encoded[:fixed], file[:fixed]) {
			t.Errorf("%s: % x is written, the file has % x", name, encoded[:fixed], file[:fixed])
		}
	}
}
