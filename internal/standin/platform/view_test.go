package platform_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

func TestClientAgainstHandler(t *testing.T) {
	store := standin.NewStore(clockwork.NewRealClock())
	server := httptest.NewServer(standin.Handler(store))
	t.Cleanup(server.Close)

	c := platform.NewClient(strings.TrimPrefix(server.URL, "http://"), platform.Options{})
	ctx := t.Context()

	events, err := c.Watch(ctx, "config/")
	require.NoError(t, err)

	o, err := c.Get(ctx, "config/head")
	require.NoError(t, err)
	require.Zero(t, o.Version)

	v, err := c.Put(ctx, "config/head", 0, []byte("one"))
	require.NoError(t, err)
	require.Equal(t, v, (<-events).Version)

	_, err = c.Put(ctx, "config/head", 0, []byte("two"))
	require.ErrorIs(t, err, platform.ErrConflict)
}
