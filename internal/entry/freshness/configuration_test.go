package freshness_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	configurationBound = 3 * time.Second // from the acknowledgement of a change until it is in force everywhere
	drainBound         = 3 * time.Second // from the acknowledgement that a target leaves until nothing is sent there

	slowLink, fastLink bitrate = 10e6, 200e6
	fastPerCentre              = 2 // hosts of each data centre that have fast links
)

// rate returns the rate of the link of a host.
func (s size) rate(host int) bitrate {
	if host < fastPerCentre*s.centres {
		return fastLink
	}

	return slowLink
}

// configurationOf returns a configuration of the version that has a number of routes with random names.
func configurationOf(r *rand.Rand, version, routes int) string {
	var b strings.Builder

	fmt.Fprintln(&b, version)

	for range routes {
		name := r.Uint32()
		fmt.Fprintf(&b, `{"name":"r-%08x","host":"h%07x.example","path_prefix":"/%08x/","kind":"safe","timeout_ms":1000,"objective_ms":120,`+
			`"priority":2,"service":"app","traffic_split":[],"max_attempts":2,"resumable":false,"gap_target_ms":0},`, name, r.Uint32()>>4, r.Uint32())
	}

	return b.String()
}

// behind returns the number of hosts, without silent ones, that have an older configuration than version.
func (s *simulation) behind(version int) int {
	n := 0

	for _, h := range s.order {
		if !h.silent.Load() && int(h.state.Version()) < version {
			n++
		}
	}

	return n
}

// sentBytes returns the bytes of copies that all hosts have sent, and the most that one has.
func (s *simulation) sentBytes() (total, most int64) {
	for _, h := range s.order {
		total += h.sent.Load()
		most = max(most, h.sent.Load())
	}

	return total, most
}

// TestLargeConfigurationIsInForceEverywhereInTime adds many routes in two changes that follow each other, while a target leaves.
func TestLargeConfigurationIsInForceEverywhereInTime(t *testing.T) {
	for _, size := range sizes() {
		if size.hosts < 89 {
			continue
		}

		for _, routes := range []int{1400, 5600} {
			for _, gap := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprintf("%d hosts/%d routes/%v", size.hosts, routes, gap), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()

						r := rand.New(rand.NewPCG(5, uint64(size.hosts)))
						s := newLinkedSimulation(ctx, size.hosts, size.centres, r, size.bound/5, size.rate)

						time.Sleep(20 * time.Second)

						s.store.put("config", "main", configurationOf(r, 2, routes))
						time.Sleep(gap)
						s.store.put("config", "main", configurationOf(r, 3, routes))

						changed := time.Now()

						s.store.remove("servers", "t0")

						for s.behind(3) > 0 && time.Since(changed) < configurationBound {
							time.Sleep(10 * time.Millisecond)
						}

						everywhere := time.Now()

						time.Sleep(time.Until(changed.Add(min(configurationBound, drainBound))))
						behind, believing := s.behind(3), s.believing(entity.TargetID("t0"))

						total, most := s.sentBytes()
						t.Logf("in force everywhere after %v; copies of %d bytes in all, %d by one host", everywhere.Sub(changed), total, most)

						cancel()
						synctest.Wait()
						time.Sleep(time.Minute)
						require.Zero(t, behind, "hosts with an older configuration")
						require.Zero(t, believing, "hosts that still send to a target that has left")
					})
				})
			}
		}
	}
}

// TestLargeConfigurationReachesHostsWhoseSendersFallSilent silences one reader of the store in each data centre for good and one host in
// four for a second, while copies are on their way.
func TestLargeConfigurationReachesHostsWhoseSendersFallSilent(t *testing.T) {
	for _, size := range sizes() {
		if size.hosts < 89 {
			continue
		}

		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				r := rand.New(rand.NewPCG(6, uint64(size.hosts)))
				s := newLinkedSimulation(ctx, size.hosts, size.centres, r, size.bound/5, size.rate)

				time.Sleep(20 * time.Second)

				s.store.put("config", "main", configurationOf(r, 2, 1400))
				time.Sleep(200 * time.Millisecond)

				changed, lost := time.Now(), map[entity.DataCentre]bool{}

				for _, h := range s.order {
					if h.reads() && !lost[h.home] {
						lost[h.home] = true
						h.silent.Store(true)
					} else if r.IntN(4) == 0 {
						h.silent.Store(true)
						time.AfterFunc(time.Second, func() { h.silent.Store(false) })
					}
				}

				time.Sleep(time.Until(changed.Add(configurationBound)))

				behind := s.behind(2)

				cancel()
				synctest.Wait()
				time.Sleep(time.Minute)
				require.Zero(t, behind, "hosts with an older configuration")
			})
		})
	}
}
