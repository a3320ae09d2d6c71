package content

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
)

// TestDeltaCacheIsBounded checks that the cache stays within its bounds and keeps a content that is used steadily.
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
		t.Errorf("%d contents of %d bytes are cached, over the bounds", len(cache.contents.entries), cache.contents.size)
	}
	if len(cache.encoded.entries) > maxEncoded || cache.encoded.size > maxEncodedBytes {
		t.Errorf("%d encoded contents of %d bytes are cached, over the bounds",
			len(cache.encoded.entries), cache.encoded.size)
	}
	if _, cached := cache.Content("used"); !cached {
		t.Error("the most recently used content was evicted")
	}
	if key := cache.KeyFor("y", "used", sha256.Sum256([]byte("x"))); key.Base != "used" {
		t.Errorf("offering a cached base gives key %+v, want a delta from that base", key)
	}
	if key := cache.KeyFor("y", "used", sha256.Sum256([]byte("z"))); key.Base != "" {
		t.Errorf("offering a base with another SHA-256 gives key %+v, want the full content", key)
	}
}
