package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	planHosts = 3
	planKeys  = 4
)

// world runs a history and notes what goes wrong.
type world struct {
	ring  claims.Ring
	store *standin.Store
	views [planHosts]*standin.View
	group sync.WaitGroup

	mu      sync.Mutex
	ledgers [planHosts]*ledger.Ledger
	epochs  [planHosts]int
	keys    [planKeys]claims.Key
	sent    [planKeys]int
	runs    [planKeys][]int // sendings that ran
	lost    [planKeys]bool  // a sending died, or a host that took one
	took    [planHosts][planKeys]bool
	nonces  byte
	faults  []string
}

func newWorld(ring claims.Ring) *world {
	w := &world{ring: ring, store: standin.NewStore(clockwork.NewRealClock())}

	for i := range planHosts {
		w.views[i] = w.store.View()
		w.start(i)
	}

	return w
}

func (w *world) start(i int) {
	w.ledgers[i] = ledger.New(ledger.Options{Store: w.views[i], Host: w.name(i), Ring: w.ring})
}

func (w *world) name(i int) table.HostID {
	return table.HostID(fmt.Sprintf("host-%d-%d", i, w.epochs[i]))
}

// kill replaces host i; what ran on it ends without a word.
func (w *world) kill(i int) {
	w.mu.Lock()
	old := w.ledgers[i]
	w.epochs[i]++
	w.start(i)

	for k, took := range w.took[i] {
		w.lost[k] = w.lost[k] || took
	}

	w.mu.Unlock()

	old.Close()
}

func (w *world) wrong(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) run(plan []step) []string {
	for _, s := range plan {
		time.Sleep(s.wait)

		switch {
		case s.faults != nil:
			w.views[s.host].SetFaults(*s.faults)
		case s.kill:
			w.kill(s.host)
		default:
			w.group.Go(func() { w.send(s) })
			synctest.Wait()
		}
	}

	for _, v := range w.views {
		v.SetFaults(standin.Faults{})
	}

	w.group.Wait()
	time.Sleep(2 * time.Minute) // withdrawals are over
	w.settle()

	for _, l := range w.ledgers {
		l.Close()
	}

	return w.faults
}

// send plays one request from its arrival to the caller's answer.
func (w *world) send(s step) {
	w.mu.Lock()
	if w.sent[s.key] == 0 {
		w.keys[s.key] = claims.KeyAt("dombud", time.Now(), uint64(s.key))
	}

	id := w.sent[s.key]
	w.sent[s.key]++
	w.nonces++
	w.took[s.host][s.key] = true
	epoch := w.epochs[s.host]
	l, via := w.ledgers[s.host], w.ledgers[s.via]
	r := ledger.Request{
		Key:     w.keys[s.key],
		Nonce:   claims.Nonce{1, w.nonces},
		Patient: s.pat,
		Repeat:  id > 0,
	}
	w.mu.Unlock()

	o, err := claimThrough(l, via, r)
	if !w.alive(s, epoch) {
		return
	}

	switch {
	case err != nil:
		w.answer(s, id, verdict.Of(err))
	case !o.Mine && o.Record.State == claims.Done:
		w.answer(s, id, o.Record.Result.Verdict)
	case !o.Mine:
		w.answer(s, id, verdict.MayHaveRun)
		w.giveUp(l, o.Record)
	default:
		w.live(s, id, epoch, l, o.Record)
	}
}

// through reaches one ledger of a site.
type through struct{ *ledger.Ledger }

func (f through) Claim(ctx context.Context, _ table.HostID, r ledger.Request) (ledger.Outcome, error) {
	return f.Ledger.Claim(ctx, r)
}

func claimThrough(l, via *ledger.Ledger, r ledger.Request) (ledger.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	if via == l {
		return l.Claim(ctx, r)
	}

	return l.ClaimThrough(ctx, through{via}, "another host", r)
}

// giveUp records for a claimant that was replaced that its request may have run.
func (w *world) giveUp(l *ledger.Ledger, r claims.Record) {
	w.mu.Lock()
	gone := true

	for i := range planHosts {
		gone = gone && w.name(i) != r.Claimant
	}
	w.mu.Unlock()

	if !gone {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	_ = l.Finish(ctx, r, claims.Result{Verdict: verdict.MayHaveRun})
}

// live goes on with a request whose claim is held.
func (w *world) live(s step, id, epoch int, l *ledger.Ledger, r claims.Record) {
	time.Sleep(s.pause)

	if s.life == diesBeforeDispatch {
		w.die(s)

		return
	}

	if !w.alive(s, epoch) {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	if s.life == refusedByTarget {
		w.answer(s, id, verdict.NotRun)
		_ = l.Abandon(ctx, r)

		return
	}

	w.mu.Lock()
	w.runs[s.key] = append(w.runs[s.key], id)

	if len(w.runs[s.key]) > 1 {
		w.wrong("key %d: second run, by sendings %v", s.key, w.runs[s.key])
	}
	w.mu.Unlock()

	time.Sleep(s.work)

	if s.life == diesBeforeResult {
		w.die(s)

		return
	}

	if w.alive(s, epoch) {
		w.answer(s, id, verdict.Ran)
		_ = l.Finish(ctx, r, claims.Result{Verdict: verdict.Ran})
	}
}

func (w *world) alive(s step, epoch int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.epochs[s.host] == epoch
}

func (w *world) die(s step) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.lost[s.key] = true
}

// answer checks the verdict that the caller of a sending gets.
func (w *world) answer(s step, id int, v verdict.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, by := range w.runs[s.key] {
		if v == verdict.NotRun && by <= id {
			w.wrong("key %d: sending %d was told not-run, sending %d ran it", s.key, id, by)
		}
	}

	if v == verdict.Ran && len(w.runs[s.key]) == 0 {
		w.wrong("key %d: sending %d was told ran, and none did", s.key, id)
	}
}

// settle sends each key again through each host when all is well.
func (w *world) settle() {
	for k, key := range w.keys {
		if w.sent[k] == 0 || w.ring.Check(key, time.Now()) != nil {
			continue
		}

		ran := len(w.runs[k]) > 0
		held := false

		for i, l := range w.ledgers {
			o, err := l.Claim(context.Background(), ledger.Request{Key: key, Nonce: claims.Nonce{2, byte(i), byte(k)}, Repeat: true})

			switch {
			case err != nil:
				w.wrong("key %d: refused when all is well: %v", k, err)
			case o.Mine && (ran || held):
				w.wrong("key %d: may run again", k)
			case o.Mine:
				held = true
			}
		}

		if !ran && !held && !w.lost[k] {
			w.wrong("key %d: stuck, though no sending ran or died", k)
		}
	}
}

// TestAtMostOnce explores faults, kills, pauses, forwarded claims and repeats.
func TestAtMostOnce(t *testing.T) {
	rings := map[string]claims.Ring{
		"long window":  {Shards: 1},
		"short window": {Shards: 1, Window: 6 * time.Second, Span: 2 * time.Second, Skew: time.Second},
	}

	for name, ring := range rings {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				plan := rapid.SliceOfN(drawStep, 2, 24).Draw(rt, "plan")

				var faults []string

				synctest.Test(t, func(*testing.T) { faults = newWorld(ring.WithDefaults()).run(plan) })

				if len(faults) > 0 {
					rt.Fatalf("%v", faults)
				}
			})
		})
	}
}
