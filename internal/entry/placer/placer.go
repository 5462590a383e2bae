// Package placer places prompts on prefill replicas. The replicas form cells: with few entry hosts all replicas are
// one cell, otherwise those of each data centre are one (see package cells). One entry host, the placer of a cell,
// makes all choices there, and so takes all work in the cell into account. A host places a prompt by itself if no
// placer does.
package placer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/backoff"
	"github.com/dotterelflow/dotterelflow/internal/control/cells"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// placeTimeout bounds a Place call to a placer: many times the round trip between data centres, and a small part of
	// the objectives of streams.
	placeTimeout = 100 * time.Millisecond
	// endTimeout bounds an EndPlace call. If the call fails, the claim expires at the placer.
	endTimeout = time.Second
	// minPause and maxPause bound the time for which no request is sent to a placer that did not answer.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
	// strongDivisor divides the processor time of the strongest host of a cell; hosts with less than the result do not place
	// for others. A placer works for all hosts of its cell, and all of them wait if it has to wait for its turn of a processor.
	strongDivisor = 2
	// maxCells bounds the cells whose placers receive a Place call for one prompt.
	maxCells = 2
)

// Peers is the connection to the other entry hosts.
type Peers interface {
	// Live returns the peers that are alive.
	Live() []members.Member
	// Place sends r to the host at address, which places the prompt. Claim 0 in the reply means that the host chose no target.
	Place(ctx context.Context, address string, r *peer.PlaceRequest) (*peer.PlaceReply, error)
	// EndPlace ends a claim that the host at address returned from Place.
	EndPlace(ctx context.Context, address string, r *peer.EndPlaceRequest) error
}

// Options configure a Placer. All fields but Clock and Log are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	Host       entity.HostID
	DataCentre entity.DataCentre
	Address    string         // ip:port of this host's peer API
	Processor  int            // processor time of this host, in thousandths of a core; zero if unknown
	Board      *placing.Board // this host's view of the work on replicas
	Peers      Peers
	Ready      func() bool // whether this host may place prompts
	// Excludes reports whether a peer cannot place prompts although it is ready; nil means that none is.
	Excludes func(entity.HostID) bool
}

// Placer implements relay.PromptPlacer. It is safe for concurrent use.
type Placer struct {
	opts  Options
	local relay.PromptPlacer

	placedLocally atomic.Int64 // number of prompts that no placer has placed

	mu            sync.Mutex
	remotePlacers map[entity.DataCentre]string // addresses of the placers of other data centres, as reported in heartbeats
	pausedPlacers map[string]backoff.Backoff   // pauses of the placers that did not answer the last request, by address
}

// New returns a Placer that has no addresses of placers in other data centres yet.
func New(opts Options) *Placer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Excludes == nil {
		opts.Excludes = func(entity.HostID) bool { return false }
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Placer{
		opts: opts, local: relay.NewLocalPlacer(opts.Clock, opts.Board),
		remotePlacers: map[entity.DataCentre]string{}, pausedPlacers: map[string]backoff.Backoff{},
	}
}

