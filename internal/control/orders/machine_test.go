package orders_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

var settings = []orders.Setting{
	{Role: entity.Prefill, Model: "a"},
	{Role: entity.Decode, Model: "a"},
	{Role: entity.Decode, Model: "a", Admission: orders.Closed},
	{Role: entity.Mixed, Model: "b", Adapter: "x", Version: "2"},
}

// TestNoOrderButTheRecordedOne runs random sequences of pauses, lost answers, takeovers and crashes. Each
// delivery of an order checks that the engine changes only to the setting on record. After the faults end, every engine
// must get its desired setting.
func TestNoOrderButTheRecordedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)

		pick := func(t *rapid.T) *host { return rapid.SampledFrom(w.hosts).Draw(t, "host") }
		target := func(t *rapid.T) entity.TargetID {
			return rapid.SampledFrom(w.targets).Draw(t, "target").ID
		}
		run := func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps")) * step) }
		want := func(t *rapid.T) { w.desired[target(t)] = rapid.SampledFrom(settings).Draw(t, "setting") }

		t.Repeat(map[string]func(*rapid.T){
			"run":  run,
			"run2": run,
			"run3": run,
			"want": want,
			"want then run": func(t *rapid.T) {
				want(t)
				run(t)
			},
			"pause at send": func(t *rapid.T) { h := pick(t); h.pauseAtSend = !h.pauseAtSend },
			"pause":         func(t *rapid.T) { h := pick(t); h.paused = !h.paused },
			"pause holder at send": func(t *rapid.T) {
				if h := w.holder(); h != nil {
					h.pauseAtSend = true
					want(t)
					run(t)
				}
			},
			"slow holder": func(t *rapid.T) {
				if h := w.holder(); h != nil {
					h.delay = time.Duration(rapid.Int64Range(0, int64(lifetime/step)-1).Draw(t, "delay")) * step
					want(t)
					run(t)
				}
			},
			"kill": func(t *rapid.T) {
				h := pick(t)
				if h.dead {
					h.gone = true

					return
				}

				h.dead = true
				w.start()
			},
			"delay": func(t *rapid.T) {
				pick(t).delay = time.Duration(rapid.Int64Range(0, int64(lifetime/step)-1).Draw(t, "delay")) * step
			},
			"platform": func(t *rapid.T) {
				h := pick(t)
				h.late = rapid.SampledFrom([]time.Duration{0, time.Second, 15 * time.Second}).Draw(t, "late")
				h.view.SetFaults(standin.Faults{
					Down:       rapid.Bool().Draw(t, "down"),
					LoseAnswer: rapid.Bool().Draw(t, "lose"),
				})
			},
			"crash":           func(t *rapid.T) { w.engines[target(t)].Crash() },
			"crash in change": func(t *rapid.T) { w.engines[target(t)].CrashInChange() },
			"recover":         func(t *rapid.T) { w.recover(t, target(t)) },
		})

		w.heal()
		w.run(5 * time.Minute)
		w.requireDesired()
	})
}

// recover restarts a crashed engine with an unknown state or with any of the settings.
func (w *world) recover(t *rapid.T, id entity.TargetID) {
	var known *orders.Setting

	if i := rapid.IntRange(0, len(settings)).Draw(t, "known"); i < len(settings) {
		known = &settings[i]
	}

	w.engines[id].Recover(known)
}

// heal ends all faults. Dead hosts stay dead and are removed from the host list.
func (w *world) heal() {
	for _, h := range w.hosts {
		h.paused, h.pauseAtSend, h.delay, h.late, h.gone = false, false, 0, 0, h.dead
		h.view.SetFaults(standin.Faults{})
	}

	for _, e := range w.engines {
		e.Recover(nil)
	}
}

func (w *world) requireDesired() {
	for id, want := range w.desired {
		got, err := w.engines[id].State()
		require.NoError(w.t, err)
		require.False(w.t, got.Changing || got.Unknown, id)
		require.Equal(w.t, want, got.Setting, id)

		var i orders.Intent
		_, err = get(w.truth, orders.Key(dc, id), &i)
		require.NoError(w.t, err)
		require.False(w.t, i.Open, id)
	}
}

// TestHolderPausedBeforeSend pauses the holder between its lease check and its send, so that its order
// arrives after a takeover.
func TestHolderPausedBeforeSend(t *testing.T) {
	tests := []struct {
		target  entity.TargetID
		changed bool // the new holder sends a different order before the former one resumes
	}{
		{"checking", true},
		{"ignoring", false},
	}

	for _, tt := range tests {
		t.Run(string(tt.target), func(t *testing.T) {
			w := newWorld(t, 2)
			w.run(5 * time.Second)

			holder := w.holder()
			require.NotNil(t, holder)

			// The lease is checked twice: before the write of the intent and before the send.
			w.desired[tt.target] = settings[0]
			for !w.aboutToSend(holder) {
				w.run(step)
			}

			holder.paused = true
			w.run(authority.DefaultLease + 10*time.Second)
			require.NotNil(t, w.holder())
			require.NotEqual(t, holder, w.holder())

			got, err := w.engines[tt.target].State()
			require.NoError(t, err)
			require.Equal(t, settings[0], got.Setting, "the new holder finishes the recorded order")

			w.desired[tt.target] = settings[1]
			w.run(time.Minute)

			got, err = w.engines[tt.target].State()
			require.NoError(t, err)
			require.Equal(t, tt.changed, got.Setting == settings[1])
			require.Equal(t, !tt.changed, len(w.holder().orders.BlockedOrders(w.holder().lease.Lease().Record)) == 1)

			holder.paused = false
			w.run(time.Minute)
			w.requireDesired()
		})
	}
}

func (w *world) holder() *host {
	for _, h := range w.hosts {
		if !h.dead && h.lease.Lease().Held(w.clock.Now()) {
			return h
		}
	}

	return nil
}

// aboutToSend reports whether h is between the lease check and the send of an order.
func (w *world) aboutToSend(h *host) bool {
	for _, k := range h.tasks {
		if _, ok := k.action.(orders.SendOrder); ok && k.checked && !k.sent {
			return true
		}
	}

	return false
}
