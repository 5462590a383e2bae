package host

import (
	"context"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/entry/admissionloop"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/entry/crashguard"
	"github.com/dotterelflow/dotterelflow/internal/entry/crashsync"
	"github.com/dotterelflow/dotterelflow/internal/entry/dispatch"
	"github.com/dotterelflow/dotterelflow/internal/entry/fleetcontrol"
	"github.com/dotterelflow/dotterelflow/internal/entry/loadreports"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/entry/requests"
	"github.com/dotterelflow/dotterelflow/internal/entry/rolebalance"
	"github.com/dotterelflow/dotterelflow/internal/entry/router"
	meters "github.com/dotterelflow/dotterelflow/internal/measure/metrics"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
	"github.com/dotterelflow/dotterelflow/internal/wire/service"
)

// build creates the components, connects them and starts those that run in the background. They end with ctx, except
// for the admission loop and the claims, which Host.Stop ends.
func (h *Host) build(ctx context.Context) error {
	clock := h.opts.Clock
	seed := clock.Now().UnixNano()

	h.engines = engine.NewClient(engine.Options{Clock: clock, IdleTimeout: h.opts.Liveness})
	h.router = router.New(router.Options{Clock: clock, Home: h.opts.DataCentre, Seed: seed})
	h.admissionLoop = admissionloop.Start(admissionloop.Options{Clock: clock, Admission: admission.Options{Horizon: admissionHorizon}})
	h.meter = rolebalance.NewMeter(clock, h.opts.DataCentre, h.admissionLoop, h.opts.Demand)
	h.claims = ledger.New(ledger.Options{Store: h.opts.Platform, Host: h.opts.ID, Clock: clock})
	h.crashers = crashtracker.New()
	h.guard = crashguard.New(crashguard.Options{
		Clock: clock, Self: h.opts.ID, Crashers: h.crashers, OnLoss: func(entity.TargetID) { h.network.HeartbeatNow() },
	})
	h.network = peers.New(peers.Options{
		Clock: clock, Log: h.opts.Log, Panics: h.panics, Host: h.opts.ID, DataCentre: h.opts.DataCentre,
		Address: h.PeerAddress(), Seeds: h.opts.Seeds, Digests: h,
	})
	h.crashSyncer = crashsync.New(crashsync.Options{
		Clock: clock, Log: h.opts.Log, DataCentre: h.opts.DataCentre, Table: h.crashers, Peers: h.network,
	})
	h.config = configuration.Start(ctx, h.opts.Platform, h.network, clock, uint64(seed))
	h.loads = loadreports.Start(ctx, loadreports.Options{
		Clock: clock, Engines: h.engines, Targets: h.targets, Polls: h.isPoller, OnReport: h.onLoadReport,
	})

	h.burn = newBurnCounts(h)

	go h.burn.saver.Run(ctx)

	h.budget = newRetryBudget(clock)
	heldAnswers := answers.NewTable(answers.Options{Clock: clock})
	h.runner = dispatch.New(dispatch.Options{
		Clock: clock, Home: h.opts.DataCentre, Engines: h.engines, Services: service.NewClient(service.Options{Clock: clock}),
		Peers: h.network, Router: h.router, Phases: h.router, Versions: h.router, Retries: h.budget, Guard: h.guard, Log: h.opts.Log,
		Panics: h.panics,
	})
	h.fleetControl = fleetcontrol.Start(ctx, fleetcontrol.Options{
		Clock: clock, Log: h.opts.Log, Host: h.opts.ID, Address: h.PeerAddress(), DataCentre: h.opts.DataCentre,
		Platform: h.opts.Platform, Engines: h.engines.Orders(), Local: local{h}, Seed: uint64(seed),
	})
	h.balancer = rolebalance.Start(ctx, rolebalance.Options{
		Clock: clock, Log: h.opts.Log, Registry: h.registry, DataCentre: h.opts.DataCentre, Platform: h.opts.Platform,
		Site: local{h}, Roles: h.opts.Roles,
	})
	h.network.Start(ctx)
	h.crashSyncer.Start(ctx)

	requestService := requests.New(requests.Options{
		Clock: clock, Host: h.opts.ID, Home: h.opts.DataCentre, Runner: h.runner, Router: h.router, Phases: h.router,
		Claims: sharedClaims{h.claims, h}, Answers: heldAnswers, Peers: h.network, Admission: h.meter, Quarantine: h.guard,
		Log: h.opts.Log, Panics: h.panics,
	})

	sender := copies.NewServer(copies.ServerOptions{Clock: clock, Log: h.opts.Log, Source: h.copySource})

	h.peers = peers.NewGRPCServer(h.network, peers.Services{
		Copies:   sender.Handle,
		Snapshot: h.config.Current, Runner: h.runner, Answers: heldAnswers, Configuration: h.newerConfiguration,
		Claim: h.claimForPeer, Crashes: h.crashSyncer.Handle, Burn: h.burn.encodePending,
	})

	if err := h.buildCallers(requestService); err != nil {
		return err
	}

	return h.buildOperator()
}

// buildOperator creates the server of the operator API.
func (h *Host) buildOperator() error {
	handler, err := operator.Handler(
		backend{host: h, editor: configuration.NewEditor(h.opts.Platform, h.opts.Clock, h.config.Contents)},
		operator.Options{KeyHash: h.opts.OperatorKeyHash, Clock: h.opts.Clock, Panics: h.panics})
	if err != nil {
		return Error.Wrap(err)
	}

	h.operator = h.newHTTPServer(h.operatorSocket, handler)

	return nil
}

// buildCallers creates the server of the caller API. Each ended call is counted in the metrics and the service-level
// counts; a successful one also refills the retry budget of its account.
func (h *Host) buildCallers(requestService *requests.Service) error {
	calls := meters.NewCalls(h.registry)

	api, err := caller.NewServer(caller.Options{
		Clock: h.opts.Clock, Requests: requestService, Configuration: h.config, Ready: h.Ready, Log: h.opts.Log,
		Panics: h.panics,
		Observe: func(o caller.Outcome) {
			calls.RequestEnded(o.Request.Kind.Urgency, o.Problem, o.FirstToken, o.Total)
			h.burn.observe(o)
			h.budget.observe(o)
		},
	})
	if err != nil {
		return Error.Wrap(err)
	}

	h.callers = h.newHTTPServer(h.callerSocket, api)

	return nil
}