// SetPlacer records that the host at address places the prompts of dc, as a host in dc states in a heartbeat. An empty
// address has no effect.
func (p *Placer) SetPlacer(dc entity.DataCentre, address string) {
	if address == "" {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.remotePlacers[dc] = address
}

// HomePlacer returns the address of the host that places the prompts of this host's data centre, or "" if no host there
// is known to be ready.
func (p *Placer) HomePlacer() string { return p.placerOf(p.opts.DataCentre, p.opts.Peers.Live()) }

// placerOf returns the address of the host that places the prompts of cell, or "" if none is known.
func (p *Placer) placerOf(cell entity.DataCentre, live []members.Member) string {
	if cell != cells.AllReplicas && cell != p.opts.DataCentre {
		p.mu.Lock()
		defer p.mu.Unlock()

		return p.remotePlacers[cell]
	}

	var hosts []members.Member
	if p.opts.Ready() {
		hosts = append(hosts, members.Member{Host: p.opts.Host, Address: p.opts.Address, Processor: p.opts.Processor})
	}

	for _, m := range live {
		if m.Ready && !m.Stopping && !p.opts.Excludes(m.Host) && (cell == cells.AllReplicas || cell == m.DataCentre) {
			hosts = append(hosts, m)
		}
	}

	addresses := map[entity.HostID]string{}
	for _, m := range strong(hosts) {
		addresses[m.Host] = m.Address
	}

	return addresses[cells.Placer(cell, slices.Collect(maps.Keys(addresses)))]
}

// strong returns the hosts with at least 1/strongDivisor of the most processor time among hosts. Those whose processor time is
// unknown belong to them only if it is unknown of all.
func strong(hosts []members.Member) []members.Member {
	most := 0
	for _, m := range hosts {
		most = max(most, m.Processor)
	}

	return slices.DeleteFunc(hosts, func(m members.Member) bool { return m.Processor*strongDivisor < most })
}

// Place implements relay.PromptPlacer. It calls the placers of up to maxCells cells in the order of cells.Rank, stops at
// an expected wait of at most job.AcceptableWait, and takes the best place (see Board.Better). If none of them places the
// prompt, this host does.
func (p *Placer) Place(
	ctx context.Context, service entity.ServiceName, candidates []fleet.Target, job placing.Job, hold time.Duration,
) (relay.PlacedPrompt, bool) {
	live := p.opts.Peers.Live()
	ranked := cells.Rank(candidates, len(live)+1, job)

	var best relay.PlacedPrompt

	for _, cell := range ranked[:min(maxCells, len(ranked))] {
		prompt := p.placeIn(ctx, cell, p.placerOf(cell, live), service, candidates, job, hold)

		switch {
		case prompt == nil:
			continue
		case best == nil:
			best = prompt
		case p.opts.Board.Better(prompt.Placement(), best.Placement(), job):
			best.End(placing.PromptResult{})
			best = prompt
		default:
			prompt.End(placing.PromptResult{})
		}

		if best.Placement().Wait <= job.AcceptableWait {
			break
		}
	}

	if best != nil {
		return best, true
	}

	p.placedLocally.Add(1)

	return p.local.Place(ctx, service, candidates, job, hold)
}

// PlacedLocally returns the number of prompts that this host placed by itself, because no placer did.
func (p *Placer) PlacedLocally() int64 { return p.placedLocally.Load() }

// placeIn calls the placer of cell, at address, to choose a target in cell, or chooses one of candidates itself if this
// host is the placer. It returns nil if address is empty or paused, the call fails, the caller disconnects, or the placer
// chooses no target, one that is not among candidates, or one of job.Avoid.
func (p *Placer) placeIn(
	ctx context.Context, cell entity.DataCentre, address string, service entity.ServiceName, candidates []fleet.Target, job placing.Job,
	hold time.Duration,
) relay.PlacedPrompt {
	switch {
	case address == "":
		return nil
	case address == p.opts.Address:
		job.SolePlacer = true

		if prompt, ok := p.local.Place(ctx, service, cells.Members(cell, candidates), job, hold); ok {
			return prompt
		}

		return nil
	case p.paused(address):
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()

	r := placeRequest(cell, service, job, hold)
	r.Resting = restingTargets(p.opts.Board, p.opts.Clock.Now())

	reply, err := p.opts.Peers.Place(ctx, address, r)
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil // the caller disconnected; this is no failure of the placer
	}

	p.noteReply(address, err)
	mergeResting(p.opts.Board, p.opts.Clock.Now(), reply.GetResting())

	if err != nil || reply.GetClaim() == 0 {
		return nil
	}

	remote := &remotePrompt{placer: p, address: address, claim: reply.GetClaim()}

	i := slices.IndexFunc(candidates, func(t fleet.Target) bool { return t.ID == entity.TargetID(reply.GetTarget()) })
	if i < 0 || slices.Contains(job.Avoid, candidates[i].ID) {
		remote.End(placing.PromptResult{}) // the placer chose a target that this host does not list, or one of job.Avoid

		return nil
	}

	remote.placement = placing.Placement{
		Target: candidates[i], Cached: entity.Tokens(reply.GetCached()), Wait: time.Duration(reply.GetWaitUs()) * time.Microsecond,
		PrefillTokens: entity.Tokens(reply.GetWork()), Exclusive: reply.GetAlone(),
	}

	return remote
}

// paused reports whether the placer at address failed recently and gets no requests now.
func (p *Placer) paused(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	pause := p.pausedPlacers[address]

	return pause.Active(p.opts.Clock.Now())
}

// noteReply records whether the placer at address has answered: a nil err ends its pause, any other starts one unless
// a pause is under way.
func (p *Placer) noteReply(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if err == nil {
		delete(p.pausedPlacers, address)

		return
	}

	now := p.opts.Clock.Now()

	pause := p.pausedPlacers[address]
	if pause.Active(now) {
		return
	}

	pause.Fail(now, minPause, maxPause)
	p.pausedPlacers[address] = pause
	p.opts.Log.Info().Str("peer", address).Dur("pause", pause.End().Sub(now)).Err(err).Msg("prompts are placed without a peer")
}

// remotePrompt is a prompt that another host has placed.
type remotePrompt struct {
	placer    *Placer
	address   string // ip:port of the peer API of the host that placed the prompt
	claim     uint64 // id of the claim at that host
	placement placing.Placement
}

func (r *remotePrompt) Placement() placing.Placement { return r.placement }

// End ends the claim at the placer. It does so in the background, as the request must not wait for it.
func (r *remotePrompt) End(result placing.PromptResult) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()

		err := r.placer.opts.Peers.EndPlace(ctx, r.address, &peer.EndPlaceRequest{
			Claim: r.claim, Sent: result.Sent, Outcome: uint32(result.Outcome), TookUs: result.PrefillTime.Microseconds(),
		})
		if err != nil {
			r.placer.opts.Log.Debug().Str("peer", r.address).Err(err).Msg("claim of a prompt not ended at its placer; it will expire")
		}
	}()
}

