package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
)

// pacedBody sends one event after each of the pauses.
type pacedBody struct {
	pauses []time.Duration
	after  int // id of the event before the first
	sent   int
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.sent == len(b.pauses) {
		return 0, io.EOF
	}

	time.Sleep(b.pauses[b.sent])
	b.sent++

	return strings.NewReader(eventsFrom(b.after+b.sent, b.after+b.sent)).Read(p)
}

// pauses returns n equal pauses.
func pauses(n int, d time.Duration) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}

	return list
}

func TestLateStreamHasOneCause(t *testing.T) {
	const ms = time.Millisecond

	for name, tc := range map[string]struct {
		pauses  []time.Duration
		prefill time.Duration
		refused bool
		want    relay.LateCause
	}{
		"in time":              {pauses: pauses(5, 100*ms)},
		"long pause":           {pauses: []time.Duration{0, 300 * ms}, want: relay.LatePause},
		"run began late":       {pauses: []time.Duration{900 * ms, 0}, want: relay.LateStart},
		"both late":            {pauses: []time.Duration{900 * ms, 300 * ms}, want: relay.LateStart},
		"reader was busy":      {pauses: pauses(2, 0), prefill: 900 * ms, want: relay.LateReader},
		"a reader had refused": {pauses: pauses(2, 0), prefill: 900 * ms, refused: true, want: relay.LateRepeat},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, resumable, 100)
				fx.targets.prefill = func(n int, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
					if tc.refused && n == 1 {
						a := answer(503, "")
						a.NotRun = true

						return nil, a, nil
					}

					time.Sleep(tc.prefill)

					return &relay.KVHandle{Target: s.Target, Name: "kv"}, nil, nil
				}
				fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
					a := answer(200, "")
					a.Body = io.NopCloser(&pacedBody{pauses: tc.pauses})

					return a, nil
				}

				require.Equal(t, 200, fx.serve(t.Context(), t).status)
				require.Equal(t, tc.want, fx.outcome.Late)

				if tc.want == "" {
					require.Empty(t, fx.log.lines("answered late"))
				} else {
					require.Len(t, fx.log.lines("answered late", `"cause":"`+string(tc.want)+`"`), 1)
				}
			})
		})
	}
}

// A pause on a target that other streams have shown to be slow has that cause. Time for which the caller does not read is not the target's.
func TestPaceOfTargetsIsLearnedFromStreams(t *testing.T) {
	const ms = time.Millisecond

	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, plainStream, 100)
		slow := map[entity.TargetID]bool{"d2": true, "d3": true}
		blocked := false

		var target entity.TargetID

		fx.targets.run = func(_ int, _ context.Context, s relay.Send) (*relay.Answer, error) {
			pause, n := 50*ms, 30
			if target = s.Target.ID; slow[target] {
				pause, n = 260*ms, 15
			}

			a := answer(200, "")
			a.Body = io.NopCloser(&pacedBody{pauses: append([]time.Duration{0}, pauses(n, pause)...)})

			return a, nil
		}

		serve := func() {
			out := &replyRecorder{}
			if blocked {
				out.onEvent = func() error { time.Sleep(time.Second); return nil }
			}

			fx.serveTo(t.Context(), t, out)
		}

		fx.fleet = append(fx.fleet,
			fleet.Target{ID: "d5", Service: "model", Role: entity.Decode, Slots: 4}, fleet.Target{ID: "d6", Service: "model", Role: entity.Decode, Slots: 4})
		all := fx.fleet
		ids := []entity.TargetID{"d1", "d2", "d3", "d4", "d5", "d6"}
		only := func(id entity.TargetID) {
			fx.fleet = append([]fleet.Target{{ID: id, Service: "model", Role: entity.Decode, Slots: 4}}, all[4:8]...)
		}

		for _, id := range ids {
			only(id)

			serve()
			require.Equal(t, id, target)

			if !slow[id] {
				serve() // as many stretches as on the slow ones
			}
		}

		view := fx.board.Speeds().View(time.Now(), "model", ids)
		require.True(t, view.Uneven())
		require.Greater(t, view.Slowness("d2"), 4.0)
		require.InDelta(t, 1, view.Slowness("d1"), 0.2)

		fx.fleet = all

		for range 5 {
			serve()
			require.NotContains(t, slow, target, "the pauses there are longer than the route allows")
		}

		for _, other := range []int{0, 2, 3, 8, 9} {
			fx.board.RecordOutcome(time.Now(), all[other], placing.Refused)
		}

		serve()
		require.Equal(t, entity.TargetID("d2"), target, "the others accept nothing now")
		require.Equal(t, relay.LatePauseSlow, fx.outcome.Late)

		blocked = true
		only("d7")

		for range 3 {
			serve()
		}

		require.InDelta(t, 1, fx.board.Speeds().View(time.Now(), "model", append(ids, "d7")).Slowness("d7"), 0, "nothing was learned")
	})
}

