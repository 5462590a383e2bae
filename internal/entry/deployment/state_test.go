package deployment_test

import (
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/entry/deployment"
	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

var now = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// newState returns a State whose configurations are encoded as their version, and its targets as their address. The
// address may be followed by plus signs; an empty value cannot be decoded.
func newState() *deployment.State {
	return deployment.New(deployment.Options{
		Log: &log.Logger{Level: log.PanicLevel}, ConfigName: "main",
		DecodeCatalog: func(value []byte) (*catalog.Catalog, error) {
			n, err := strconv.ParseUint(string(value), 10, 64)

			return catalog.Build(catalog.Version(n), catalog.Limits{}, nil, nil), err
		},
		DecodeTarget: func(e storewatch.Entry) (fleet.Target, error) {
			if len(e.Value) == 0 {
				return fleet.Target{}, errors.New("foreign")
			}

			return fleet.Target{ID: entity.TargetID(e.Name), Instance: e.Name, Service: "s", Address: strings.TrimRight(string(e.Value), "+")}, nil
		},
	})
}

// importCopy imports encoded into s, whatever it changes.
func importCopy(s *deployment.State, now time.Time, encoded []byte, from string) error {
	_, err := s.Import(now, encoded, from)

	return err
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	s := newState()
	require.Zero(t, s.Version())
	require.False(t, s.Ready())

	put := func(value string) {
		s.Configurations().Changed(now, []storewatch.Change{{Entry: storewatch.Entry{Name: "main", Value: []byte(value)}}}, 1)
	}

	put("7")
	put("5")
	require.Equal(t, catalog.Version(7), s.Version())

	put("broken")
	require.Equal(t, catalog.Version(7), s.Version(), "a configuration that cannot be decoded changes nothing")

	s.Configurations().Replaced(now, []storewatch.Entry{{Name: "main", Value: []byte("4")}, {Name: "other", Value: []byte("9")}}, 2)
	require.Equal(t, catalog.Version(7), s.Version())

	s.Configurations().Changed(now, []storewatch.Change{{Deleted: true, Entry: storewatch.Entry{Name: "main"}}}, 3)
	require.Equal(t, catalog.Version(7), s.Version())
}

func TestUndecodableEntriesDoNotAffectOthers(t *testing.T) {
	s := newState()
	s.Targets().Replaced(now, []storewatch.Entry{{Name: "good", Value: []byte("x")}, {Name: "bad"}}, 1)
	require.Len(t, s.Fleet().Of("s"), 1)

	// An entry that can no longer be decoded, as after a write by another program, loses its target.
	s.Targets().Changed(now, []storewatch.Change{{Entry: storewatch.Entry{Name: "good", Revision: 2}}}, 2)
	require.Empty(t, s.Fleet().Of("s"))
}

func TestHostWithAnEmptyListIsReady(t *testing.T) {
	s := newState()
	s.Adopt([]byte("1"), "peer")
	require.False(t, s.Ready(), "no list of targets yet")

	s.Targets().Replaced(now, nil, 1)
	require.True(t, s.Ready())
}

func TestUnavailableStoreKeepsTheTargets(t *testing.T) {
	s := newState()
	s.Targets().Replaced(now, []storewatch.Entry{{Name: "a", Value: []byte("x")}}, 1)
	s.Targets().Unavailable(now, errors.New("down"))
	s.Tick(now.Add(time.Hour))
	require.Len(t, s.Fleet().Of("s"), 1)

	back := now.Add(time.Hour)
	s.Targets().Returned(back, time.Hour)
	s.Targets().Replaced(back, nil, 2)
	require.Len(t, s.Fleet().Of("s"), 1, "the replica may be registering again")

	s.Tick(back.Add(3 * time.Second))
	require.Empty(t, s.Fleet().Of("s"))
}

func TestUnconfirmedRemovalIsNotAdvertised(t *testing.T) {
	s := newState()
	s.Targets().Replaced(now, []storewatch.Entry{{Name: "a", Value: []byte("x")}}, 5)
	require.Equal(t, uint64(5), s.ConfirmedRevision())

	s.Targets().Unavailable(now, errors.New("down"))
	require.False(t, s.StoreReachable())

	s.Targets().Returned(now.Add(time.Second), time.Second)
	s.Targets().Replaced(now.Add(time.Second), nil, 9)
	require.True(t, s.StoreReachable())
	require.Equal(t, uint64(5), s.ConfirmedRevision(), "a may be registering again")

	s.Tick(now.Add(4 * time.Second))
	require.Equal(t, uint64(9), s.ConfirmedRevision())
}

func TestImportTakesOnlyNewerCopies(t *testing.T) {
	from, to := newState(), newState()
	from.Adopt([]byte("7"), "store")
	from.Targets().Replaced(now, []storewatch.Entry{{Name: "a", Value: []byte("x")}, {Name: "bad"}}, 5)
	require.Equal(t, peersync.Lag{Configuration: true, Targets: true}, to.Behind(7, 5))

	encoded, err := from.Export(0, 0)
	require.NoError(t, err)
	require.NoError(t, importCopy(to, now, encoded, "peer"))
	require.True(t, to.Ready())
	require.Len(t, to.Fleet().Of("s"), 1)
	require.False(t, to.Behind(7, 5).Any())

	to.Targets().Changed(now, []storewatch.Change{{Entry: storewatch.Entry{Name: "b", Value: []byte("x")}}}, 8)
	require.NoError(t, importCopy(to, now, encoded, "peer"))
	require.Len(t, to.Fleet().Of("s"), 2, "an older copy changes nothing")
	require.Error(t, importCopy(to, now, []byte("{"), "peer"))
}

// entryOf returns an entry whose value ends with n plus signs. The decoder ignores them, so n varies the stored value but
// not the target.
func entryOf(name, value string, n int) storewatch.Entry {
	return storewatch.Entry{Name: name, Value: []byte(value + strings.Repeat("+", n))}
}

// TestRenewedEntryDoesNotAdvanceTheRevision renews entries, as replicas do every few seconds. Peers must not fetch because
// of a renewal.
func TestRenewedEntryDoesNotAdvanceTheRevision(t *testing.T) {
	s := newState()
	s.Targets().Replaced(now, []storewatch.Entry{entryOf("a", "x", 0), entryOf("b", "x", 0)}, 5)
	s.Targets().Changed(now, []storewatch.Change{{Entry: entryOf("a", "x", 1)}}, 6)
	s.Targets().Changed(now, []storewatch.Change{{Entry: entryOf("b", "x", 1)}, {Entry: entryOf("a", "x", 2)}}, 7)
	require.Equal(t, uint64(5), s.ConfirmedRevision())

	s.Targets().Changed(now, []storewatch.Change{{Entry: entryOf("a", "y", 1)}}, 8)
	require.Equal(t, uint64(8), s.ConfirmedRevision())
}

// TestDeltaHoldsOnlyLaterChanges checks the copy for a peer that has an earlier revision.
func TestDeltaHoldsOnlyLaterChanges(t *testing.T) {
	from := newState()
	from.Adopt([]byte("7"), "store")
	from.Targets().Replaced(now, []storewatch.Entry{entryOf("a", "x", 0), entryOf("b", "x", 0), entryOf("c", "x", 0)}, 5)
	from.Targets().Changed(now, []storewatch.Change{{Entry: entryOf("b", "y", 0)}, {Deleted: true, Entry: storewatch.Entry{Name: "c"}}}, 8)

	encoded, err := from.Export(7, 5)
	require.NoError(t, err)

	var c deployment.Copy

	require.NoError(t, json.Unmarshal(encoded, &c))
	require.NotNil(t, c.Checksum)

	c.Checksum = nil
	require.Equal(t, deployment.Copy{Since: 5, Revision: 8, Targets: map[string][]byte{"b": []byte("y")}, Removed: []string{"c"}}, c)
}

// TestManyRemovalsLeadToAFullCopy removes more entries than a host keeps for deltas, so a delta lacks a removal and does
// not match its checksum.
func TestManyRemovalsLeadToAFullCopy(t *testing.T) {
	from, to := newState(), newState()
	from.Targets().Replaced(now, []storewatch.Entry{entryOf("a", "x", 0), entryOf("b", "x", 0)}, 1)

	encoded, err := from.Export(0, 0)
	require.NoError(t, err)
	require.NoError(t, importCopy(to, now, encoded, "peer"))

	revision := uint64(2)
	from.Targets().Changed(now, []storewatch.Change{{Deleted: true, Entry: storewatch.Entry{Name: "b"}}}, revision)

	for i := range 2000 {
		name := "n" + strconv.Itoa(i)
		from.Targets().Changed(now, []storewatch.Change{{Entry: entryOf(name, "x", 0)}}, revision+1)
		from.Targets().Changed(now, []storewatch.Change{{Deleted: true, Entry: storewatch.Entry{Name: name}}}, revision+2)
		revision += 2
	}

	// The first fetch may return a delta that lacks the removal of b; in that case the second is full.
	for range 2 {
		encoded, err = from.Export(to.Position())
		require.NoError(t, err)
		require.NoError(t, importCopy(to, now, encoded, "peer"))
	}

	require.Len(t, to.Fleet().Of("s"), 1)
	require.False(t, to.Behind(0, revision).Any())
}

// TestFedHostsKnowWhatTheStoreHolds changes the store at random. Two hosts read the store, each at random times; the other
// two fetch copies from a random host. A host that advertises a revision must have exactly the targets of that revision.
func TestFedHostsKnowWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			stored   = map[string]string{}
			written  = map[string]uint64{}     // revision of each entry's last write
			states   = []map[string]string{{}} // stored values by revision
			readers  = []*deployment.State{newState(), newState()}
			read     = make([]uint64, len(readers)) // revision up to which each reader has read
			hosts    = []*deployment.State{readers[0], readers[1], newState(), newState()}
			names    = rapid.SampledFrom([]string{"a", "b", "c", "d"})
			anyHost  = rapid.IntRange(0, len(hosts)-1)
			anyFed   = rapid.IntRange(len(readers), len(hosts)-1)
			changes  = map[uint64]storewatch.Change{} // by revision
			revision = func() uint64 { return uint64(len(states) - 1) }
		)

		write := func(ch storewatch.Change) {
			if ch.Deleted {
				delete(stored, ch.Name)
			} else {
				stored[ch.Name] = string(ch.Value)
			}

			states = append(states, maps.Clone(stored))
			changes[revision()] = ch
			written[ch.Name] = revision()
		}

		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				write(storewatch.Change{Entry: entryOf(names.Draw(t, "name"), rapid.SampledFrom([]string{"x", "y", ""}).Draw(t, "value"), rapid.IntRange(0, 2).Draw(t, "n"))})
			},
			"delete": func(t *rapid.T) {
				write(storewatch.Change{Deleted: true, Entry: storewatch.Entry{Name: names.Draw(t, "name")}})
			},
			"watch": func(t *rapid.T) {
				i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")

				var missed []storewatch.Change
				for r := read[i] + 1; r <= revision(); r++ {
					missed = append(missed, changes[r])
				}

				read[i] = revision()
				readers[i].Targets().Changed(now, missed, revision())
			},
			"list": func(t *rapid.T) {
				i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")

				var list []storewatch.Entry
				for name, value := range stored {
					list = append(list, storewatch.Entry{Name: name, Revision: written[name], Value: []byte(value)})
				}

				read[i] = revision()
				readers[i].Targets().Replaced(now, list, revision())
			},
			"feed": func(t *rapid.T) {
				from, to := hosts[anyHost.Draw(t, "from")], hosts[anyFed.Draw(t, "to")]

				encoded, err := from.Export(to.Position())
				require.NoError(t, err)
				require.NoError(t, importCopy(to, now, encoded, "peer"))
			},
			"": func(t *rapid.T) {
				for i, h := range hosts[len(readers):] {
					at := h.ConfirmedRevision()
					want := map[string]string{}

					for name, value := range states[at] {
						if value != "" {
							want[name] = strings.TrimRight(value, "+")
						}
					}

					got := map[string]string{}
					for _, target := range h.Fleet().Of("s") {
						got[string(target.ID)] = target.Address
					}

					require.Equal(t, want, got, "host %d at revision %d", i, at)
				}
			},
		})
	})
}

