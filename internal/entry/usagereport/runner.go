// Package usagereport counts the requests that began to run at this host, and reports those of all hosts to the platform while this
// host holds the lease for duties.
package usagereport

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/control/usage"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	tickInterval = 100 * time.Millisecond
	// maxActions bounds the actions of one tick: reading, deciding, and sending the reports of a few windows.
	maxActions = 8
	// storeTimeout bounds a call to the store, which ends sooner unless its answer goes on arriving.
	storeTimeout = 2 * time.Second
	// planKey is the object with the reports that are decided.
	planKey = platform.Key("dotterelflow-usage/reports")
)

// Duty tells when this host may make calls.
type Duty interface {
	// Term returns the term in which this host may make calls now, and false if it may not.
	Term() (duties.Term, bool)
	// BeginCall reports whether a call may be sent now in term t; end must be called once it has ended.
	BeginCall(t duties.Term) (end func(), ok bool)
}

// Store is the part of the platform's object API that reports need.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

// Platform takes reports.
type Platform interface {
	// Report sends r once. After an error it may have arrived, or may still do so.
	Report(ctx context.Context, t duties.Term, r duties.Report) (duties.Result, error)
}

// Options configure Start. All fields but Clock and Log are required.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Log      *log.Logger     // nil means the default logger
	Counter  *Counter
	Duty     Duty
	Store    Store
	Platform Platform
}

// Stats describe the reports of this host since its start.
type Stats struct {
	Window   int64 // last window that this host has reported
	Reported int64 // reports that the platform has accepted
	Failed   int64 // calls to the platform without success
	Missed   int64 // windows that were passed over, as they were due
	Late     int64 // requests that were told after the report of their window was decided
}

// Runner reports while this host holds the lease. Create it with Start. It is safe for concurrent use.
type Runner struct {
	opts     Options
	reporter *usage.Reporter
	done     chan struct{}

	decided map[duties.Window]uint64 // requests in the reports that this host has decided, until they are due

	window, reported, failed, missed, late atomic.Int64
}

// Start returns a Runner that reports in the background until ctx ends.
func Start(ctx context.Context, opts Options) *Runner {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	r := &Runner{opts: opts, done: make(chan struct{}), decided: map[duties.Window]uint64{}}
	r.reporter = usage.NewReporter(usage.ReporterOptions{
		Window: opts.Counter.opts.Window, Due: opts.Counter.opts.Due, Sum: r.sum, Missed: r.noteMissed,
	})

	go r.run(ctx)

	return r
}

// Done returns a channel that is closed once nothing more is sent.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Stats returns the present Stats.
func (r *Runner) Stats() Stats {
	if r == nil {
		return Stats{}
	}

	return Stats{
		Window: r.window.Load(), Reported: r.reported.Load(), Failed: r.failed.Load(), Missed: r.missed.Load(), Late: r.late.Load(),
	}
}

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)

	ticker.Run(ctx, r.opts.Clock, tickInterval, r.step)
}

func (r *Runner) now() time.Time { return r.opts.Counter.clock.Now() }

// step performs the actions that are due.
func (r *Runner) step(ctx context.Context) {
	r.compare()

	for range maxActions {
		if ctx.Err() != nil || !r.act(ctx) {
			return
		}
	}
}

// act performs the next action, and reports false if there is none.
func (r *Runner) act(ctx context.Context) bool {
	term, held := r.opts.Duty.Term()

	switch a := r.reporter.Tick(r.now(), term, held).(type) {
	case usage.Read:
		p, version, err := r.read(ctx)
		r.reporter.HandleRead(r.now(), p, version, err)

		if err != nil {
			r.opts.Log.Warn().Err(err).Msg("cannot read the decided usage reports")
		}
	case usage.Write:
		r.write(ctx, term, a)
	case usage.Send:
		return r.send(ctx, a)
	default:
		return false
	}

	return true
}

func (r *Runner) read(ctx context.Context) (usage.Plan, platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	var p usage.Plan

	o, err := r.opts.Store.Get(ctx, planKey)
	if err != nil || o.Version.Revision() == 0 {
		return p, o.Version, err
	}

	// An object that cannot be read says nothing of what was sent, so nothing is sent until an operator has removed it.
	return p, o.Version, json.Unmarshal(o.Value, &p)
}

func (r *Runner) write(ctx context.Context, t duties.Term, w usage.Write) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	value, err := json.Marshal(w.Plan)
	if err != nil {
		r.opts.Log.Error().Err(err).Msg("cannot encode usage reports")

		return
	}

	version, err := r.opts.Store.Put(ctx, planKey, w.Expect, value)
	r.reporter.HandleWrite(r.now(), w, version, err)

	if err != nil {
		r.opts.Log.Warn().Uint64("fence", uint64(t.Fence)).Int64("next", int64(w.Plan.Next)).Err(err).Msg("usage reports not recorded")

		return
	}

	for _, i := range w.Plan.Intents {
		r.decided[i.Window] = i.Counts.Total()
	}

	r.opts.Log.Info().Uint64("fence", uint64(t.Fence)).Int64("next", int64(w.Plan.Next)).Int("reports", len(w.Plan.Intents)).Int("bytes", len(value)).
		Msg("usage reports recorded")
}

// send sends a report, and reports false if this host may not send it now.
func (r *Runner) send(ctx context.Context, s usage.Send) bool {
	end, ok := r.opts.Duty.BeginCall(s.Term)
	if !ok {
		return false // the next Tick finds that the term has ended
	}
	defer end()

	result, err := r.opts.Platform.Report(ctx, s.Term, s.Report)
	r.reporter.HandleSend(r.now(), s, result, err)

	logged := r.opts.Log.Info()

	if err == nil && result == duties.Accepted {
		r.reported.Add(1)
		r.window.Store(int64(s.Report.Window))
	} else {
		r.failed.Add(1)

		logged = r.opts.Log.Warn()
	}

	logged.Int64("window", int64(s.Report.Window)).Uint64("fence", uint64(s.Term.Fence)).Int("accounts", len(s.Report.Counts)).
		Uint64("requests", usage.Counts(s.Report.Counts).Total()).Str("result", result.String()).Err(err).Msg("usage reported")

	return true
}

// sum returns the counts of w for its report.
func (r *Runner) sum(w duties.Window) usage.Counts {
	sum, hosts := r.opts.Counter.table.Sum(w)
	r.opts.Log.Info().Int64("window", int64(w)).Int("hosts", hosts).Int("accounts", len(sum)).Uint64("requests", sum.Total()).Msg("usage of a window")

	return sum
}

func (r *Runner) noteMissed(from, until duties.Window) {
	r.missed.Add(int64(until - from))
	r.opts.Log.Warn().Int64("window", int64(from)).Int64("until", int64(until)).Msg("windows without a usage report, as they are due already")
}

// compare compares the reports that are due by now with the counts that have been told since.
func (r *Runner) compare() {
	now := r.now()

	for w, reported := range r.decided {
		if now.Before(usage.EndOf(w, r.opts.Counter.opts.Window).Add(r.opts.Counter.opts.Due)) {
			continue
		}

		delete(r.decided, w)

		if total := r.opts.Counter.total(w); total > reported {
			r.late.Add(int64(total - reported))
			r.opts.Log.Warn().Int64("window", int64(w)).Uint64("reported", reported).Uint64("counted", total).Msg("usage was told after its report")
		}
	}
}
