// Package reachability probes the targets of services that this host may be cut off from (see package reach).
package reachability

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/reach"
)

const (
	// targetsPerProbe is the number of targets that one probe asks. Any of them may just have ended.
	targetsPerProbe = 3
	// probeTimeout bounds a probe: many times the round trip between data centres.
	probeTimeout = 250 * time.Millisecond
)

// Targets asks targets whether they can be reached.
type Targets interface {
	// Probe returns nil if t has answered. It runs no request.
	Probe(ctx context.Context, t fleet.Target) error
}

// Options configure a Prober. Tracker, Targets and Fleet are required.
type Options struct {
	Clock   clockwork.Clock // nil means the real clock
	Log     *log.Logger     // nil means the default logger
	Tracker *reach.Tracker
	Targets Targets
	Fleet   func() *fleet.Snapshot
}

// Prober probes services. Make it with Start.
type Prober struct {
	opts Options
	done chan struct{}
}

// Start begins to probe, until ctx ends.
func Start(ctx context.Context, opts Options) *Prober {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	p := &Prober{opts: opts, done: make(chan struct{})}

	go p.run(ctx)

	return p
}

// Done returns a channel that is closed once the Prober has ended.
func (p *Prober) Done() <-chan struct{} { return p.done }

func (p *Prober) run(ctx context.Context) {
	defer close(p.done)

	ended := make(chan struct{}, 1)
	running := 0

	for {
		due, next := p.opts.Tracker.Due(p.opts.Clock.Now())

		for _, name := range due {
			running++

			go func() {
				p.probe(ctx, name)

				ended <- struct{}{}
			}()
		}

		var wake <-chan time.Time
		if !next.IsZero() {
			wake = p.opts.Clock.After(next.Sub(p.opts.Clock.Now()))
		}

		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ended
			}

			return
		case <-ended:
			running--
		case <-p.opts.Tracker.Notified():
		case <-wake:
		}
	}
}

// probe asks some targets of name at the same time, and records whether one has answered. A service without targets counts as
// reached, as no other host can serve it.
func (p *Prober) probe(ctx context.Context, name entity.ServiceName) {
	targets := p.opts.Fleet().Of(name)

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	answers := make(chan error, targetsPerProbe)
	asked := 0

	for _, i := range rand.Perm(len(targets)) {
		if asked == targetsPerProbe {
			break
		}

		asked++

		go func() { answers <- p.opts.Targets.Probe(ctx, targets[i]) }()
	}

	reached := asked == 0

	for range asked {
		if err := <-answers; err != nil {
			p.opts.Log.Debug().Str("service", string(name)).Err(err).Msg("a probe has reached no target")
		} else {
			reached = true

			cancel() // the other answers are of no use
		}
	}

	p.opts.Tracker.RecordProbe(p.opts.Clock.Now(), name, reached)
}
