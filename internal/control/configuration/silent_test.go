package configuration_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// noPeers implements configuration.Peers for a host without peers.
type noPeers struct{}

func (noPeers) Fetch(context.Context, entity.HostID) ([]byte, error) {
	return nil, errors.New("no peers")
}

// TestSilentPlatformConnections checks that an edit is in force within the bound although all connections
// to the platform, including the watch, have stopped delivering data without being closed.
func TestSilentPlatformConnections(t *testing.T) {
	const bound = 5 * time.Second

	clock := clockwork.NewRealClock()
	store := standin.NewStore(clock)
	served := httptest.NewServer(standin.Handler(store))
	t.Cleanup(served.CloseClientConnections)

	via, err := forwarder.Listen(strings.TrimPrefix(served.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = via.Close() })

	ctx, cancel := context.WithCancel(t.Context())
	r := configuration.Start(ctx, platform.NewClient(via.Address(), platform.Options{}), noPeers{}, clock, 1)

	t.Cleanup(func() {
		cancel()
		<-r.Done()
	})

	editor := configuration.NewEditor(store.View(), clock, nil)

	var base entity.Generation

	edit := func(model string) {
		doc, err := document.Parse("edit.yaml", []byte("targets:\n  - {id: e, type: engine, data-centre: a, address: '127.0.0.1:1', "+
			"role: mixed, slots: 1, prefill-rate: 1, decode-rate: 1, model: "+model+"}\n"))
		require.NoError(t, err)

		changes, err := configuration.ChangesOf(doc)
		require.NoError(t, err)

		base, err = editor.Apply(t.Context(), configuration.Edit{ID: configuration.EditID(uuid.NewString()), Base: base, Changes: changes})
		require.NoError(t, err)
	}

	edit("first")
	require.Eventually(t, func() bool { return r.Generation() == base }, bound, 10*time.Millisecond)

	for _, model := range []string{"second", "third"} {
		require.Positive(t, via.Silence())
		edit(model)
		require.Eventually(t, func() bool { return r.Generation() == base }, bound, 10*time.Millisecond)
	}
}
