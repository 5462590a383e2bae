package service_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// TestSilentConnectionsCostOneCall checks that only the first call on silent connections, which are open but deliver
// nothing any more, fails after its timeout, and that later calls use new connections.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	const idleConns = 8

	var barrier sync.WaitGroup

	barrier.Add(idleConns)

	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			barrier.Done()
			barrier.Wait()
		}
	}))
	defer target.Close()

	proxy, err := forwarder.Listen(target.Listener.Addr().String())
	require.NoError(t, err)

	defer proxy.Close()

	c := service.NewClient(service.Options{Timeout: timeout})
	send := func(path string) error {
		_, err := c.Call(t.Context(), entity.Target{ID: "service-1", Address: proxy.Address()}, service.Request{ID: "r-1", Path: path})

		return err
	}

	var calls sync.WaitGroup

	for range idleConns {
		calls.Go(func() {
			if err := send("/together"); err != nil {
				t.Error(err)
			}
		})
	}

	calls.Wait()
	require.Equal(t, idleConns, proxy.Silence())

	start := time.Now()

	require.Equal(t, verdict.MayHaveRun, verdict.Of(send("/")))
	require.Less(t, time.Since(start), 2*timeout)

	for range idleConns {
		require.NoError(t, send("/"))
	}
}
