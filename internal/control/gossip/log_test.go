package gossip_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/gossip"
)

func TestEachPeerGetsEachEntryOnceAndMissesTheOldest(t *testing.T) {
	l := gossip.NewLog[int](3)
	require.Empty(t, l.TakeUnsent("a"))

	l.Add(1)
	l.Add(2)
	require.Equal(t, []int{1, 2}, l.TakeUnsent("a"))
	require.Empty(t, l.TakeUnsent("a"))

	l.Add(3)
	l.Add(4)
	require.Equal(t, []int{3, 4}, l.TakeUnsent("a"))
	require.Equal(t, []int{2, 3, 4}, l.TakeUnsent("b"))
}
