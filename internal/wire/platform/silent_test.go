package platform_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// TestSilentConnectionsCostOneRead expects that the first call that meets silent connections finds
// it by its own limit, and that the next ones use new connections.
func TestSilentConnectionsCostOneRead(t *testing.T) {
	const (
		pooled = 8
		bound  = time.Second
	)

	var together sync.WaitGroup

	together.Add(pooled)

	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/objects/together" {
			together.Done()
			together.Wait()
		}

		_, _ = w.Write([]byte("{}"))
	}))
	defer served.Close()

	via, err := forwarder.Listen(served.Listener.Addr().String())
	require.NoError(t, err)

	defer via.Close()

	c := platform.NewClient(via.Address(), platform.Options{Timeout: bound})

	var calls sync.WaitGroup

	for range pooled {
		calls.Go(func() {
			if _, err := c.Get(t.Context(), "together"); err != nil {
				t.Error(err)
			}
		})
	}

	calls.Wait()
	require.Equal(t, pooled, via.Silence())

	_, err = c.Put(t.Context(), "k", 0, nil)
	require.ErrorIs(t, err, platform.ErrUnknown)

	for range pooled {
		_, err = c.Get(t.Context(), "k")
		require.NoError(t, err)
	}
}
