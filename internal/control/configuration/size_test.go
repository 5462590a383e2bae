package configuration_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	designAccounts = 5600
	designTargets  = 700
	memoryBudget   = 32 << 20 // heap that the configuration may take on an entry host, in bytes
)

// editOfDesignSize returns an edit of an empty configuration that adds as many accounts and engines as the
// system is designed for.
func editOfDesignSize(t testing.TB) configuration.Edit {
	t.Helper()

	return editOfSize(t, designAccounts, designTargets)
}

// editOfSize returns an edit of an empty configuration that adds a template, the accounts and the engines.
func editOfSize(t testing.TB, accounts, engines int) configuration.Edit {
	t.Helper()

	var targets strings.Builder

	targets.WriteString("targets:\n")

	for i := range engines {
		fmt.Fprintf(&targets, "  - {id: engine-%d, type: engine, data-centre: dc-%d, address: \"127.0.0.1:%d\", model: m, slots: 16}\n", i, i%5, i+1)
	}

	texts := []string{template, targets.String()}
	for i := range accounts {
		texts = append(texts, account(fmt.Sprintf("account-%d", i), 8))
	}

	return edit(t, "0000", 0, texts...)
}

// TestDesignSize checks that, at the design size, each object fits the platform's limit and the configuration
// fits the memory budget.
func TestDesignSize(t *testing.T) {
	store := standin.NewStore(clockwork.NewRealClock())
	_, err := newEditor(store.View()).Apply(t.Context(), editOfDesignSize(t))
	require.NoError(t, err)

	objects, err := store.View().List(t.Context(), "config/")
	require.NoError(t, err)

	largest, total := 0, 0
	for _, o := range objects {
		total += len(o.Value)
		largest = max(largest, len(o.Value))
	}

	require.Less(t, largest, platform.MaxValueBytes)

	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	c, err := configuration.Read(t.Context(), store.View(), nil)
	require.NoError(t, err)

	size := len(c.Export())

	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int(after.HeapAlloc-before.HeapAlloc), memoryBudget)
	require.Len(t, c.Snapshot().Accounts, designAccounts)

	head, err := store.View().Get(t.Context(), configuration.HeadKey)
	require.NoError(t, err)
	t.Logf("%d objects of %d B, head %d B, largest shard %d B, export for a peer %d B, %d KB of heap",
		len(objects), total, len(head.Value), largest, size, (after.HeapAlloc-before.HeapAlloc)>>10)
}

// BenchmarkFollowChange measures the cost of reading one change of an account on an entry host, by the
// number of accounts, and reports the heap of the configuration.
func BenchmarkFollowChange(b *testing.B) {
	for _, accounts := range []int{700, 1400, 2800, 5600} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var before, after runtime.MemStats

			store := standin.NewStore(clockwork.NewRealClock())
			ed := newEditor(store.View())

			g, err := ed.Apply(b.Context(), editOfSize(b, accounts, designTargets))
			require.NoError(b, err)

			runtime.GC()
			runtime.ReadMemStats(&before)

			c, err := configuration.Read(b.Context(), store.View(), nil)
			require.NoError(b, err)

			runtime.GC()
			runtime.ReadMemStats(&after)

			for i := 0; b.Loop(); i++ {
				b.StopTimer()

				g, err = ed.Apply(b.Context(), edit(b, fmt.Sprintf("%06d", i), g, account("account-1", i)))
				require.NoError(b, err)
				b.StartTimer()

				c, err = configuration.Read(b.Context(), store.View(), c)
				require.NoError(b, err)
			}

			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
		})
	}
}

// BenchmarkHeartbeat measures how long a Follower takes for one second of heartbeats of 330 hosts and ticks.
func BenchmarkHeartbeat(b *testing.B) {
	const hosts, ticks = 330, 10

	now := time.Unix(0, 0)
	f := configuration.NewFollower(now, rand.New(rand.NewPCG(1, 1)))
	c, err := configuration.Read(b.Context(), standin.NewStore(clockwork.NewRealClock()).View(), nil)
	require.NoError(b, err)

	ids := make([]entity.HostID, hosts)
	for i := range ids {
		ids[i] = entity.HostID(fmt.Sprintf("host-%d", i))
	}

	f.Handle(now, configuration.PlatformRead{Contents: c})

	for b.Loop() {
		for _, id := range ids {
			f.Handle(now, configuration.PeerHeartbeat{Host: id})
		}

		for range ticks {
			now = now.Add(time.Second / ticks)
			f.Tick(now)
		}
	}
}

// BenchmarkImport measures the import of a peer's export at the design size.
func BenchmarkImport(b *testing.B) {
	store := standin.NewStore(clockwork.NewRealClock())
	_, err := newEditor(store.View()).Apply(b.Context(), editOfDesignSize(b))
	require.NoError(b, err)

	c, err := configuration.Read(b.Context(), store.View(), nil)
	require.NoError(b, err)

	for b.Loop() {
		_, err := configuration.Import(c.Export())
		require.NoError(b, err)
	}
}

// FuzzImport checks that Import does not crash on arbitrary input and that what it accepts survives a round
// trip through Export.
func FuzzImport(f *testing.F) {
	store := standin.NewStore(clockwork.NewRealClock())
	_, err := newEditor(store.View()).Apply(f.Context(), edit(f, "0000", 0, template, account("a", 1)))
	require.NoError(f, err)

	c, err := configuration.Read(f.Context(), store.View(), nil)
	require.NoError(f, err)
	f.Add(c.Export())
	f.Add(c.Export()[:40])

	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := configuration.Import(data)
		if err != nil {
			return
		}

		again, err := configuration.Import(c.Export())
		require.NoError(t, err)
		require.Equal(t, c.Snapshot().Config, again.Snapshot().Config)
	})
}
