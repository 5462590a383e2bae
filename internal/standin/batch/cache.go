package batch

import (
	"math"
	"math/rand"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// cache is the prefix cache of an engine and the queue of its events.
type cache struct {
	lru    *simplelru.LRU[Prefix, table.Tokens]
	size   table.Tokens
	used   table.Tokens
	gap    float64
	lag    time.Duration
	rng    *rand.Rand
	number uint64
	queue  []CacheEvent
}

func newCache(opt Options) *cache {
	lru, _ := simplelru.NewLRU[Prefix, table.Tokens](math.MaxInt, nil) // fails on a size below 1 only

	return &cache{
		lru:  lru,
		size: opt.CacheTokens,
		gap:  opt.CacheGap,
		lag:  opt.CacheLag,
		rng:  rand.New(rand.NewSource(opt.Seed)),
	}
}

// find returns the tokens cached under p.
func (c *cache) find(p Prefix) table.Tokens {
	n, _ := c.lru.Get(p)

	return n
}

// store caches n tokens under p and evicts the least recently used.
func (c *cache) store(now time.Time, p Prefix, n table.Tokens) {
	if p == 0 || n <= 0 || n > c.size {
		return
	}

	if old, ok := c.lru.Get(p); ok {
		c.used -= old
	} else {
		c.publish(now, p, true)
	}

	c.lru.Add(p, n)
	c.used += n

	for c.used > c.size {
		c.evict(now)
	}
}

func (c *cache) evict(now time.Time) {
	p, n, ok := c.lru.RemoveOldest()
	if !ok {
		return
	}

	c.used -= n
	c.publish(now, p, false)
}

func (c *cache) clear(now time.Time) {
	for c.lru.Len() > 0 {
		c.evict(now)
	}
}

func (c *cache) publish(now time.Time, p Prefix, stored bool) {
	c.number++

	if c.rng.Float64() < c.gap {
		return
	}

	c.queue = append(c.queue, CacheEvent{Number: c.number, At: now, Prefix: p, Stored: stored})
}

// CacheEvents returns the cache events that have become visible by now, each once.
func (e *Engine) CacheEvents(now time.Time) []CacheEvent {
	e.run(now)

	c := e.cache
	n := 0

	for n < len(c.queue) && !c.queue[n].At.Add(c.lag).After(now) {
		n++
	}

	events := c.queue[:n:n]
	c.queue = c.queue[n:]

	return events
}
