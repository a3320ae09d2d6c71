package content

import "testing"

// TestAddCachesOnlyTheDigestThatIsNamed: a content with another digest is not cached.
func TestAddCachesOnlyTheDigestThatIsNamed(t *testing.T) {
	cache := NewCache(nil, 0)
	if cache.Add(digests[0], contents[1]) || cache.Content(digests[0]) != nil {
		t.Error("a content is cached under another's digest")
	}
	if !cache.Add(digests[0], contents[0]) || cache.Content(digests[0]) == nil {
		t.Error("a content is not cached under its digest")
	}
}

// TestCachedContentNeedsNoRequest: its fetch is done at once.
func TestCachedContentNeedsNoRequest(t *testing.T) {
	cache := NewCache(contents[0], 0)
	if state := cache.Fetch(digests[0], 1).State(); state != StateDone {
		t.Errorf("the fetch is %v", state)
	}
	if state := cache.Fetch(digests[1], 1).State(); state != StateInProgress || state.String() != "in progress" {
		t.Errorf("the fetch is %v", state)
	}
}
