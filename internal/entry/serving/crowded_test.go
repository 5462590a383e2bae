package serving_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/entry/serving"
)

// TestConnectionThatIsServedAsItGivesWayStaysOpen sends a request on a connection that gives way to another one, and a second one later.
func TestConnectionThatIsServedAsItGivesWayStaysOpen(t *testing.T) {
	const (
		most   = 8
		rounds = 20
		notice = 10 * time.Millisecond  // within which a connection gives way
		pause  = 200 * time.Millisecond // longer than a connection is open that gives way
	)

	s, err := serving.Start(serving.Options{
		Log: &log.Logger{Level: log.PanicLevel}, CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", IsReady: func() bool { return true },
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) }),
		MaxConnections: most, Limits: func() (catalog.Limits, bool) { return catalog.Limits{}, true },
	})
	require.NoError(t, err)

	defer func() { _ = s.Stop(100 * time.Millisecond) }()

	address, _ := s.Addresses()

	for range rounds { // the first request may be late on a busy machine
		oldest, r := dial(t, "http://"+address)

		var others [most]net.Conn
		for i := range others {
			others[i], _ = dial(t, "http://"+address)
		}

		time.Sleep(notice)

		if _, err := io.WriteString(oldest, request); err == nil && readAnswer(r) == "whole" {
			time.Sleep(pause)
			require.Equal(t, "whole", exchange(t, oldest, r, request))

			return
		}

		for _, c := range append(others[:], oldest) {
			require.NoError(t, c.Close())
		}

		time.Sleep(pause)
	}

	t.Fatal("no request came in time")
}
