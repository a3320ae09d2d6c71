// Package content implements both sides of the transfer of version contents from replicas to gateways. A gateway
// keeps contents in a Cache and downloads missing ones with a Fetch. A replica keeps contents and their encoded
// forms in a DeltaCache. It is used by packages client (the gateway's side) and replica.
//
// The package is pure: it has no I/O, clock, locks or randomness, and callers synchronize access to its values. A
// content is immutable, is identified by its BLAKE3 digest, and is used only after the digest has been checked. The
// base of a delta is identified by its digest and, as RFC 9842 requires, by its SHA-256.
package content

import (
	"slices"

	"irispost/internal/fleet/configversion"
)

// Content encodings of a response, as in its Content-Encoding header.
const (
	EncodingDelta = "dcz"  // a delta from the base that the request offered
	EncodingZstd  = "zstd" // the full content, compressed
)

// Cache holds the contents that a gateway has: those of the versions that the last lease named, and an extra one
// that serves as a base for deltas.
type Cache struct {
	contents    map[string][]byte // by digest
	retained    []string          // digests that the last lease named, that of the version in force first
	extraBase   string            // digest of the extra content; empty: none
	lastFetched string            // digest of the most recently fetched content
	fullOnly    map[string]bool   // digests whose full content is requested, as a delta was rejected
	faults      InjectedFaults
}

// NewCache returns a gateway's cache with the content that was read from its disk, or an empty one if fromDisk is
// nil. The content from disk serves as a base. Whether the gateway may act on it is decided by leases, which name
// contents by digest.
func NewCache(fromDisk []byte, faults InjectedFaults) *Cache {
	c := &Cache{contents: map[string][]byte{}, fullOnly: map[string]bool{}, faults: faults}
	if len(fromDisk) > 0 {
		c.extraBase = configversion.DigestOf(fromDisk)
		c.contents[c.extraBase] = fromDisk
	}
	return c
}

// Retain removes all contents except those with the given digests, that of the version in force first, and one
// extra base. The extra base becomes the first cached content of the previous call that is not among the given ones,
// if there is one: it was in force, and new versions are derived from the version in force.
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

// Content returns the content with the given digest, or nil if it is not cached. Callers must not modify it.
func (c *Cache) Content(digest string) []byte {
	if c.faults.Has(FaultStaleCacheFile) && c.contents[digest] == nil && c.extraBase != "" {
		return c.contents[c.extraBase]
	}
	return c.contents[digest]
}

// Add caches a content that was received by other means than a Fetch. If the content does not have the given
// digest, Add caches nothing and returns false.
func (c *Cache) Add(digest string, content []byte) bool {
	if configversion.DigestOf(content) != digest {
		return false
	}
	c.contents[digest] = content
	return true
}

// Digests returns the digests of all cached contents in ascending order.
func (c *Cache) Digests() (digests []string) {
	for digest := range c.contents {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	return digests
}

// base returns the digest of the content to offer as the base of a delta: that of the version in force if it is
// cached, otherwise that of the next retained content or of the extra base, or "" if there is none.
func (c *Cache) base() string {
	for _, digest := range append(slices.Clone(c.retained), c.extraBase) {
		if c.contents[digest] != nil {
			return digest
		}
	}
	return ""
}
