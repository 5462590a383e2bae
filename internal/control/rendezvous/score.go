// Package rendezvous ranks names for a key, so that all hosts rank them alike and a name that goes moves
// nothing but what it held (highest random weight hashing).
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the weight of the pair of a and b, which may not hold NUL bytes; the order of the two matters.
func Score(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