// restingTargets returns the paused targets of board (see Board.PausedTargets) in the form of the peer API.
func restingTargets(board *placing.Board, now time.Time) []*peer.RestingTarget {
	var targets []*peer.RestingTarget
	for _, t := range board.PausedTargets(now) {
		targets = append(targets, &peer.RestingTarget{Target: string(t.Target), LeftMs: uint32(t.Remaining.Milliseconds()), Words: t.Version})
	}

	return targets
}

// mergeResting passes another host's list of resting targets to board.
func mergeResting(board *placing.Board, now time.Time, received []*peer.RestingTarget) {
	if len(received) == 0 {
		return
	}

	targets := make([]placing.PausedTarget, 0, len(received))
	for _, t := range received {
		targets = append(targets, placing.PausedTarget{
			Target: entity.TargetID(t.GetTarget()), Remaining: time.Duration(t.GetLeftMs()) * time.Millisecond, Version: t.GetWords(),
		})
	}

	board.MergePaused(now, targets)
}

// placeRequest returns the peer API's form of job, without the resting targets.
func placeRequest(cell entity.DataCentre, service entity.ServiceName, job placing.Job, hold time.Duration) *peer.PlaceRequest {
	r := &peer.PlaceRequest{
		Request: string(job.ID), Service: string(service), DataCentre: string(cell), Near: string(job.Near),
		Prompt: int64(job.Prompt), Output: int64(job.Output), Rank: uint32(max(job.Rank, 0)), HoldMs: hold.Milliseconds(),
	}

	if job.Version != nil {
		r.OneVersion, r.Version = true, string(*job.Version)
	}

	for _, part := range job.Parts {
		r.Parts = append(r.Parts, &peer.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
	}

	for _, id := range job.Avoid {
		r.Avoid = append(r.Avoid, string(id))
	}

	return r
}
