package routing

import (
	"cmp"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Prefix is the hash of a prompt prefix; zero means none.
type Prefix uint64

// DefaultPrefixes is the maximum number of prefixes if NewPrefixes is given zero.
const DefaultPrefixes = 4096

// holders are the targets that last held a prefix, the most recent first. Unused elements are empty.
type holders [2]entity.TargetID

// Prefixes tracks which targets have a prompt prefix cached, based on responses and cache events.
// Both are late and incomplete, so entries may be wrong, which costs prefill time only. The number of
// prefixes is bounded. It is safe for concurrent use.
type Prefixes struct {
	lru *lru.Cache[Prefix, holders]
}

// NewPrefixes returns a table of at most size prefixes; zero means DefaultPrefixes.
func NewPrefixes(size int) *Prefixes {
	c, err := lru.New[Prefix, holders](max(1, cmp.Or(size, DefaultPrefixes)))
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Prefixes{lru: c}
}

// Add records that target holds p. A zero p has no effect.
func (x *Prefixes) Add(p Prefix, target entity.TargetID) {
	if p == 0 {
		return
	}

	h, _ := x.lru.Peek(p)
	if h[0] == target {
		return
	}

	x.lru.Add(p, holders{target, h[0]})
}

// Remove records that target no longer holds p.
func (x *Prefixes) Remove(p Prefix, target entity.TargetID) {
	h, ok := x.lru.Peek(p)
	if !ok {
		return
	}

	switch target {
	case h[0]:
		h = holders{h[1], ""}
	case h[1]:
		h[1] = ""
	default:
		return
	}

	if h[0] == "" {
		x.lru.Remove(p)

		return
	}

	x.lru.Add(p, h)
}

// Drop removes target from all prefixes, for example after a role change.
func (x *Prefixes) Drop(target entity.TargetID) {
	for _, p := range x.lru.Keys() {
		x.Remove(p, target)
	}
}

// Len returns the number of tracked prefixes.
func (x *Prefixes) Len() int { return x.lru.Len() }

// holdersOf returns the targets that hold p: none if x is nil or p is zero.
func (x *Prefixes) holdersOf(p Prefix) holders {
	if x == nil || p == 0 {
		return holders{}
	}

	h, _ := x.lru.Get(p)

	return h
}
