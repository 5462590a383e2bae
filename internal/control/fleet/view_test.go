package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
)

// renewal is the interval at which replicas renew their entries.
const renewal = 1200 * time.Millisecond

var start = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func target(instance string, run int) fleet.Target {
	return fleet.Target{
		ID: entity.TargetID(fmt.Sprintf("%s@%d", instance, run)), Instance: instance, Service: "s", Address: "10.0.0.1:80", Slots: 1,
	}
}

func instances(t *testing.T, v *fleet.View) []string {
	t.Helper()

	list, changed := v.Take()
	require.True(t, changed)

	names := []string{}
	for _, x := range list {
		names = append(names, x.Instance)
	}

	return names
}

func TestEntryThatLapsedWhileThePlatformWasAwayIsHeldForTwoSeconds(t *testing.T) {
	v := fleet.New(fleet.Options{})
	v.Replace(start, []fleet.Target{target("a", 1), target("b", 1)})
	require.Equal(t, []string{"a", "b"}, instances(t, v))

	back := start.Add(5 * time.Second)
	v.PlatformReturned(back, 5*time.Second)
	v.Replace(back, []fleet.Target{target("a", 1)})
	v.Tick(back.Add(2 * time.Second))

	_, changed := v.Take()
	require.False(t, changed, "b may still be registering again")

	v.Tick(back.Add(3 * time.Second))
	require.Equal(t, []string{"a"}, instances(t, v), "b is gone")
}

func TestEntryRemovedWhileAWatchWasCutIsNotHeld(t *testing.T) {
	v := fleet.New(fleet.Options{RenewalInterval: renewal})
	v.Replace(start, []fleet.Target{target("a", 1), target("b", 1)})
	v.PlatformReturned(start, renewal)
	v.Replace(start, []fleet.Target{target("b", 1)})
	require.Equal(t, []string{"b"}, instances(t, v))

	v.PlatformReturned(start, 2*renewal)
	v.Remove(start, "b")

	_, changed := v.Take()
	require.False(t, changed, "the entry of b may have lapsed")
}

// TestEntryIsNotHeldIfThePlatformServedOthers guards against a host that keeps removed entries after it alone was cut off.
func TestEntryIsNotHeldIfThePlatformServedOthers(t *testing.T) {
	const outage = 5 * time.Second

	back := start.Add(outage)
	tests := map[string]struct {
		span fleet.Span
		held time.Duration // after back; zero: not at all
	}{
		"all the while":                        {fleet.Span{Since: start.Add(-time.Minute), Until: back.Add(-100 * time.Millisecond)}, 0},
		"but for less than entries take":       {fleet.Span{Since: start.Add(renewal), Until: back.Add(-renewal)}, 0},
		"until it was away for long":           {fleet.Span{Since: start.Add(-time.Minute), Until: back.Add(-2 * renewal)}, 2500 * time.Millisecond},
		"from shortly before":                  {fleet.Span{Since: back.Add(-time.Second), Until: back}, 1500 * time.Millisecond},
		"again, and this host since just now":  {fleet.Span{Since: back, Until: back}, 2500 * time.Millisecond},
		"in the meantime, with a long silence": {fleet.Span{Since: start.Add(2 * renewal), Until: start.Add(2 * renewal)}, 2500 * time.Millisecond},
	}

	for name, tt := range tests {
		for _, early := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, known early %v", name, early), func(t *testing.T) {
				v := fleet.New(fleet.Options{RenewalInterval: renewal})
				v.Replace(start, []fleet.Target{target("a", 1), target("b", 1)})
				require.Equal(t, []string{"a", "b"}, instances(t, v))

				if early {
					v.PlatformServed(back, tt.span)
				}

				v.PlatformReturned(back, outage)
				v.Replace(back, []fleet.Target{target("a", 1)})

				if !early {
					v.PlatformServed(back, tt.span)
				}

				if tt.held > 0 {
					v.Tick(back.Add(tt.held - time.Millisecond))

					_, changed := v.Take()
					require.False(t, changed, "b may be registering again")
				}

				v.Tick(back.Add(tt.held))
				require.Equal(t, []string{"a"}, instances(t, v))
			})
		}
	}
}

