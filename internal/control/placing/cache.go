package placing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/gossip"
)

const (
	// maxPrefixes bounds the number of tracked prefixes, at about 100 bytes each.
	maxPrefixes = 16_384
	// maxUpdates bounds the updates kept for peers that have not received them yet.
	maxUpdates = 512
	// maxHolders is the number of replicas tracked for one prefix.
	maxHolders = 3
)

// Part is one of the consecutive parts of a prompt. Prompts that share a part have the same ID for it.
type Part struct {
	ID     uint64
	Tokens entity.Tokens
}

// Prefix identifies a sequence of parts at the start of a prompt by the hash of their IDs.
type Prefix uint64

// PrefixUpdate records that a replica has prefilled a prefix.
type PrefixUpdate struct {
	Prefix Prefix
	Target entity.TargetID
}

// holders are the replicas that last prefilled a prefix, the most recent first. Unused entries are empty.
type holders [maxHolders]entity.TargetID

// cache estimates which replicas hold the KV cache of which prefixes, from the prompts that they have prefilled.
// Replicas do not report evictions, so the estimate may be wrong.
type cache struct {
	byPrefix *lru.Cache[Prefix, holders]
	updates  *gossip.Log[PrefixUpdate]
}

func newCache() *cache {
	byPrefix, err := lru.New[Prefix, holders](maxPrefixes)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &cache{byPrefix: byPrefix, updates: gossip.NewLog[PrefixUpdate](maxUpdates)}
}

// prefixes returns one prefix for each of parts, the shortest first.
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

// SharedPrefix returns the prefix of all parts but the last one, which belongs to a single request.
// It reports false if parts has fewer than two elements.
func SharedPrefix(parts []Part) (Prefix, bool) {
	if len(parts) < 2 {
		return 0, false
	}

	keys := prefixes(parts[:len(parts)-1])

	return keys[len(keys)-1], true
}

// add records that target has prefilled all of parts, and queues the new holders for the peers.
func (c *cache) add(target entity.TargetID, parts []Part) {
	for _, p := range prefixes(parts) {
		if c.addHolder(p, target) {
			c.updates.Add(PrefixUpdate{Prefix: p, Target: target})
		}
	}
}

// addHolder makes target the most recent holder of p and reports whether target was not a holder before.
func (c *cache) addHolder(p Prefix, target entity.TargetID) bool {
	h, _ := c.byPrefix.Get(p)

	for i, id := range h {
		if id == target {
			copy(h[1:i+1], h[:i])
			h[0] = target
			c.byPrefix.Add(p, h)

			return false
		}
	}

	copy(h[1:], h[:maxHolders-1])
	h[0] = target
	c.byPrefix.Add(p, h)

	return true
}

// cachedTokens returns the estimated number of cached tokens of parts by replica, without replicas that have none.
// keys are the prefixes of parts.
func (c *cache) cachedTokens(keys []Prefix, parts []Part) map[entity.TargetID]entity.Tokens {
	cached := map[entity.TargetID]entity.Tokens{}

	var sum entity.Tokens

	for i, p := range keys {
		h, ok := c.byPrefix.Get(p)
		if !ok {
			break
		}

		sum += parts[i].Tokens

		// A holder of this prefix also holds the shorter ones, even if it is no longer listed for them.
		for _, id := range h {
			if id != "" {
				cached[id] = sum
			}
		}
	}

	return cached
}

// PrefixUpdates returns the updates that this host has recorded and that the host to has not confirmed, at most the newest
// 512, and the position that ConfirmPrefixes takes.
func (b *Board) PrefixUpdates(to entity.HostID) (updates []PrefixUpdate, position uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.cache.updates.Unconfirmed(to)
}

// ConfirmPrefixes records that the host by has received the updates up to position.
func (b *Board) ConfirmPrefixes(by entity.HostID, position uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.cache.updates.Confirm(by, position)
}

// MergePrefixes adds the prefix holders that a peer has recorded. They are not forwarded to other peers.
func (b *Board) MergePrefixes(updates []PrefixUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()

	for _, u := range updates {
		b.cache.addHolder(u.Prefix, u.Target)
	}
}
