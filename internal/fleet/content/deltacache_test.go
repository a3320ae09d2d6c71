package content

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
)

// TestDeltaCacheIsBounded: it stays within its bounds, and has what was requested last.
func TestDeltaCacheIsBounded(t *testing.T) {
	cache := NewDeltaCache()
	for n := range 1000 {
		b := bytes.Repeat([]byte{byte(n)}, 1<<20+n)
		digest := fmt.Sprint(n)
		cache.AddContent(digest, b)
		cache.AddEncoded(DeltaKey{digest, "x"}, b)
		cache.AddContent("used", []byte("x"))
	}
	if len(cache.contents.entries) > maxContents || cache.contents.size > maxContentBytes {
		t.Errorf("%d contents of %d bytes", len(cache.contents.entries), cache.contents.size)
	}
	if len(cache.encoded.entries) > maxEncoded || cache.encoded.size > maxEncodedBytes {
		t.Errorf("%d encoded contents of %d bytes", len(cache.encoded.entries), cache.encoded.size)
	}
	if _, cached := cache.Content("used"); !cached {
		t.Error("what was used last is gone")
	}
	if key := cache.KeyFor("y", "used", sha256.Sum256([]byte("x"))); key.Base != "used" {
		t.Errorf("%+v", key)
	}
	if key := cache.KeyFor("y", "used", sha256.Sum256([]byte("z"))); key.Base != "" {
		t.Errorf("another content under that name: %+v", key)
	}
}
