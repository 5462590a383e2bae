// Package rendezvous implements rendezvous (highest random weight) hashing: all hosts rank names for a key in the
// same order, and the removal of a name reassigns only the keys for which it ranked first.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the weight of the ordered pair of a and b, which must not contain NUL bytes.
func Score(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