func TestAnswerOlderThanAPeersCopyDoesNotUndoIt(t *testing.T) {
	from, to := newState(), newState()
	list := []storewatch.Entry{entryOf("a", "x", 0), entryOf("b", "x", 0)}
	from.Targets().Replaced(now, list, 5)
	to.Targets().Replaced(now, list, 5)

	from.Targets().Changed(now, []storewatch.Change{{Entry: entryOf("a", "y", 0)}}, 6)
	from.Targets().Changed(now, []storewatch.Change{{Deleted: true, Entry: storewatch.Entry{Name: "b"}}}, 8)

	encoded, err := from.Export(to.Position())
	require.NoError(t, err)

	changed, err := to.Import(now, encoded, "peer")
	require.NoError(t, err)
	require.Equal(t, peersync.Lag{Targets: true}, changed)

	// The answer of the host's own watch was under way meanwhile.
	to.Targets().Changed(now, []storewatch.Change{{Entry: entryOf("a", "z", 0)}, {Entry: entryOf("b", "z", 0)}}, 7)
	require.Equal(t, uint64(8), to.ConfirmedRevision())
	require.Len(t, to.Fleet().Of("s"), 1)
	require.Equal(t, "y", to.Fleet().Of("s")[0].Address)

	to.Targets().Changed(now, []storewatch.Change{{Entry: entryOf("b", "z", 0)}}, 9)
	require.Len(t, to.Fleet().Of("s"), 2)
}

