package authority_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// usage records which host has held the lease under each fencing number.
type usage struct {
	by   map[entity.Fence]entity.HostID
	last entity.Fence // highest fencing number that was used
}

// check records the holders of s, and fails if two hosts have used a number or a lower one is used after a higher one.
func (u *usage) check(t require.TestingT, s *sim) {
	holders := s.holders()
	require.LessOrEqual(t, len(holders), 1, "more than one holder at %s", s.now)

	for _, h := range holders {
		fence := h.Lease().Fence
		require.GreaterOrEqual(t, fence, u.last, "%s uses a lower number at %s", h.id, s.now)

		if by, ok := u.by[fence]; ok {
			require.Equal(t, by, h.id, "two hosts use fence %d at %s", fence, s.now)
		}

		u.by[fence], u.last = h.id, fence
	}
}

func newUsage() *usage { return &usage{by: map[entity.Fence]entity.HostID{}} }

// TestNoFenceIsUsedTwiceThroughDrillsOfTheStore guards against two holders with one fencing number, or at one time, once the store has lost
// the last records of the lease.
func TestNoFenceIsUsedTwiceThroughDrillsOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3, authority.Options{FirstStart: rapid.Bool().Draw(t, "first start")})
		s.opts.FirstStart = false
		s.version = platform.VersionAt(1, 0)
		u := newUsage()

		for _, h := range s.hosts {
			h.rate = rapid.Float64Range(1-maxSkew, 1+maxSkew).Draw(t, "rate")
		}

		pick := func(t *rapid.T) *host {
			return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
		}

		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps"))*step, func() { u.check(t, s) })
			},
			"drill": func(t *rapid.T) {
				s.drill(time.Duration(rapid.IntRange(0, 80).Draw(t, "age")) * step)
			},
			"stop": func(t *rapid.T) {
				h := pick(t)
				h.tick.Stopping = true
				s.start("")
			},
			"pause":     func(t *rapid.T) { h := pick(t); h.paused = !h.paused },
			"partition": func(t *rapid.T) { h := pick(t); h.down = !h.down },
			"lose":      func(t *rapid.T) { h := pick(t); h.lose = !h.lose },
			"delay": func(t *rapid.T) {
				pick(t).delay = time.Duration(rapid.IntRange(0, 120).Draw(t, "delay")) * step
			},
			"restart": func(t *rapid.T) {
				h := pick(t)
				h.dead = true
				s.hosts = slices.DeleteFunc(s.hosts, func(o *host) bool { return o == h })
				s.start(string(h.id))
			},
		})
	})
}

// TestFirstHolderWaitsOnlyWhereARecordMayBeLost bounds the time until the first lease of a store that states its era: a record that is missing
// may be one that the store has lost, unless the whole system starts for the first time.
func TestFirstHolderWaitsOnlyWhereARecordMayBeLost(t *testing.T) {
	for name, tt := range map[string]struct {
		era        uint64
		firstStart bool
		drill      bool // right after the start
		from, to   time.Duration
	}{
		"the first start":         {era: 1, firstStart: true, to: time.Second},
		"a store without eras":    {to: time.Second},
		"a later start":           {era: 1, from: authority.DefaultLease, to: authority.DefaultLease + time.Second},
		"a drill after the start": {era: 1, firstStart: true, drill: true, from: authority.DefaultLease, to: authority.DefaultLease + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(3, authority.Options{FirstStart: tt.firstStart})
			s.version = platform.VersionAt(tt.era, 0)

			if tt.drill {
				s.run(2*step, func() {}) // the hosts have read, and none has written

				s.drill(0)
			}

			for len(s.holders()) == 0 && s.now < time.Minute {
				s.run(step, func() {})
			}

			require.GreaterOrEqual(t, s.now, tt.from)
			require.LessOrEqual(t, s.now, tt.to)
			require.Equal(t, tt.from == 0, s.holders()[0].Lease().First)
		})
	}
}

// TestNextHolderAfterADrillUsesAHigherFence guards against the number of a holder whose record the store has lost.
func TestNextHolderAfterADrillUsesAHigherFence(t *testing.T) {
	for name, era := range map[string]uint64{"the first drill": 1, "a later one": 7, "a store that began to state its era": 0} {
		t.Run(name, func(t *testing.T) {
			s := newSim(3, authority.Options{})
			s.version = platform.VersionAt(era, 0)
			u := newUsage()
			check := func() { u.check(t, s) }

			s.run(20*time.Second, check)

			// The holder hands over, the next one sends calls, and the store comes back from a copy of before. All hosts that knew of the
			// second holder are replaced at that moment.
			first := s.holders()[0]
			first.tick.Stopping = true
			s.run(3*time.Second, check)

			second := s.holders()[0]
			require.NotEqual(t, first.id, second.id)
			require.Greater(t, second.Lease().Fence, first.Lease().Fence)

			s.drill(4 * time.Second)

			for _, h := range s.hosts {
				h.dead = true
			}

			for range 3 {
				s.start("")
			}

			s.run(20*time.Second, check)
			require.Len(t, s.holders(), 1)
			require.Equal(t, era+1, s.holders()[0].Lease().Fence.Era())
		})
	}
}

// TestHolderKeepsTheLeaseThroughADrill guards against a time without a holder after each drill: the holder whose lease has not ended goes on
// under a new number, though the store names an earlier holder.
func TestHolderKeepsTheLeaseThroughADrill(t *testing.T) {
	s := newSim(3, authority.Options{})
	s.version = platform.VersionAt(1, 0)
	u := newUsage()
	check := func() { u.check(t, s) }

	s.run(20*time.Second, check)

	s.holders()[0].tick.Stopping = true
	s.run(5*time.Second, check)

	holder := s.holders()[0]
	before := holder.Lease().Fence

	s.drill(6 * time.Second)

	// The holder learns of the drill by its next renewal.
	s.run(authority.DefaultRenew+time.Second, check)
	require.Equal(t, []*host{holder}, s.holders())
	require.Greater(t, holder.Lease().Fence, before)
	require.Equal(t, uint64(2), holder.Lease().Fence.Era())

	for _, f := range s.record.Former {
		require.NotEqual(t, holder.id, f.Host)
	}
}
