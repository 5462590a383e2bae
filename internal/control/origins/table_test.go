package origins_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestRecordOfAStreamIsFoundUntilItExpires(t *testing.T) {
	table := origins.NewTable()
	stream := origins.StreamIDOf("s", "q")
	table.Set(start, stream, "v1")

	o, ok := table.Find(start.Add(time.Second), stream)
	require.True(t, ok)
	require.Equal(t, entity.SoftwareVersion("v1"), o.Version)
	require.Equal(t, time.Second, o.Age)

	_, ok = table.Find(start.Add(time.Second), origins.StreamIDOf("other", "q"))
	require.False(t, ok, "a request may begin streams of several services")

	_, ok = table.Find(start.Add(origins.Lifetime), stream)
	require.False(t, ok)
}

func TestTheLastVersionBeforeTheFirstEventHolds(t *testing.T) {
	origin, peer := origins.NewTable(), origins.NewTable()
	first := origin.Set(start, 1, "v1")
	second := origin.Set(start.Add(time.Millisecond), 1, "v2")

	require.True(t, peer.Merge(start, second))
	require.False(t, peer.Merge(start.Add(time.Second), first), "messages may overtake each other")

	o, _ := peer.Find(start.Add(time.Second), 1)
	require.Equal(t, entity.SoftwareVersion("v2"), o.Version)
}

func TestTableIsBounded(t *testing.T) {
	table := origins.NewTable()
	for i := range 100_000 {
		table.Merge(start, origins.Record{Stream: origins.StreamID(i), Version: "v", Left: time.Second})
	}

	require.LessOrEqual(t, table.Len(), 16_384)
}

func TestRecordsArriveInAnyOrderWithOneResult(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) origins.Record {
			change := rapid.IntRange(0, 3).Draw(rt, "change")

			return origins.Record{
				Stream: 1, Change: uint32(change), Version: entity.SoftwareVersion(fmt.Sprint("v", change)),
				Left: time.Duration(rapid.IntRange(1, 60).Draw(rt, "left")) * time.Second,
			}
		}), 1, 6).Draw(rt, "records")

		find := func(order []origins.Record) entity.SoftwareVersion {
			table := origins.NewTable()
			for _, r := range order {
				table.Merge(start, r)
			}

			o, _ := table.Find(start, 1)

			return o.Version
		}

		if one, other := find(records), find(rapid.Permutation(records).Draw(rt, "order")); one != other {
			rt.Fatalf("%s and %s", one, other)
		}
	})
}
