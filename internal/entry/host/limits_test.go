package host_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
)

func TestLimitsOfConnectionsAreConstants(t *testing.T) {
	const (
		limit   = 500 * time.Millisecond
		bound   = 5 * time.Second // less than the defaults
		request = "GET /healthz HTTP/1.1\r\nHost: h.example\r\n\r\n"
	)

	for name, tt := range map[string]struct {
		tune func(*host.Options)
		text string // sent after a request that is answered
	}{
		"idle": {tune: func(o *host.Options) { o.IdleTimeout = limit }},
		"head": {tune: func(o *host.Options) { o.HeaderTimeout = limit }, text: request[:20]},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1, engine.Options{})
			d.tune = tt.tune
			h := d.addHost(t, "a")

			for _, address := range []string{h.CallerAddress(), h.OperatorAddress()} {
				c, err := net.Dial("tcp", address)
				require.NoError(t, err)

				defer c.Close()

				r := bufio.NewReader(c)
				exchange(t, c, r, request)

				start := time.Now()

				_, err = io.WriteString(c, tt.text)
				require.NoError(t, err)
				require.NoError(t, c.SetReadDeadline(start.Add(bound)))

				_, err = io.Copy(io.Discard, r) // until the connection is closed
				require.NoError(t, err)
				require.GreaterOrEqual(t, time.Since(start), limit)
			}
		})
	}
}
