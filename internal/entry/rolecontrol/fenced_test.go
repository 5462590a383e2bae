package rolecontrol_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/rolecontrol"
)

// fencing refuses orders as those of a former holder.
type fencing struct{ *replicas }

func (fencing) Order(context.Context, rolecontrol.Order) (rolecontrol.Result, error) {
	return rolecontrol.Fenced, nil
}

// A holder that a replica has refused for a later one makes no other calls in its term either.
func TestFencedOrderEndsTheTermOfAllDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newReplicas(10)
		c := startWith(ctx, "a", &store{}, r, fencing{r})

		time.Sleep(5 * time.Second)

		term, held := c.Term()
		require.False(t, held)

		_, ok := c.BeginCall(term)
		require.False(t, ok)
		cancel()
		<-c.Done()
	})
}
