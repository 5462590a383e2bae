package rendezvous_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/control/rendezvous"
)

// Hosts of different builds rank names alike and know requests, parts of prompts and streams by the same numbers.
func TestHashesAreTheSameInAllBuilds(t *testing.T) {
	for name, hash := range map[string]struct{ got, want uint64 }{
		"rank of names": {rendezvous.Score("host-1", "key"), 0xd6f6465da2be266},
		"request":       {uint64(crashtracker.FingerprintOf("h.example", "/a/b?c", []byte("body"))), 0x2223ba77ff578ce4},
		"part":          {uint64(crashtracker.FingerprintOfPart("service", 0x5c1e07a2)), 0x2e9a923e71b436b3},
		"stream":        {uint64(origins.StreamIDOf("service", "9c41d07be2a35f68")), 0x647a4c1e00490295},
	} {
		require.Equal(t, hash.want, hash.got, name)
	}
}
