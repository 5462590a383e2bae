package authority_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// maxSkew is the largest relative error of a host's clock rate, which Options.Margin must cover.
const maxSkew = 0.05

// TestNeverTwoHolders checks under random faults and clock rates that at most one host holds the lease.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(3, authority.Options{})
		fence := entity.Fence(0)

		for _, h := range s.hosts {
			h.rate = rapid.Float64Range(1-maxSkew, 1+maxSkew).Draw(t, "rate")
		}

		check := func() {
			require.LessOrEqual(t, len(s.holders()), 1, "more than one holder at %s", s.now)
			require.GreaterOrEqual(t, s.record.Fence, fence)
			fence = s.record.Fence
		}

		pick := func(t *rapid.T) *host {
			return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
		}

		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps"))*step, check)
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

// TestTimeWithoutAuthority kills the holder at different times between two renewals and bounds the time until
// another host holds the lease.
func TestTimeWithoutAuthority(t *testing.T) {
	bound := authority.DefaultLease + authority.DefaultRenew
	worst := time.Duration(0)

	for trial := range 1200 {
		s := &sim{started: trial % 20 * 3}
		s.start("")
		s.start("")
		s.start("")
		s.run(20*time.Second+time.Duration(trial/20)*step, func() {})
		require.Len(t, s.holders(), 1)

		s.holders()[0].dead = true
		killed := s.now

		for len(s.holders()) == 0 && s.now-killed < time.Minute {
			s.run(step, func() {})
		}

		worst = max(worst, s.now-killed)
	}

	t.Logf("longest time without authority after a kill: %s, bound %s", worst, bound)
	require.LessOrEqual(t, worst, bound)
}

// TestTimeWithoutAuthorityAfterStop bounds the time until another host holds a lease that was released.
func TestTimeWithoutAuthorityAfterStop(t *testing.T) {
	s := newSim(3, authority.Options{})
	s.run(20*time.Second, func() {})

	s.holders()[0].tick.Stopping = true
	stopped := s.now

	for s.record.Fence < 2 && s.now-stopped < time.Minute {
		s.run(step, func() {})
	}

	t.Logf("time without authority after a stop: %s", s.now-stopped)
	require.LessOrEqual(t, s.now-stopped, authority.DefaultPoll+time.Second)
	require.Empty(t, s.record.Former)
}

// TestCallsPerSecond bounds the rate of platform calls for the lease of a data centre of 66 hosts.
func TestCallsPerSecond(t *testing.T) {
	const (
		hosts     = 66
		standbys  = 3
		perSecond = 2.0
	)

	s := newSim(hosts, authority.Options{})

	ids := make([]entity.HostID, len(s.hosts))
	for i, h := range s.hosts {
		ids[i] = h.id
	}

	standbyIDs := authority.Standbys("krakow", ids, standbys)
	require.Len(t, standbyIDs, standbys)

	for _, h := range s.hosts {
		h.tick.Standby = slices.Contains(standbyIDs, h.id)
	}

	s.run(time.Minute, func() {})

	before := s.calls
	s.run(10*time.Minute, func() {})

	got := float64(s.calls-before) / (10 * time.Minute).Seconds()
	t.Logf("platform calls for the lease: %.2f/s, bound %.1f/s", got, perSecond)
	require.Less(t, got, perSecond)
}

// TestFormerHolders pauses the holder until another host takes over, and checks when the former holder is
// cleared.
func TestFormerHolders(t *testing.T) {
	tests := []struct {
		name string
		act  func(s *sim, h *host)
		want bool // the former holder is cleared
	}{
		{"still paused", func(*sim, *host) {}, false},
		{"resumes with no order on its way", func(_ *sim, h *host) { h.paused = false }, true},
		{"resumes with an order on its way", func(_ *sim, h *host) { h.paused, h.tick.NoOrdersInFlight = false, false }, false},
		{"host list says gone", func(s *sim, h *host) {
			for _, o := range s.hosts {
				o.tick.HostGone = func(address string) bool { return address == string(h.id) }
			}
		}, true},
		{"new process at its address", func(s *sim, h *host) { h.dead = true; s.start(string(h.id)) }, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(3, authority.Options{})
			s.run(20*time.Second, func() {})

			former := s.holders()[0]
			former.paused = true
			s.run(20*time.Second, func() {})
			require.False(t, s.record.Cleared(1))

			tt.act(s, former)
			s.run(authority.DefaultConnectionLifetime+10*time.Second, func() {})
			require.Equal(t, tt.want, s.record.Cleared(1))

			for _, h := range s.holders() {
				require.Equal(t, tt.want, h.Lease().Record.Cleared(1))
			}
		})
	}
}
