package content

import (
	"irispost/internal/fleet/delta"
)

// Bounds of a DeltaCache, in number and bytes. A content of 1,800 nodes has some 210 KB, compressed 31 KB; a
// delta of one node has 100 bytes.
const (
	maxContents     = 16
	maxContentBytes = 64 << 20
	maxEncoded      = 64
	maxEncodedBytes = 64 << 20
)

// Content is a content that a replica has at hand.
type Content struct {
	Digest string
	Bytes  []byte
	Hash   [32]byte // its SHA-256, by which gateways name it as a base
}

// DeltaKey names an encoded content: what it is and what base it is a delta from; "": it is encoded in full.
type DeltaKey struct{ Base, Digest string }

// DeltaCache keeps contents, and what was encoded of them, for all gateways that request the same. It is
// bounded; what was requested least recently is evicted first, and is made again if it is requested again. It
// has no lock: its owner has one.
type DeltaCache struct {
	contents lruCache[string, Content]
	encoded  lruCache[DeltaKey, []byte]
}

// NewDeltaCache makes an empty one.
func NewDeltaCache() *DeltaCache {
	return &DeltaCache{
		contents: newLRUCache[string, Content](maxContents, maxContentBytes),
		encoded:  newLRUCache[DeltaKey, []byte](maxEncoded, maxEncodedBytes),
	}
}

// Content is a cached content by its digest.
func (c *DeltaCache) Content(digest string) (content Content, cached bool) {
	return c.contents.get(digest)
}

// AddContent caches a content.
func (c *DeltaCache) AddContent(digest string, bytes []byte) Content {
	content := Content{Digest: digest, Bytes: bytes, Hash: delta.BaseHash(bytes)}
	c.contents.put(digest, content, len(bytes))
	return content
}

// KeyFor names what to send to a gateway that requests a content and offers a base, with the base's SHA-256: a
// delta if that base is cached and is the same, else the full content.
func (c *DeltaCache) KeyFor(digest, base string, baseHash [32]byte) DeltaKey {
	content, cached := c.contents.get(base)
	if cached && base != digest && content.Hash == baseHash && len(content.Bytes) > 0 {
		return DeltaKey{base, digest}
	}
	return DeltaKey{Digest: digest}
}

// Encoded is what was encoded before.
func (c *DeltaCache) Encoded(key DeltaKey) (encoded []byte, cached bool) { return c.encoded.get(key) }

// AddEncoded caches what was encoded.
func (c *DeltaCache) AddEncoded(key DeltaKey, encoded []byte) {
	c.encoded.put(key, encoded, len(encoded))
}
