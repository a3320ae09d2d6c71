package configversion

import (
	"bytes"
	"errors"
	"slices"
	"testing"
)

// The digest covers the bytes of the content, so the same configuration in another encoding is rejected too.
func TestConfigRefusesContentOfAnotherDigest(t *testing.T) {
	content := contentOfNodes(3)
	version := &Version{Number: 1, Digest: DigestOf(content), Content: content}
	if _, err := version.Config(); err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{
		"corrupt":               bytes.Replace(content, []byte("7000"), []byte("7001"), 1),
		"not in canonical form": slices.Concat([]byte(" "), content),
		"header alone":          version.Header().Content,
	} {
		t.Run(name, func(t *testing.T) {
			other := &Version{Digest: version.Digest, Content: content}
			if _, err := other.Config(); !errors.Is(err, ErrDigestMismatch) {
				t.Errorf("got error %v, want ErrDigestMismatch", err)
			}
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	content := contentOfNodes(1800)
	digest := DigestOf(content)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := (&Version{Digest: digest, Content: content}).Config(); err != nil {
			b.Fatal(err)
		}
	}
}
