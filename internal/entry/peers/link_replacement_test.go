package peers_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// Calls that wait on one silent connection end one after the other. Each closed the connection that an earlier one had opened
// in its place, and with it the calls that were under way there.
func TestCallsOnASilentLinkShareItsReplacement(t *testing.T) {
	const (
		calls    = 20
		interval = 30 * time.Millisecond // between the beginnings of two calls
	)

	_, via := startNetwork(t, "far", "a", &hangingRunner{})
	near, _ := startNetwork(t, "near", "b", &hangingRunner{}, via.Address())

	require.Eventually(t, func() bool { _, ok := near.Member("far"); return ok }, testBound, 10*time.Millisecond)
	require.Positive(t, via.Silence())

	opened := via.Opened()

	var under sync.WaitGroup

	for range calls {
		under.Go(func() {
			_, err := near.FindOrigin(t.Context(), via.Address(), &peer.FindOriginRequest{})
			assert.NoError(t, err)
		})
		time.Sleep(interval)
	}

	under.Wait()
	require.LessOrEqual(t, via.Opened()-opened, 2, "connections opened in place of a silent one")
}

// A call that its caller gives up says nothing of the connection, which other calls use.
func TestCallThatIsGivenUpLeavesTheLink(t *testing.T) {
	_, via := startNetwork(t, "far", "a", &hangingRunner{})
	near, _ := startNetwork(t, "near", "b", &hangingRunner{}, via.Address())

	require.Eventually(t, func() bool { _, ok := near.Member("far"); return ok }, testBound, 10*time.Millisecond)

	opened := via.Opened()

	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		via.SetDelay(5 * time.Millisecond)

		_, err := near.FindOrigin(ctx, via.Address(), &peer.FindOriginRequest{})
		require.ErrorIs(t, ctx.Err(), context.Canceled)
		require.Error(t, err)
	}

	require.Equal(t, opened, via.Opened(), "connections opened after calls that were given up")
}
