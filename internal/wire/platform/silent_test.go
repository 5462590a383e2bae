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

// TestSilentConnectionsCostOneRead checks that only the first call on silent connections, which are open but deliver
// nothing any more, fails after its timeout, and that later calls use new connections.
func TestSilentConnectionsCostOneRead(t *testing.T) {
	const (
		idleConns   = 8
		callTimeout = time.Second
	)

	var barrier sync.WaitGroup

	barrier.Add(idleConns)

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/objects/together" {
			barrier.Done()
			barrier.Wait()
		}

		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()

	proxy, err := forwarder.Listen(server.Listener.Addr().String())
	require.NoError(t, err)

	defer proxy.Close()

	c := platform.NewClient(proxy.Address(), platform.Options{Timeout: callTimeout})

	var calls sync.WaitGroup

	for range idleConns {
		calls.Go(func() {
			if _, err := c.Get(t.Context(), "together"); err != nil {
				t.Error(err)
			}
		})
	}

	calls.Wait()
	require.Equal(t, idleConns, proxy.Silence())

	_, err = c.Put(t.Context(), "k", 0, nil)
	require.ErrorIs(t, err, platform.ErrUnknown)

	for range idleConns {
		_, err = c.Get(t.Context(), "k")
		require.NoError(t, err)
	}
}
