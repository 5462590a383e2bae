package peers_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// startFar starts a host "far" that serves services, and returns a network that knows it.
func startFar(t *testing.T, services peers.Services) *peers.Network {
	t.Helper()

	return startNear(t, serveFar(t, services))
}

// serveFar starts a host "far" that serves services, and returns its address.
func serveFar(t *testing.T, services peers.Services) string {
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

	return l.Addr().String()
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

func TestAllRecordsOfAFullTableArriveOverASlowLink(t *testing.T) {
	t.Parallel()

	const records = 4096 // of a full table, as in package crashtracker

	address := serveFar(t, peers.Services{Crashes: func(m *peer.CrashRecords) *peer.CrashRecords {
		return &peer.CrashRecords{Records: m.GetRecords()}
	}})

	slow, err := forwarder.Listen(address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = slow.Close() })

	near := peers.New(peers.Options{Host: "near", DataCentre: "b", Address: "127.0.0.1:1", Digests: stubHandler{}})
	m := &peer.CrashRecords{Whole: true}

	for n := range records {
		m.Records = append(m.Records, &peer.CrashRecord{Request: uint64(n), Targets: []string{"i-0123456789@1764800000123"}, LeftMs: 300_000})
	}

	_, err = near.ShareCrashes(t.Context(), slow.Address(), m)
	require.NoError(t, err)

	slow.SetDelay(100 * time.Millisecond) // for each piece of 32 KiB

	reply, err := near.ShareCrashes(t.Context(), slow.Address(), m)
	require.NoError(t, err)
	require.Len(t, reply.GetRecords(), records)
}
