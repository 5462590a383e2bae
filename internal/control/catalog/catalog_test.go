package catalog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	c := catalog.Build(1, catalog.Limits{}, []catalog.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil)

	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/yy": "short"} {
		r, ok := c.Match("a.example", path)
		require.True(t, ok, path)
		require.Equal(t, want, r.Name, path)
	}

	_, ok := c.Match("a.example", "/x")
	require.False(t, ok, "the path must contain the final slash of the prefix")

	_, ok = c.Match("c.example", "/x/1")
	require.False(t, ok)

	_, ok = (*catalog.Catalog)(nil).Match("a.example", "/x/1")
	require.False(t, ok)
}

func TestServiceIsChosenByWeightAndRequestID(t *testing.T) {
	r := catalog.Route{Shares: []catalog.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[entity.ServiceName]int{}

	const n = 10_000

	for i := range n {
		id := entity.RequestID(fmt.Sprint("request-", i))
		service := r.ServiceFor(id)
		require.Equal(t, service, r.ServiceFor(id), "the service depends on the request ID only")
		count[service]++
	}

	require.InDelta(t, 0.1, float64(count["b"])/n, 0.02)
	require.Empty(t, catalog.Route{}.ServiceFor("x"))
}
