package content

import "container/list"

// lruCache is a map that is bounded in the number of its entries and in the sum of their sizes. It evicts the least
// recently used entries.
type lruCache[K comparable, V any] struct {
	maxEntries int
	maxSize    int
	size       int // sum over all entries
	entries    map[K]*list.Element
	order      *list.List // of *lruEntry, the most recently used first
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
	size  int
}

func newLRUCache[K comparable, V any](maxEntries, maxSize int) lruCache[K, V] {
	return lruCache[K, V]{maxEntries: maxEntries, maxSize: maxSize, entries: map[K]*list.Element{}, order: list.New()}
}

// get returns a value and marks it as the most recently used.
func (c *lruCache[K, V]) get(key K) (value V, cached bool) {
	element := c.entries[key]
	if element == nil {
		return value, false
	}
	c.order.MoveToFront(element)
	return element.Value.(*lruEntry[K, V]).value, true
}

// put adds or replaces a value. The value itself is kept even if it alone exceeds the maximum size.
func (c *lruCache[K, V]) put(key K, value V, size int) {
	c.remove(c.entries[key])
	c.entries[key] = c.order.PushFront(&lruEntry[K, V]{key, value, size})
	c.size += size
	for len(c.entries) > 1 && (len(c.entries) > c.maxEntries || c.size > c.maxSize) {
		c.remove(c.order.Back())
	}
}

// remove removes an entry; it does nothing if element is nil.
func (c *lruCache[K, V]) remove(element *list.Element) {
	if element == nil {
		return
	}
	entry := c.order.Remove(element).(*lruEntry[K, V])
	delete(c.entries, entry.key)
	c.size -= entry.size
}
