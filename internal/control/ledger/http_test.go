package ledger_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// TestClaimOverHTTP claims over HTTP connections, where the platform cuts the connections of one host after each
// write, before it answers.
func TestClaimOverHTTP(t *testing.T) {
	server := httptest.NewServer(standin.Handler(standin.NewStore(clockwork.NewRealClock())))
	defer server.Close()

	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/faults?client=host-0",
		strings.NewReader(`{"lose-answer":true}`))
	require.NoError(t, err)

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	s := new(site)

	for i := range 2 {
		client := platform.NewClient(strings.TrimPrefix(server.URL, "http://"), platform.Options{Name: string(host(i))})
		s.ledgers = append(s.ledgers, ledger.New(ledger.Options{
			Store: client, Host: host(i), ClaimTimeout: 30 * time.Second, Backoff: 10 * time.Millisecond, FinishDelay: time.Millisecond,
		}))
	}

	defer s.close()

	k := s.key()
	first, err := s.ledgers[0].Claim(t.Context(), s.request(k))
	require.NoError(t, err)
	require.True(t, first.Mine)
	require.NoError(t, s.ledgers[0].Finish(t.Context(), first.Record, ran("held")))

	repeat, err := s.ledgers[1].Claim(t.Context(), s.request(k))
	require.NoError(t, err)
	require.False(t, repeat.Mine)
	require.Equal(t, claims.Done, repeat.Record.State)
	require.Equal(t, ran("held"), repeat.Record.Result)
}
