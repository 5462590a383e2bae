package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
)

func TestAccountIsFoundByEachOfItsKeys(t *testing.T) {
	c := catalog.Build(1, catalog.Limits{}, nil, nil,
		catalog.Account{ID: "a", Keys: []string{"k1", "k2", ""}},
		catalog.Account{ID: "b", Keys: []string{"k3", "k1"}, Rank: 0, HasRank: true},
	)
	require.True(t, c.HasAccounts())

	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		a, ok := c.AccountOf(key)
		require.True(t, ok, key)
		require.Equal(t, want, string(a.ID), key)
	}

	for _, key := range []string{"", "k", "k1 ", " k1", "K1", "k1,k2", "a"} {
		_, ok := c.AccountOf(key)
		require.False(t, ok, key)
	}

	require.False(t, catalog.Build(1, catalog.Limits{}, nil, nil).HasAccounts())
	require.False(t, (*catalog.Catalog)(nil).HasAccounts())

	_, ok := (*catalog.Catalog)(nil).AccountOf("k1")
	require.False(t, ok)
}

func TestRankOfTheAccountTakesPrecedence(t *testing.T) {
	route := catalog.Route{Rank: 2}
	require.Equal(t, 2, catalog.Account{ID: "a"}.RankOn(route))
	require.Equal(t, 0, catalog.Account{ID: "a", HasRank: true}.RankOn(route))
	require.Equal(t, 3, catalog.Account{ID: "a", Rank: 3, HasRank: true}.RankOn(route))
}
