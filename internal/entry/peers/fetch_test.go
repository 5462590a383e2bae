package peers_test

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
)

// startFar starts a host "far" that serves services, and returns a network that knows it.
func startFar(t *testing.T, services peers.Services) *peers.Network {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	network := peers.New(peers.Options{Host: "far", DataCentre: "a", Address: l.Addr().String(), Digests: readyHandler{}})
	server := peers.NewGRPCServer(network, services)
	ctx, cancel := context.WithCancel(t.Context())
	network.Start(ctx)

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() {
		cancel()
		<-network.Done()
		server.Stop()
	})

	return startNear(t, l.Addr().String())
}

func TestConfigurationIsFetchedFromHostsOfBothBuilds(t *testing.T) {
	t.Parallel()

	configuration := bytes.Repeat([]byte("account and its kinds "), 200_000)
	sender := copies.NewServer(copies.ServerOptions{Log: &log.Logger{Level: log.PanicLevel}, Source: func(targets bool, known uint64) (uint64, func() ([]byte, error)) {
		if targets || known >= 7 {
			return 0, nil
		}

		return 7, func() ([]byte, error) { return configuration, nil }
	}})
	older := func(known peers.KnownVersions) (entity.Generation, []byte) {
		if known.Generation >= 7 {
			return 7, nil
		}

		return 7, configuration
	}

	for name, services := range map[string]peers.Services{
		"this build": {Configuration: older, Copies: sender.Handle}, "an older build": {Configuration: older},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			got, err := startFar(t, services).Fetch(t.Context(), "far")
			require.NoError(t, err)
			require.True(t, bytes.Equal(configuration, got))
		})
	}
}
