package engine

import (
	"container/list"
	"time"
)

// retainedEvents is the minimum number of most recent cache events that stay
// available to readers.
const retainedEvents = 4096

// cacheEvent records that a prefix was added to the cache or evicted.
type cacheEvent struct {
	sequence uint64
	prefix   string
	added    bool
	at       time.Time
}

// prefixCache is an LRU cache of prompt prefixes. It is guarded by Engine.mu.
type prefixCache struct {
	capacity int
	lru      *list.List
	entries  map[string]*list.Element
	sequence uint64
	events   []cacheEvent
}

// newPrefixCache returns an empty cache that holds up to capacity prefixes.
func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, lru: list.New(), entries: make(map[string]*list.Element)}
}

// matchLength returns the number of leading prefixes that are cached.
func (c *prefixCache) matchLength(prefixes []string) int {
	for n, prefix := range prefixes {
		if c.entries[prefix] == nil {
			return n
		}
	}
	return len(prefixes)
}

// insert adds the prefixes or marks them as recently used, and evicts the least
// recently used ones when the cache is full.
func (c *prefixCache) insert(prefixes []string) {
	for _, prefix := range prefixes {
		if element := c.entries[prefix]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.entries[prefix] = c.lru.PushFront(prefix)
		c.recordEvent(prefix, true)
		if c.lru.Len() > c.capacity {
			c.evict(c.lru.Back())
		}
	}
}

// evict removes the prefix that element holds.
func (c *prefixCache) evict(element *list.Element) {
	prefix, _ := c.lru.Remove(element).(string)
	delete(c.entries, prefix)
	c.recordEvent(prefix, false)
}

// recordEvent appends an event. It trims the list to retainedEvents once it has
// grown to more than twice that length.
func (c *prefixCache) recordEvent(prefix string, added bool) {
	c.sequence++
	c.events = append(c.events, cacheEvent{sequence: c.sequence, prefix: prefix, added: added, at: time.Now()})
	if len(c.events) > 2*retainedEvents {
		c.events = append([]cacheEvent(nil), c.events[len(c.events)-retainedEvents:]...)
	}
}

// usage returns the fraction of the capacity in use, from 0 to 1.
func (c *prefixCache) usage() float64 {
	return float64(c.lru.Len()) / float64(c.capacity)
}
