// Package placer has the prompts of each cell placed by one entry host, and places them here while that
// host does not answer.
package placer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/cells"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/pauses"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// placeTimeout is the time after which a placer counts as away: many times the way between data centres and
	// back, and a small part of the objectives of streams.
	placeTimeout = 100 * time.Millisecond
	// endTimeout bounds the word that a prompt has ended, after which its claim expires by itself.
	endTimeout = time.Second
	// minPause and maxPause bound the time for which a placer that did not answer is not asked.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
	// maxCells is the number of cells whose placers are asked for one prompt.
	maxCells = 2
)

// Peers are the other entry hosts.
type Peers interface {
	Live() []members.Member
	Place(ctx context.Context, address string, r *peer.PlaceRequest) (*peer.PlaceReply, error)
	EndPlace(ctx context.Context, address string, r *peer.EndPlaceRequest) error
}

// Options are the parts of a Placer. All are required but Clock and Log.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	Host       table.HostID
	DataCentre table.DataCentre
	Address    string // ip:port of the own peer API
	Board      *placing.Board
	Peers      Peers
	Ready      func() bool // whether this host may place prompts
}

// Placer implements relay.Prompts. It is safe for concurrent use.
type Placer struct {
	opts  Options
	local relay.Prompts

	placedLocally atomic.Int64 // prompts placed without their placer

	mu            sync.Mutex
	remotePlacers map[table.DataCentre]string // addresses of the placers of other data centres
	pausedPlacers map[string]pauses.Pause     // placers that did not answer, by address
}

// New returns a Placer.
func New(opts Options) *Placer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Placer{opts: opts, local: relay.Here(opts.Clock, opts.Board), remotePlacers: map[table.DataCentre]string{}, pausedPlacers: map[string]pauses.Pause{}}
}

