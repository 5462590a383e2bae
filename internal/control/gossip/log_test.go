package gossip_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/gossip"
)

// receive returns what to is sent, and confirms it.
func receive(l *gossip.Log[int], to entity.HostID) []int {
	entries, position := l.Unconfirmed(to)
	l.Confirm(to, position)

	return entries
}

func TestEachPeerGetsEachEntryOnceAndMissesTheOldest(t *testing.T) {
	l := gossip.NewLog[int](3)
	require.Empty(t, receive(l, "a"))

	l.Add(1)
	l.Add(2)
	require.Equal(t, []int{1, 2}, receive(l, "a"))
	require.Empty(t, receive(l, "a"))

	l.Add(3)
	l.Add(4)
	require.Equal(t, []int{3, 4}, receive(l, "a"))
	require.Equal(t, []int{2, 3, 4}, receive(l, "b"))
}

func TestEntriesOfALostMessageAreSentAgain(t *testing.T) {
	l := gossip.NewLog[int](3)
	l.Add(1)

	_, lost := l.Unconfirmed("a")
	l.Add(2)

	entries, position := l.Unconfirmed("a")
	require.Equal(t, []int{1, 2}, entries)

	l.Confirm("a", position)
	l.Confirm("a", lost)
	l.Confirm("a", position+7)
	require.Empty(t, receive(l, "a"))
}
