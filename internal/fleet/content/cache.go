// Package content decides how the contents of versions travel between replicas and gateways. A gateway has a
// Cache of contents and gets one by a Fetch; a replica has a DeltaCache of what it sends. The client of a
// gateway and the replica call it.
//
// It is pure: no I/O, clock, lock or chance; callers own its values. A content is named by its BLAKE3 digest,
// never changes, and is used only once the digest was checked. The base of a delta is named by its digest and by
// its SHA-256, as RFC 9842 has it.
package content

import (
	"slices"

	"irispost/internal/fleet/configversion"
)

// Content encodings of a response, as in its Content-Encoding header.
const (
	EncodingDelta = "dcz"  // a delta from the base that was offered
	EncodingZstd  = "zstd" // the full content, compressed
)

// Cache is the contents that a gateway has: those of the versions that the last lease named, and one more as a
// base of deltas.
type Cache struct {
	contents    map[string][]byte // by digest
	retained    []string          // digests that the last lease named, the version in force first
	extraBase   string            // digest of the one more; "": none
	lastFetched string            // digest of the content that was fetched last
	fullOnly    map[string]bool   // digests of which no delta is requested any more, as one did not decode
	faults      InjectedFaults
}

// NewCache makes the cache of a gateway whose disk had a content, or none (nil). That content serves as a base;
// what may be acted on is for leases to say, by digest.
func NewCache(fromDisk []byte, faults InjectedFaults) *Cache {
	c := &Cache{contents: map[string][]byte{}, fullOnly: map[string]bool{}, faults: faults}
	if len(fromDisk) > 0 {
		c.extraBase = configversion.DigestOf(fromDisk)
		c.contents[c.extraBase] = fromDisk
	}
	return c
}

// Retain drops all contents but those with these digests, the one in force first, and one that was retained
// before: of these the first, since that was in force and is what the next versions are made from.
func (c *Cache) Retain(digests ...string) {
	before := c.retained
	c.retained = slices.Clone(digests)
	for _, digest := range before {
		if c.contents[digest] != nil && !c.isRetained(digest) {
			c.extraBase = digest
			break
		}
	}
	for digest := range c.contents {
		if digest != c.extraBase && !c.isRetained(digest) {
			delete(c.contents, digest)
		}
	}
	for digest := range c.fullOnly {
		if !c.isRetained(digest) {
			delete(c.fullOnly, digest)
		}
	}
}

func (c *Cache) isRetained(digest string) bool { return slices.Contains(c.retained, digest) }

// Content is the content with a digest; nil: it is not cached. Callers must not change it.
func (c *Cache) Content(digest string) []byte {
	if c.faults.Has(FaultStaleCacheFile) && c.contents[digest] == nil && c.extraBase != "" {
		return c.contents[c.extraBase]
	}
	return c.contents[digest]
}

// Add caches a content that came in some other way than by a Fetch. It is false, and nothing is cached, if the
// digest is another.
func (c *Cache) Add(digest string, content []byte) bool {
	if configversion.DigestOf(content) != digest {
		return false
	}
	c.contents[digest] = content
	return true
}

// Digests are those of all contents, in ascending order.
func (c *Cache) Digests() (digests []string) {
	for digest := range c.contents {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	return digests
}

// base is the digest of the content that a delta is requested from: that of the version in force, else any
// other; "": none.
func (c *Cache) base() string {
	for _, digest := range append(slices.Clone(c.retained), c.extraBase) {
		if c.contents[digest] != nil {
			return digest
		}
	}
	return ""
}
