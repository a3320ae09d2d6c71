package content

import (
	"container/list"

	"irispost/internal/fleet/delta"
)

// Bounds of a shelf, in number and bytes. A content of 1,800 nodes is some 210 KB, whole 31 KB, a delta of one node 100 bytes.
const (
	mostContents, mostContentBytes = 16, 64 << 20
	mostCoded, mostCodedBytes      = 64, 64 << 20
)

// Content is one as a keeper has it ready.
type Content struct {
	Digest string
	Bytes  []byte
	Hash   [32]byte // its SHA-256, as gateways name it for a base
}

// DeltaKey is a content and the base that it is coded from; "": whole.
type DeltaKey struct{ Base, Digest string }

// DeltaCache is what a keeper keeps ready: contents, and what was coded of them, for all who ask for the same. It is bounded; what was least
// recently asked for goes first, and is made again if it is asked for again.
type DeltaCache struct {
	contents cache[string, Content]
	coded    cache[DeltaKey, []byte]
}

// NewDeltaCache is an empty one.
func NewDeltaCache() *DeltaCache {
	return &DeltaCache{contents: newCache[string, Content](mostContents, mostContentBytes), coded: newCache[DeltaKey, []byte](mostCoded, mostCodedBytes)}
}

// Content is one that is there.
func (s *DeltaCache) Content(digest string) (Content, bool) { return s.contents.get(digest) }

// AddContent puts a content there.
func (s *DeltaCache) AddContent(digest string, bytes []byte) Content {
	c := Content{Digest: digest, Bytes: bytes, Hash: delta.BaseHash(bytes)}
	s.contents.put(digest, c, len(bytes))
	return c
}

// KeyFor tells what to send to who asks for a content and offers a base: a delta where that base is there and the same, else the whole.
func (s *DeltaCache) KeyFor(digest, base string, sum [32]byte) DeltaKey {
	if c, there := s.contents.get(base); there && base != digest && c.Hash == sum && len(c.Bytes) > 0 {
		return DeltaKey{base, digest}
	}
	return DeltaKey{Digest: digest}
}

// Encoded is what was coded before.
func (s *DeltaCache) Encoded(p DeltaKey) ([]byte, bool) { return s.coded.get(p) }

// AddEncoded keeps what was coded.
func (s *DeltaCache) AddEncoded(p DeltaKey, coded []byte) { s.coded.put(p, coded, len(coded)) }

// cache is a bounded map.
type cache[K comparable, V any] struct {
	most, mostBytes int
	bytes           int
	items           map[K]*list.Element
	order           *list.List // the one that was asked for last in front
}

type item[K comparable, V any] struct {
	key   K
	value V
	size  int
}

func newCache[K comparable, V any](most, mostBytes int) cache[K, V] {
	return cache[K, V]{most: most, mostBytes: mostBytes, items: map[K]*list.Element{}, order: list.New()}
}

func (c *cache[K, V]) get(key K) (value V, there bool) {
	e := c.items[key]
	if e == nil {
		return value, false
	}
	c.order.MoveToFront(e)
	return e.Value.(*item[K, V]).value, true
}

// put keeps a value; the last one stays whatever its size.
func (c *cache[K, V]) put(key K, value V, size int) {
	c.drop(c.items[key])
	c.items[key] = c.order.PushFront(&item[K, V]{key, value, size})
	c.bytes += size
	for len(c.items) > 1 && (len(c.items) > c.most || c.bytes > c.mostBytes) {
		c.drop(c.order.Back())
	}
}

func (c *cache[K, V]) drop(e *list.Element) {
	if e == nil {
		return
	}
	i := c.order.Remove(e).(*item[K, V])
	delete(c.items, i.key)
	c.bytes -= i.size
}
