package rolebalance

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/roles"
)

const (
	decideInterval = time.Second
	// decisionPause is longer than the authority holder's interval between two reads of the plans, so that each
	// decision takes account of the plans declared before it.
	decisionPause  = 6 * time.Second
	declareTimeout = 2 * time.Second
)

// MetricChanges is the name of the metric that counts the role changes declared by this host.
const MetricChanges = "role-changes"

// Site provides the state of the data centre to a Balancer. Its methods are called from one goroutine.
type Site interface {
	// HoldsAuthority reports whether this host holds the authority of its data centre now.
	HoldsAuthority() bool
	// Input returns the input of a role decision and the weights of the deployment.
	Input() (roles.Input, entity.Weights)
}

// Options configure a Balancer. Site and Platform are required.
type Options struct {
	Clock      clockwork.Clock  // nil means the real clock
	Log        *log.Logger      // nil means the default logger
	Registry   metrics.Registry // nil means the default registry
	DataCentre entity.DataCentre
	Platform   plans.Store
	Site       Site
	Roles      roles.Options // Weights is replaced by the weights of Site.Input
}

// Balancer declares role changes. It is safe for concurrent use.
type Balancer struct {
	opts        Options
	changes     metrics.Counter
	done        chan struct{}
	pausedUntil time.Time // no decision is made before this time
}

// Start runs a Balancer until ctx ends.
func Start(ctx context.Context, opts Options) *Balancer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	b := &Balancer{opts: opts, changes: metrics.GetOrRegisterCounter(MetricChanges, opts.Registry), done: make(chan struct{})}

	go b.run(ctx)

	return b
}

// Done returns a channel that is closed once the Balancer has ended.
func (b *Balancer) Done() <-chan struct{} {
	return b.done
}

func (b *Balancer) run(ctx context.Context) {
	defer close(b.done)

	tick := b.opts.Clock.NewTicker(decideInterval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
		}

		now := b.opts.Clock.Now()

		switch {
		case !b.opts.Site.HoldsAuthority():
			b.pausedUntil = now.Add(decisionPause)
		case now.After(b.pausedUntil):
			b.decide(ctx)
		}
	}
}

// decide declares the role change that the role policy proposes, if any, and then pauses decisions.
func (b *Balancer) decide(ctx context.Context) {
	in, weights := b.opts.Site.Input()
	opts := b.opts.Roles
	opts.Weights = weights

	p, ok := roles.Propose(opts, in, b.opts.DataCentre)
	if !ok {
		return
	}

	b.pausedUntil = b.opts.Clock.Now().Add(decisionPause)

	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()

	reason := reasonOf(in, p)
	err := plans.Declare(ctx, b.opts.Platform, b.opts.DataCentre, plans.Plan{
		ID: plans.ID(uuid.NewString()), Kind: plans.RoleChange, Target: p.Target, By: "role policy: " + reason,
		Setting: &orders.Setting{Role: p.Role, Model: modelOf(in, p.Target)},
	}, b.opts.Clock.Now())
	if err != nil {
		b.opts.Log.Warn().Str("target", string(p.Target)).Err(err).Msg("cannot declare a role change")

		return
	}

	b.changes.Inc(1)
	b.opts.Log.Info().Str("target", string(p.Target)).Str("role", p.Role.String()).Str("reason", reason).Msg("role change declared")
}

// modelOf returns the model of an engine of in, or "" if in does not contain it.
func modelOf(in roles.Input, id entity.TargetID) entity.Model {
	for _, e := range in.Engines {
		if e.Target == id {
			return e.Model
		}
	}

	return ""
}

// reasonOf describes the gain of a proposal and the demand for the target's model, for logs and plans.
func reasonOf(in roles.Input, p roles.Proposal) string {
	var rate, backlog roles.Rate

	for _, l := range in.Loads {
		if l.Model == modelOf(in, p.Target) {
			rate, backlog = rate.Add(l.Rate), backlog.Add(l.Backlog)
		}
	}

	return fmt.Sprintf("%.1f requests more within the horizon; %.0f prefill and %.0f decode tokens per second, %.0f requests waiting",
		p.Gain, rate.Prefill, rate.Decode, backlog.Requests)
}
