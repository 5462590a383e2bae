package site_test

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/follow"
	"github.com/dotterelflow/dotterelflow/internal/entry/site"
)

var now = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func newSite() *site.Site {
	return site.New(site.Options{
		Log: &log.Logger{Level: log.PanicLevel}, ConfigName: "main",
		DecodeCatalog: func(value []byte) (*catalog.Catalog, error) {
			n, err := strconv.ParseUint(string(value), 10, 64)

			return catalog.Build(catalog.Version(n), catalog.Limits{}, nil, nil), err
		},
		DecodeTarget: func(e follow.Entry) (fleet.Target, error) {
			if len(e.Value) == 0 {
				return fleet.Target{}, errors.New("foreign")
			}

			return fleet.Target{ID: table.TargetID(e.Name), Instance: e.Name, Service: "s"}, nil
		},
	})
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := newSite()
	require.Zero(t, s.Version())
	require.False(t, s.Ready())

	put := func(value string) {
		s.Configurations().Changed(now, []follow.Change{{Entry: follow.Entry{Name: "main", Value: []byte(value)}}}, 1)
	}

	put("7")
	put("5")
	require.Equal(t, catalog.Version(7), s.Version())

	put("broken")
	require.Equal(t, catalog.Version(7), s.Version(), "one that is not understood changes nothing")

	s.Configurations().Replaced(now, []follow.Entry{{Name: "main", Value: []byte("4")}, {Name: "other", Value: []byte("9")}}, 2)
	require.Equal(t, catalog.Version(7), s.Version())

	s.Configurations().Changed(now, []follow.Change{{Deleted: true, Entry: follow.Entry{Name: "main"}}}, 3)
	require.Equal(t, catalog.Version(7), s.Version())
}

func TestEntriesThatNameNoTargetLeaveTheOthers(t *testing.T) {
	s := newSite()
	s.Targets().Replaced(now, []follow.Entry{{Name: "good", Value: []byte("x")}, {Name: "bad"}}, 1)
	require.Len(t, s.Fleet().Of("s"), 1)

	// An entry that another writer spoils is no replica to use any more.
	s.Targets().Changed(now, []follow.Change{{Entry: follow.Entry{Name: "good", Revision: 2}}}, 2)
	require.Empty(t, s.Fleet().Of("s"))
}

func TestHostWithAnEmptyListIsReady(t *testing.T) {
	s := newSite()
	s.Adopt([]byte("1"), "peer")
	require.False(t, s.Ready(), "no list of targets yet")

	s.Targets().Replaced(now, nil, 1)
	require.True(t, s.Ready())
}

func TestAbsenceOfTheStoreKeepsTheTargets(t *testing.T) {
	s := newSite()
	s.Targets().Replaced(now, []follow.Entry{{Name: "a", Value: []byte("x")}}, 1)
	s.Targets().Lost(now, errors.New("down"))
	s.Tick(now.Add(time.Hour))
	require.Len(t, s.Fleet().Of("s"), 1)

	back := now.Add(time.Hour)
	s.Targets().Replaced(back, nil, 2)
	require.Len(t, s.Fleet().Of("s"), 1, "it may be registering again")

	s.Tick(back.Add(3 * time.Second))
	require.Empty(t, s.Fleet().Of("s"))
}

func TestPeersAreNotToldOfAnEndThatIsNotCertain(t *testing.T) {
	s := newSite()
	s.Targets().Replaced(now, []follow.Entry{{Name: "a", Value: []byte("x")}}, 5)
	require.Equal(t, uint64(5), s.Revision())

	s.Targets().Lost(now, errors.New("down"))
	require.False(t, s.Answered())

	s.Targets().Replaced(now.Add(time.Second), nil, 9)
	require.True(t, s.Answered())
	require.Equal(t, uint64(5), s.Revision(), "a may be registering again")

	s.Tick(now.Add(4 * time.Second))
	require.Equal(t, uint64(9), s.Revision())
}

func TestCopyOfAPeerIsTakenIfItIsNewer(t *testing.T) {
	from, to := newSite(), newSite()
	from.Adopt([]byte("7"), "store")
	from.Targets().Replaced(now, []follow.Entry{{Name: "a", Value: []byte("x")}, {Name: "bad"}}, 5)
	require.True(t, to.Behind(7, 5))

	encoded, err := from.Export()
	require.NoError(t, err)
	require.NoError(t, to.Import(now, encoded, "peer"))
	require.True(t, to.Ready())
	require.Len(t, to.Fleet().Of("s"), 1)
	require.False(t, to.Behind(7, 5))

	to.Targets().Changed(now, []follow.Change{{Entry: follow.Entry{Name: "b", Value: []byte("x")}}}, 8)
	require.NoError(t, to.Import(now, encoded, "peer"))
	require.Len(t, to.Fleet().Of("s"), 2, "an older copy changes nothing")
	require.Error(t, to.Import(now, []byte("{"), "peer"))
}
