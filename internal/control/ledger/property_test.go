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
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	hostCount = 3
	keyCount  = 4
)

// simulation runs a history of steps and records violations of the at-most-once rule.
type simulation struct {
	layout claims.Layout
	store  *standin.Store
	views  [hostCount]*standin.View
	group  sync.WaitGroup

	mu         sync.Mutex
	ledgers    [hostCount]*ledger.Ledger
	epochs     [hostCount]int // number of times that each host was killed
	keys       [keyCount]claims.Key
	sent       [keyCount]int
	runs       [keyCount][]int // numbers of the requests that ran
	lost       [keyCount]bool  // the host of a request was killed, or the request ended without a result
	received   [hostCount][keyCount]bool
	nonces     byte
	violations []string
}

func newSimulation(layout claims.Layout) *simulation {
	sim := &simulation{layout: layout, store: standin.NewStore(clockwork.NewRealClock())}

	for i := range hostCount {
		sim.views[i] = sim.store.View()
		sim.start(i)
	}

	return sim
}

func (sim *simulation) start(i int) {
	sim.ledgers[i] = ledger.New(ledger.Options{Store: sim.views[i], Host: sim.name(i), Layout: sim.layout})
}

func (sim *simulation) name(i int) entity.HostID {
	return entity.HostID(fmt.Sprintf("host-%d-%d", i, sim.epochs[i]))
}

// kill replaces host i; its requests end without an answer or a result.
func (sim *simulation) kill(i int) {
	sim.mu.Lock()
	old := sim.ledgers[i]
	sim.epochs[i]++
	sim.start(i)

	for k, received := range sim.received[i] {
		sim.lost[k] = sim.lost[k] || received
	}

	sim.mu.Unlock()

	old.Close()
}

// violation records a violation. The caller must hold sim.mu unless all requests have ended.
func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// run executes the steps of history, lets the platform recover and returns the violations.
func (sim *simulation) run(history []step) []string {
	for _, s := range history {
		time.Sleep(s.wait)

		switch {
		case s.faults != nil:
			sim.views[s.host].SetFaults(*s.faults)
		case s.kill:
			sim.kill(s.host)
		default:
			sim.group.Go(func() { sim.send(s) })
			synctest.Wait()
		}
	}

	for _, v := range sim.views {
		v.SetFaults(standin.Faults{})
	}

	sim.group.Wait()
	time.Sleep(2 * time.Minute) // until the withdrawals have ended
	sim.checkRepeats()

	for _, l := range sim.ledgers {
		l.Close()
	}

	return sim.violations
}

// send simulates one request from its arrival until it is answered and its result recorded.
func (sim *simulation) send(s step) {
	sim.mu.Lock()
	if sim.sent[s.key] == 0 {
		sim.keys[s.key] = claims.KeyAt("dombud", time.Now(), uint64(s.key))
	}

	id := sim.sent[s.key]
	sim.sent[s.key]++
	sim.nonces++
	sim.received[s.host][s.key] = true
	epoch := sim.epochs[s.host]
	l, via := sim.ledgers[s.host], sim.ledgers[s.via]
	r := ledger.Request{
		Key:     sim.keys[s.key],
		Nonce:   claims.Nonce{1, sim.nonces},
		Patient: s.patient,
		Repeat:  id > 0,
	}
	sim.mu.Unlock()

	o, err := claimThrough(l, via, r)
	if !sim.alive(s, epoch) {
		return
	}

	switch {
	case err != nil:
		sim.answer(s, id, verdict.Of(err))
	case !o.Mine && o.Record.State == claims.Done:
		sim.answer(s, id, o.Record.Result.Verdict)
	case !o.Mine:
		sim.answer(s, id, verdict.MayHaveRun)
		sim.recordMayHaveRun(l, o.Record)
	default:
		sim.runClaimed(s, id, epoch, l, o.Record)
	}
}

// directForwarder forwards claims to one ledger by a function call.
type directForwarder struct{ *ledger.Ledger }

func (f directForwarder) Claim(ctx context.Context, _ entity.HostID, r ledger.Request) (ledger.Outcome, error) {
	return f.Ledger.Claim(ctx, r)
}

// claimThrough claims on l, through via if that is another ledger, with a timeout of 5 s.
func claimThrough(l, via *ledger.Ledger, r ledger.Request) (ledger.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()

	if via == l {
		return l.Claim(ctx, r)
	}

	return l.ClaimThrough(ctx, directForwarder{via}, "another host", r)
}