func TestEntryThatReturnsInTimeIsKept(t *testing.T) {
	v := fleet.New(fleet.Options{})
	v.Replace(start, []fleet.Target{target("a", 1)})
	v.PlatformReturned(start.Add(time.Second), time.Second)
	v.Replace(start.Add(time.Second), nil)
	v.Set(target("a", 1))
	v.Tick(start.Add(time.Minute))
	require.Equal(t, []string{"a"}, instances(t, v))
}

func TestEntryIsRemovedAtOnceWhileThePlatformAnswers(t *testing.T) {
	v := fleet.New(fleet.Options{})
	v.Replace(start, []fleet.Target{target("a", 1), target("b", 1)})
	v.Remove(start.Add(time.Second), "a")
	require.Equal(t, []string{"b"}, instances(t, v))
}

func TestLeavingEntryIsNotHeld(t *testing.T) {
	v := fleet.New(fleet.Options{})
	leaving := target("a", 1)
	leaving.Leaving = true
	v.Replace(start, []fleet.Target{leaving, target("b", 1)})
	v.PlatformReturned(start, time.Second)
	v.Remove(start, "a")
	require.Equal(t, []string{"b"}, instances(t, v))
}

func TestReplicaThatStartsAgainIsAnotherTarget(t *testing.T) {
	v := fleet.New(fleet.Options{})
	v.Set(target("a", 1))
	v.Set(target("a", 2))

	list, _ := v.Take()
	require.Len(t, list, 1)
	require.Equal(t, entity.TargetID("a@2"), list[0].ID)

	s := fleet.NewSnapshot(list)
	_, ok := s.Target("a@1")
	require.False(t, ok)
}

func TestLeavingTargetsGetNoNewWork(t *testing.T) {
	leaving := target("a", 1)
	leaving.Leaving = true

	s := fleet.NewSnapshot([]fleet.Target{leaving, target("b", 1)})
	require.Len(t, s.Of("s"), 1)
	require.Empty(t, (*fleet.Snapshot)(nil).Of("s"))

	_, ok := s.Target("a@1")
	require.True(t, ok, "requests in flight on a leaving target continue")
}

// TestViewFollowsTheList applies random changes, list reads and outages of the platform. Once the platform has answered
// for longer than lapsed entries are kept, the view must equal the list.
func TestViewFollowsTheList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var (
			v    = fleet.New(fleet.Options{RenewalInterval: renewal})
			now  = start
			list = map[string]int{}
			seen []fleet.Target
			lost bool
		)

		all := func() []fleet.Target {
			var targets []fleet.Target
			for name, run := range list {
				targets = append(targets, target(name, run))
			}

			return targets
		}

		rt.Repeat(map[string]func(*rapid.T){
			"set": func(rt *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
				list[name] = rapid.IntRange(1, 3).Draw(rt, "run")

				if !lost {
					v.Set(target(name, list[name]))
				}
			},
			"remove": func(rt *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name")
				delete(list, name)

				if !lost {
					v.Remove(now, name)
				}
			},
			"lost": func(*rapid.T) { lost = true },
			"back": func(rt *rapid.T) {
				if lost {
					v.PlatformReturned(now, time.Duration(rapid.IntRange(0, 5000).Draw(rt, "outage ms"))*time.Millisecond)
				}

				lost = false

				v.Replace(now, all())
			},
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				v.Tick(now)
			},
			"": func(rt *rapid.T) {
				if got, changed := v.Take(); changed {
					seen = got
				}

				byName := map[string]bool{}

				for _, x := range seen {
					if byName[x.Instance] {
						rt.Fatalf("instance %s is listed twice", x.Instance)
					}

					byName[x.Instance] = true
				}
			},
		})

		v.Replace(now, all())
		v.Tick(now.Add(3 * time.Second))

		if got, changed := v.Take(); changed {
			seen = got
		}

		want := map[entity.TargetID]bool{}
		for _, x := range all() {
			want[x.ID] = true
		}

		if len(seen) != len(want) {
			rt.Fatalf("view has targets %v, want %v", seen, want)
		}

		for _, x := range seen {
			if !want[x.ID] {
				rt.Fatalf("view has targets %v, want %v", seen, want)
			}
		}
	})
}
