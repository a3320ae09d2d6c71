package content

import "testing"

// TestAddCachesOnlyTheDigestThatIsNamed checks that Add refuses a content that does not have the given digest.
func TestAddCachesOnlyTheDigestThatIsNamed(t *testing.T) {
	cache := NewCache(nil, 0)
	if cache.Add(digests[0], contents[1]) || cache.Content(digests[0]) != nil {
		t.Error("Add cached a content under the digest of another one, want it refused")
	}
	if !cache.Add(digests[0], contents[0]) || cache.Content(digests[0]) == nil {
		t.Error("Add did not cache a content under its own digest")
	}
}

// TestCachedContentNeedsNoRequest checks that the fetch of a cached content is done immediately.
func TestCachedContentNeedsNoRequest(t *testing.T) {
	cache := NewCache(contents[0], 0)
	if state := cache.Fetch(digests[0], 1).State(); state != StateDone {
		t.Errorf("fetch of a cached content is %v, want done", state)
	}
	if state := cache.Fetch(digests[1], 1).State(); state != StateInProgress || state.String() != "in progress" {
		t.Errorf("fetch of a content that is not cached is %v, want in progress", state)
	}
}
