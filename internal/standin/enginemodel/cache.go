package enginemodel

import (
	"math"
	"math/rand"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// cache is the prefix cache of an engine, with the queue of events that are not visible yet.
type cache struct {
	lru        *simplelru.LRU[Prefix, entity.Tokens]
	capacity   entity.Tokens
	used       entity.Tokens
	lossShare  float64       // share of events that are lost
	lag        time.Duration // time until an event is visible
	rng        *rand.Rand
	lastNumber uint64 // number of the last event, lost ones included
	queue      []CacheEvent
}

func newCache(opt Options) *cache {
	lru, _ := simplelru.NewLRU[Prefix, entity.Tokens](math.MaxInt, nil) // fails only for a size below 1

	return &cache{
		lru:       lru,
		capacity:  opt.CacheTokens,
		lossShare: opt.CacheEventLoss,
		lag:       opt.CacheEventLag,
		rng:       rand.New(rand.NewSource(opt.Seed)),
	}
}

// find returns the number of tokens cached under p, and marks p as used.
func (c *cache) find(p Prefix) entity.Tokens {
	n, _ := c.lru.Get(p)

	return n
}

// store caches n tokens under p and evicts the least recently used prefixes while the cache is too large.
func (c *cache) store(now time.Time, p Prefix, n entity.Tokens) {
	if p == 0 || n <= 0 || n > c.capacity {
		return
	}

	if old, ok := c.lru.Get(p); ok {
		c.used -= old
	} else {
		c.queueEvent(now, p, true)
	}

	c.lru.Add(p, n)
	c.used += n

	for c.used > c.capacity {
		c.evict(now)
	}
}

// evict removes the least recently used prefix.
func (c *cache) evict(now time.Time) {
	p, n, ok := c.lru.RemoveOldest()
	if !ok {
		return
	}

	c.used -= n
	c.queueEvent(now, p, false)
}

// clear removes all prefixes.
func (c *cache) clear(now time.Time) {
	for c.lru.Len() > 0 {
		c.evict(now)
	}
}

// queueEvent numbers and queues an event, unless it is chosen as lost.
func (c *cache) queueEvent(now time.Time, p Prefix, stored bool) {
	c.lastNumber++

	if c.rng.Float64() < c.lossShare {
		return
	}

	c.queue = append(c.queue, CacheEvent{Number: c.lastNumber, At: now, Prefix: p, Stored: stored})
}

// CacheEvents returns the cache events that have become visible by now and were not returned before.
func (e *Engine) CacheEvents(now time.Time) []CacheEvent {
	e.advanceTo(now)

	c := e.cache
	n := 0

	for n < len(c.queue) && !c.queue[n].At.Add(c.lag).After(now) {
		n++
	}

	events := c.queue[:n:n]
	c.queue = c.queue[n:]

	return events
}
