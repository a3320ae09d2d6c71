package content

import (
	"irispost/internal/fleet/delta"
)

// Bounds of a DeltaCache in entries and bytes. For scale: a content with 1,800 nodes takes some 210 KB, 31 KB
// compressed, and a delta that changes one node takes 100 bytes.
const (
	maxContents     = 16
	maxContentBytes = 64 << 20
	maxEncoded      = 64
	maxEncodedBytes = 64 << 20
)

// Content is a version content that a replica has in memory.
type Content struct {
	Digest string
	Bytes  []byte
	Hash   [32]byte // its SHA-256, by which gateways identify it as a base
}

// DeltaKey identifies an encoded content by the digests of its base and of the content. An empty Base means the
// full content.
type DeltaKey struct{ Base, Digest string }

// DeltaCache caches contents and their encoded forms, so that what many gateways request is loaded and encoded only
// once. It is bounded: the least recently used entry is evicted first, and has to be added again when it is requested
// again. It has no lock; its owner synchronizes access.
type DeltaCache struct {
	contents lruCache[string, Content]
	encoded  lruCache[DeltaKey, []byte]
}

// NewDeltaCache returns an empty DeltaCache.
func NewDeltaCache() *DeltaCache {
	return &DeltaCache{
		contents: newLRUCache[string, Content](maxContents, maxContentBytes),
		encoded:  newLRUCache[DeltaKey, []byte](maxEncoded, maxEncodedBytes),
	}
}

// Content returns the content with the given digest if it is cached.
func (c *DeltaCache) Content(digest string) (content Content, cached bool) {
	return c.contents.get(digest)
}

// AddContent caches a content under its digest and returns it.
func (c *DeltaCache) AddContent(digest string, bytes []byte) Content {
	content := Content{Digest: digest, Bytes: bytes, Hash: delta.BaseHash(bytes)}
	c.contents.put(digest, content, len(bytes))
	return content
}

// KeyFor returns the key of what to send to a gateway that requests a content and offers a base, given by its digest
// and SHA-256: a delta if the cached content with the base's digest has that SHA-256, otherwise the full content.
func (c *DeltaCache) KeyFor(digest, base string, baseHash [32]byte) DeltaKey {
	content, cached := c.contents.get(base)
	if cached && base != digest && content.Hash == baseHash && len(content.Bytes) > 0 {
		return DeltaKey{base, digest}
	}
	return DeltaKey{Digest: digest}
}

// Encoded returns the encoded content for a key if it is cached.
func (c *DeltaCache) Encoded(key DeltaKey) (encoded []byte, cached bool) { return c.encoded.get(key) }

// AddEncoded caches an encoded content.
func (c *DeltaCache) AddEncoded(key DeltaKey, encoded []byte) {
	c.encoded.put(key, encoded, len(encoded))
}
