package placing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/gossip"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// maxPrefixes bounds the prefixes remembered; about 100 bytes each.
	maxPrefixes = 16_384
	// maxNews bounds the prefixes kept for peers that have not been told yet.
	maxNews = 512
	// holderCount is the number of replicas remembered for one prefix.
	holderCount = 3
)

// Part is one part of a prompt, in order.
type Part struct {
	ID     uint64
	Tokens table.Tokens
}

// Prefix names the parts of a prompt up to one of them.
type Prefix uint64

// News says that a replica has read a prefix.
type News struct {
	Prefix Prefix
	Target table.TargetID
}

// holders are the replicas that last read a prefix, the newest first.
type holders [holderCount]table.TargetID

// cache remembers which replica has read which prefix. What replicas evict is not known, so it is a guess.
type cache struct {
	held *lru.Cache[Prefix, holders]
	news *gossip.Log[News]
}

func newCache() *cache {
	held, err := lru.New[Prefix, holders](maxPrefixes)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &cache{held: held, news: gossip.NewLog[News](maxNews)}
}

// prefixes returns the prefixes of parts, the shortest first.
func prefixes(parts []Part) []Prefix {
	var (
		all  = make([]Prefix, 0, len(parts))
		hash xxhash.Digest
		id   [8]byte
	)

	hash.Reset()

	for _, p := range parts {
		binary.LittleEndian.PutUint64(id[:], p.ID)

		_, _ = hash.Write(id[:]) // never fails
		all = append(all, Prefix(hash.Sum64()))
	}

	return all
}

// Shared returns the prefix that all but the last of parts make, which is the caller's own.
// It reports false if there is none.
func Shared(parts []Part) (Prefix, bool) {
	if len(parts) < 2 {
		return 0, false
	}

	names := prefixes(parts[:len(parts)-1])

	return names[len(names)-1], true
}

// add notes that target has read all of parts.
func (c *cache) add(target table.TargetID, parts []Part) {
	for _, p := range prefixes(parts) {
		if c.note(p, target) {
			c.news.Add(News{Prefix: p, Target: target})
		}
	}
}

// note remembers one holder and reports whether it is new.
func (c *cache) note(p Prefix, target table.TargetID) bool {
	h, _ := c.held.Get(p)

	for i, id := range h {
		if id == target {
			copy(h[1:i+1], h[:i])
			h[0] = target
			c.held.Add(p, h)

			return false
		}
	}

	copy(h[1:], h[:holderCount-1])
	h[0] = target
	c.held.Add(p, h)

	return true
}

// cached returns the tokens of parts, whose prefixes are names, that each replica is thought to hold, for the
// replicas that hold any.
func (c *cache) cached(names []Prefix, parts []Part) map[table.TargetID]table.Tokens {
	held := map[table.TargetID]table.Tokens{}

	var sum table.Tokens

	for i, p := range names {
		h, ok := c.held.Get(p)
		if !ok {
			break
		}

		sum += parts[i].Tokens

		// Whoever has read this prefix has read the shorter ones, also where it is not among their latest readers.
		for _, id := range h {
			if id != "" {
				held[id] = sum
			}
		}
	}

	return held
}

// News returns what this host has learned since it last told the host to.
func (b *Board) News(to table.HostID) []News {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.cache.news.Untold(to)
}

// Hear takes what a peer has learned.
func (b *Board) Hear(news []News) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for _, n := range news {
		b.cache.note(n.Prefix, n.Target)
	}
}