// recordMayHaveRun records the result MayHaveRun for the claimant of r, if that host was killed.
func (sim *simulation) recordMayHaveRun(l *ledger.Ledger, r claims.Record) {
	sim.mu.Lock()
	killed := true

	for i := range hostCount {
		killed = killed && sim.name(i) != r.Claimant
	}
	sim.mu.Unlock()

	if !killed {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	_ = l.Finish(ctx, r, claims.Result{Verdict: verdict.MayHaveRun})
}

// runClaimed simulates a request whose claim is held, until its ending.
func (sim *simulation) runClaimed(s step, id, epoch int, l *ledger.Ledger, r claims.Record) {
	time.Sleep(s.pause)

	if s.ending == diesBeforeDispatch {
		sim.markLost(s)

		return
	}

	if !sim.alive(s, epoch) {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	if s.ending == refusedByTarget {
		sim.answer(s, id, verdict.NotRun)
		_ = l.Abandon(ctx, r)

		return
	}

	sim.mu.Lock()
	sim.runs[s.key] = append(sim.runs[s.key], id)

	if len(sim.runs[s.key]) > 1 {
		sim.violation("key %d: run more than once, by requests %v", s.key, sim.runs[s.key])
	}
	sim.mu.Unlock()

	time.Sleep(s.work)

	if s.ending == diesBeforeResult {
		sim.markLost(s)

		return
	}

	if sim.alive(s, epoch) {
		sim.answer(s, id, verdict.Ran)
		_ = l.Finish(ctx, r, claims.Result{Verdict: verdict.Ran})
	}
}

// alive reports whether the host of s still has the given epoch, that is, has not been killed since.
func (sim *simulation) alive(s step, epoch int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()

	return sim.epochs[s.host] == epoch
}

// markLost records that a request of s.key ended without a result.
func (sim *simulation) markLost(s step) {
	sim.mu.Lock()
	defer sim.mu.Unlock()

	sim.lost[s.key] = true
}

// answer checks v, the verdict that the caller of request id gets, against the requests that ran.
func (sim *simulation) answer(s step, id int, v verdict.Verdict) {
	sim.mu.Lock()
	defer sim.mu.Unlock()

	for _, by := range sim.runs[s.key] {
		if v == verdict.NotRun && by <= id {
			sim.violation("key %d: request %d was answered not-run, but request %d ran", s.key, id, by)
		}
	}

	if v == verdict.Ran && len(sim.runs[s.key]) == 0 {
		sim.violation("key %d: request %d was answered ran, but none ran", s.key, id)
	}
}

// checkRepeats claims each key again on each host, after the platform has recovered.
func (sim *simulation) checkRepeats() {
	for k, key := range sim.keys {
		if sim.sent[k] == 0 || sim.layout.Check(key, time.Now()) != nil {
			continue
		}

		ran := len(sim.runs[k]) > 0
		held := false

		for i, l := range sim.ledgers {
			o, err := l.Claim(context.Background(), ledger.Request{Key: key, Nonce: claims.Nonce{2, byte(i), byte(k)}, Repeat: true})

			switch {
			case err != nil:
				sim.violation("key %d: refused after the platform recovered: %v", k, err)
			case o.Mine && (ran || held):
				sim.violation("key %d: may run again", k)
			case o.Mine:
				held = true
			}
		}

		if !ran && !held && !sim.lost[k] {
			sim.violation("key %d: no host can claim it, though no request ran or was lost", k)
		}
	}
}

// TestAtMostOnce runs random histories of platform faults, killed hosts, pauses, forwarded claims and repeats. No
// key may run twice, and no caller may get a wrong verdict.
func TestAtMostOnce(t *testing.T) {
	layouts := map[string]claims.Layout{
		"long window":  {Shards: 1},
		"short window": {Shards: 1, Window: 6 * time.Second, Span: 2 * time.Second, Skew: time.Second},
	}

	for name, layout := range layouts {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				history := rapid.SliceOfN(drawStep, 2, 24).Draw(rt, "plan")

				var violations []string

				synctest.Test(t, func(*testing.T) { violations = newSimulation(layout.WithDefaults()).run(history) })

				if len(violations) > 0 {
					rt.Fatalf("%v", violations)
				}
			})
		})
	}
}
