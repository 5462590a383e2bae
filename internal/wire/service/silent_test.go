package service_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// TestSilentConnectionsCostOneCall expects that the first call that meets silent connections finds
// it by its own limit, and that the next ones use new connections.
func TestSilentConnectionsCostOneCall(t *testing.T) {
	const pooled = 8

	var together sync.WaitGroup

	together.Add(pooled)

	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
	}))
	defer target.Close()

	via, err := forwarder.Listen(target.Listener.Addr().String())
	require.NoError(t, err)

	defer via.Close()

	c := service.NewClient(service.Options{Timeout: timeout})
	send := func(path string) error {
		_, err := c.Call(t.Context(), table.Target{ID: "service-1", Address: via.Address()}, service.Request{ID: "r-1", Path: path})

		return err
	}

	var calls sync.WaitGroup

	for range pooled {
		calls.Go(func() {
			if err := send("/together"); err != nil {
				t.Error(err)
			}
		})
	}

	calls.Wait()
	require.Equal(t, pooled, via.Silence())

	begun := time.Now()

	require.Equal(t, verdict.MayHaveRun, verdict.Of(send("/")))
	require.Less(t, time.Since(begun), 2*timeout)

	for range pooled {
		require.NoError(t, send("/"))
	}
}