func TestPeersConfirmWhatThisHostBelieves(t *testing.T) {
	s := newState()
	s.Adopt([]byte("7"), "peer")

	configuration, targets := s.Ages(now)
	require.Negative(t, configuration)
	require.Negative(t, targets)

	s.Targets().Replaced(now, nil, 5)

	later := now.Add(10 * time.Second)
	s.ConfirmedByPeer(later, 7, 5, time.Second, 2*time.Second)

	configuration, targets = s.Ages(later)
	require.Equal(t, time.Second, configuration)
	require.Equal(t, 2*time.Second, targets)

	s.ConfirmedByPeer(later, 6, 4, 0, 0)
	s.ConfirmedByPeer(later, 7, 5, -1, 5*time.Second)

	configuration, targets = s.Ages(later)
	require.Equal(t, time.Second, configuration, "a peer with another version confirms nothing")
	require.Equal(t, 2*time.Second, targets)
}

// TestChecksumIsThatOfEarlierBuilds compares with the text that hosts of earlier builds hash.
func TestChecksumIsThatOfEarlierBuilds(t *testing.T) {
	target := fleet.Target{
		ID: "i@5", Instance: "i", Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 64, Role: entity.Decode, Version: "v1.2",
	}
	s := deployment.New(deployment.Options{
		Log: &log.Logger{Level: log.PanicLevel}, ConfigName: "main",
		DecodeTarget: func(storewatch.Entry) (fleet.Target, error) { return target, nil },
	})
	s.Targets().Replaced(now, []storewatch.Entry{{Name: "i", Value: []byte("x")}}, 5)

	encoded, err := s.Export(0, 0)
	require.NoError(t, err)

	var c deployment.Copy

	require.NoError(t, json.Unmarshal(encoded, &c))

	const hashed = "i {ID:i@5 Instance:i Service:s Address:10.0.0.1:80 DataCentre:z Slots:64 Leaving:false Role:decode}"

	require.Equal(t, xxhash.Sum64String(hashed), *c.Checksum)
}

func TestChangedVersionOfATargetReachesPeers(t *testing.T) {
	version := entity.SoftwareVersion("v1")
	s := deployment.New(deployment.Options{
		Log: &log.Logger{Level: log.PanicLevel}, ConfigName: "main",
		DecodeTarget: func(e storewatch.Entry) (fleet.Target, error) {
			return fleet.Target{ID: "i", Instance: e.Name, Service: "s", Version: version}, nil
		},
	})
	s.Targets().Replaced(now, []storewatch.Entry{{Name: "i", Value: []byte("x")}}, 5)

	version = "v2"
	s.Targets().Changed(now, []storewatch.Change{{Entry: storewatch.Entry{Name: "i", Value: []byte("y")}}}, 6)
	require.Equal(t, uint64(6), s.ConfirmedRevision())
	require.Equal(t, map[entity.ServiceName][]entity.SoftwareVersion{"s": {"v2"}}, s.Fleet().Versions())
}