// Hear notes that a host in dc says that the host at address places the prompts there; "" for nobody.
func (p *Placer) Hear(dc table.DataCentre, address string) {
	if address == "" {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.remotePlacers[dc] = address
}

// Home returns the address of the host that places the prompts of this data centre, or "" for none.
func (p *Placer) Home() string { return p.placerOf(p.opts.DataCentre, p.opts.Peers.Live()) }

// placerOf returns the address of the host that places the prompts of cell, or "" if none is known.
func (p *Placer) placerOf(cell table.DataCentre, live []members.Member) string {
	if cell != cells.Whole && cell != p.opts.DataCentre {
		p.mu.Lock()
		defer p.mu.Unlock()

		return p.remotePlacers[cell]
	}

	addresses := map[table.HostID]string{}
	if p.opts.Ready() {
		addresses[p.opts.Host] = p.opts.Address
	}

	for _, m := range live {
		if m.Ready && !m.Stopping && (cell == cells.Whole || cell == m.DataCentre) {
			addresses[m.Host] = m.Address
		}
	}

	hosts := make([]table.HostID, 0, len(addresses))
	for h := range addresses {
		hosts = append(hosts, h)
	}

	return addresses[cells.Placer(cell, hosts)]
}

// Place implements relay.Prompts.
func (p *Placer) Place(
	ctx context.Context, service table.ServiceName, candidates []fleet.Target, job placing.Job, hold time.Duration,
) (relay.Prompt, bool) {
	live := p.opts.Peers.Live()
	order := cells.Rank(candidates, len(live)+1, job)

	var best relay.Prompt

	for _, cell := range order[:min(maxCells, len(order))] {
		prompt := p.placeIn(ctx, cell, p.placerOf(cell, live), service, candidates, job, hold)

		switch {
		case prompt == nil:
			continue
		case best == nil:
			best = prompt
		case prompt.Placement().Wait < best.Placement().Wait:
			best.End(placing.Ending{})
			best = prompt
		default:
			prompt.End(placing.Ending{})
		}

		if best.Placement().Wait <= job.Enough {
			break
		}
	}

	if best != nil {
		return best, true
	}

	p.placedLocally.Add(1)

	return p.local.Place(ctx, service, candidates, job, hold)
}

// Alone returns the number of prompts that were placed here because no placer could be asked.
func (p *Placer) Alone() int64 { return p.placedLocally.Load() }

// placeIn has the placer at address choose in cell. It returns nil if that does not work out.
func (p *Placer) placeIn(
	ctx context.Context, cell table.DataCentre, address string, service table.ServiceName, candidates []fleet.Target, job placing.Job,
	hold time.Duration,
) relay.Prompt {
	switch {
	case address == "":
		return nil
	case address == p.opts.Address:
		job.Sole = true

		if here, ok := p.local.Place(ctx, service, cells.In(cell, candidates), job, hold); ok {
			return here
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
		return nil // the caller has gone, which says nothing of the placer
	}

	p.noteReply(address, err)
	mergeResting(p.opts.Board, p.opts.Clock.Now(), reply.GetResting())

	if err != nil || reply.GetClaim() == 0 {
		return nil
	}

	there := &remotePrompt{placer: p, address: address, claim: reply.GetClaim()}

	i := slices.IndexFunc(candidates, func(t fleet.Target) bool { return t.ID == table.TargetID(reply.GetTarget()) })
	if i < 0 || slices.Contains(job.Avoid, candidates[i].ID) {
		there.End(placing.Ending{}) // it knows other targets than this host

		return nil
	}

	there.place = placing.Placement{
		Target: candidates[i], Cached: table.Tokens(reply.GetCached()), Wait: time.Duration(reply.GetWaitUs()) * time.Microsecond,
		Work: table.Tokens(reply.GetWork()), Alone: reply.GetAlone(),
	}

	return there
}

func (p *Placer) paused(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	pause := p.pausedPlacers[address]

	return pause.Lasts(p.opts.Clock.Now())
}

// noteReply learns whether the placer at address answers.
func (p *Placer) noteReply(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if err == nil {
		delete(p.pausedPlacers, address)

		return
	}

	now := p.opts.Clock.Now()

	pause := p.pausedPlacers[address]
	if pause.Lasts(now) {
		return
	}

	pause.Fail(now, minPause, maxPause)
	p.pausedPlacers[address] = pause
	p.opts.Log.Info().Str("peer", address).Dur("pause", pause.End().Sub(now)).Err(err).Msg("prompts are placed without a peer")
}

// remotePrompt is a prompt that was placed by another host.
type remotePrompt struct {
	placer  *Placer
	address string
	claim   uint64
	place   placing.Placement
}

func (r *remotePrompt) Placement() placing.Placement { return r.place }

// End tells the placer without holding up the request.
func (r *remotePrompt) End(e placing.Ending) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()

		err := r.placer.opts.Peers.EndPlace(ctx, r.address, &peer.EndPlaceRequest{
			Claim: r.claim, Sent: e.Sent, Outcome: uint32(e.Outcome), TookUs: e.Took.Microseconds(),
		})
		if err != nil {
			r.placer.opts.Log.Debug().Str("peer", r.address).Err(err).Msg("end of a prompt not told; its claim expires")
		}
	}()
}

func restingTargets(board *placing.Board, now time.Time) []*peer.RestingTarget {
	var all []*peer.RestingTarget
	for _, t := range board.Resting(now) {
		all = append(all, &peer.RestingTarget{Target: string(t.Target), LeftMs: uint32(t.Left.Milliseconds()), Words: t.Words})
	}

	return all
}

func mergeResting(board *placing.Board, now time.Time, told []*peer.RestingTarget) {
	if len(told) == 0 {
		return
	}

	all := make([]placing.Resting, 0, len(told))
	for _, t := range told {
		all = append(all, placing.Resting{
			Target: table.TargetID(t.GetTarget()), Left: time.Duration(t.GetLeftMs()) * time.Millisecond, Words: t.GetWords(),
		})
	}

	board.HearResting(now, all)
}

func placeRequest(cell table.DataCentre, service table.ServiceName, job placing.Job, hold time.Duration) *peer.PlaceRequest {
	r := &peer.PlaceRequest{
		Request: string(job.ID), Service: string(service), DataCentre: string(cell), Near: string(job.Near),
		Prompt: int64(job.Prompt), Output: int64(job.Output), Rank: uint32(max(job.Rank, 0)), HoldMs: hold.Milliseconds(),
	}

	for _, part := range job.Parts {
		r.Parts = append(r.Parts, &peer.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
	}

	for _, id := range job.Avoid {
		r.Avoid = append(r.Avoid, string(id))
	}

	return r
}