func TestCauseOfLateFirstEventFollowsWhereTheTimeWent(t *testing.T) {
	for name, tc := range map[string]struct {
		parts   []placing.Part
		arrived time.Duration // before it is served
		prefill time.Duration
		want    relay.LateCause
	}{
		"it waited in this host":  {arrived: time.Second, want: relay.LatePlace},
		"its own prompt is long":  {parts: []placing.Part{{ID: 1, Tokens: 10_000}, {ID: 2, Tokens: 50_000}}, prefill: 1300 * time.Millisecond, want: relay.LatePrompt},
		"its shared part is long": {parts: []placing.Part{{ID: 1, Tokens: 50_000}, {ID: 2, Tokens: 10_000}}, prefill: 1300 * time.Millisecond, want: relay.LateSharedPart},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, resumable, 100)
				fx.targets.prefill = func(_ int, s relay.Send) (*relay.KVHandle, *relay.Answer, error) {
					time.Sleep(tc.prefill)

					return &relay.KVHandle{Target: s.Target, Name: "kv"}, nil, nil
				}
				fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
					return answer(200, eventsFrom(1, 3)), nil
				}

				r := request()
				r.Arrived, r.Parts = r.Arrived.Add(-tc.arrived), tc.parts

				for _, p := range tc.parts {
					r.Prompt += p.Tokens
				}

				out := &replyRecorder{}
				fx.relay.Serve(t.Context(), r, out)
				require.Equal(t, 200, out.status)
				require.Equal(t, tc.want, fx.outcome.Late)
			})
		})
	}
}

func TestPauseOnAFullTargetAndAtAMoveHaveTheirCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, resumable, 100)
		fx.fleet = append([]fleet.Target{{ID: "d9", Service: "model", Role: entity.Decode, Slots: 1}}, fx.fleet[4:]...)
		fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
			a := answer(200, "")
			a.Body = io.NopCloser(&pacedBody{pauses: []time.Duration{0, 300 * time.Millisecond}})

			return a, nil
		}

		require.Equal(t, 200, fx.serve(t.Context(), t).status)
		require.Equal(t, relay.LatePauseFull, fx.outcome.Late)
	})

	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, resumable, 100)
		fx.targets.run = func(n int, _ context.Context, s relay.Send) (*relay.Answer, error) {
			a := answer(200, "")
			if n == 1 {
				a.Body = io.NopCloser(io.MultiReader(strings.NewReader(eventsFrom(1, 2)), errReader{errReset}))

				return a, nil
			}

			require.Equal(t, "2", s.LastEventID)
			a.Body = io.NopCloser(&pacedBody{pauses: []time.Duration{300 * time.Millisecond}, after: 2})

			return a, nil
		}

		out := fx.serve(t.Context(), t)
		require.False(t, out.broken)
		require.Equal(t, eventsFrom(1, 3), out.body.String())
		require.Equal(t, relay.LatePauseMoved, fx.outcome.Late)
	})
}
