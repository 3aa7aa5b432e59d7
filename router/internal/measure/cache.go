package measure

import "slices"

// prefixCache is a prefix cache that evicts the least recently used blocks.
type prefixCache struct {
	limit   int
	lookups int

	// lastUsed holds, for each cached block, the number of the lookup that last
	// used it.
	lastUsed map[uint64]int
}

// newPrefixCache returns an empty cache for limit blocks.
func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, lastUsed: make(map[uint64]int)}
}

// lookup returns how many leading blocks are cached, and caches all.
func (c *prefixCache) lookup(prefixes []uint64) int {
	c.lookups++
	found := 0
	for _, p := range prefixes {
		if _, ok := c.lastUsed[p]; !ok {
			break
		}
		found++
	}
	for _, p := range prefixes {
		c.lastUsed[p] = c.lookups
	}
	for len(c.lastUsed) > c.limit {
		c.evict()
	}
	return found
}

// evict drops an eighth of the blocks, the least recently used ones.
func (c *prefixCache) evict() {
	times := make([]int, 0, len(c.lastUsed))
	for _, used := range c.lastUsed {
		times = append(times, used)
	}
	bound := quantile(times, 8)
	for p, used := range c.lastUsed {
		if used <= bound {
			delete(c.lastUsed, p)
		}
	}
}

// quantile sorts the values and returns the one at index len(values)/part.
func quantile(values []int, part int) int {
	slices.Sort(values)
	return values[len(values)/part]
}
