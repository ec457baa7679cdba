package sparflow

import "time"

const (
	// CacheAge is the longest time that an unused entry of a Cache stays valid. It is
	// below the 60 s that a client waits before it reuses a port, so that the entry of
	// a closed flow expires before a new flow has the same tuple.
	CacheAge = 40 * time.Second

	rotateInterval = CacheAge / 2
)

// Cache maps keys to upstreams. It has two generations of entries. An entry moves to the
// young generation on use. The old generation is dropped every CacheAge/2, or when the
// young one is full. The zero Cache cannot be used; call NewCache.
type Cache struct {
	young, old map[Key]Endpoint
	limit      int
	rotatedAt  time.Duration
}

// NewCache returns a cache of at most 2*limit flows.
func NewCache(limit int) *Cache {
	return &Cache{young: map[Key]Endpoint{}, old: map[Key]Endpoint{}, limit: limit}
}

// Lookup returns the upstream last put for key. now is monotonic time.
func (c *Cache) Lookup(key Key, now time.Duration) (upstream Endpoint, ok bool) {
	c.rotateIfDue(now)
	if upstream, ok = c.young[key]; ok {
		return upstream, true
	}
	if upstream, ok = c.old[key]; ok {
		c.Put(key, upstream, now)
	}
	return upstream, ok
}

// Put sets the upstream of key.
func (c *Cache) Put(key Key, upstream Endpoint, now time.Duration) {
	c.rotateIfDue(now)
	if len(c.young) >= c.limit {
		c.rotate(now)
	}
	c.young[key] = upstream
}

// Delete removes the entry of key.
func (c *Cache) Delete(key Key) {
	delete(c.young, key)
	delete(c.old, key)
}

// Clear deletes all entries.
func (c *Cache) Clear() {
	clear(c.young)
	clear(c.old)
}

func (c *Cache) rotateIfDue(now time.Duration) {
	if now-c.rotatedAt < rotateInterval {
		return
	}
	if now-c.rotatedAt >= CacheAge {
		clear(c.young)
	}
	c.rotate(now)
}

func (c *Cache) rotate(now time.Duration) {
	c.young, c.old = c.old, c.young
	clear(c.young)
	c.rotatedAt = now
}
