package placer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/cells"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// maxClaims bounds the prompts that other hosts may have placed here at a time; about 300 bytes each.
	maxClaims = 16_384
	// maxParts and maxAvoid bound what one prompt may bring along.
	maxParts = 64
	maxAvoid = 64
	// maxHold bounds the time for which a claim counts that is not ended, its expected wait included.
	maxHold = time.Minute
	// maxTokens bounds a prompt; the longest contexts of models are a tenth of it.
	maxTokens = 16 << 20
)

// DeskOptions are the parts of a Desk. All are required but Clock.
type DeskOptions struct {
	Clock clockwork.Clock // nil means the real clock
	Board *placing.Board
	Fleet func() *fleet.Snapshot
	Ready func() bool
}

// Desk places prompts for other hosts. It is safe for concurrent use.
type Desk struct {
	opts DeskOptions

	mu        sync.Mutex
	lastClaim uint64
	claims    map[uint64]claim
}

type claim struct {
	place placing.Placement
	parts []placing.Part
	until time.Time
}

// NewDesk returns a Desk.
func NewDesk(opts DeskOptions) *Desk {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	return &Desk{opts: opts, claims: map[uint64]claim{}}
}

// Place chooses a replica for a prompt of another host. A reply without a claim means that it has none to offer.
func (d *Desk) Place(r *peer.PlaceRequest) *peer.PlaceReply {
	if !d.opts.Ready() || len(r.GetParts()) > maxParts || len(r.GetAvoid()) > maxAvoid || r.GetPrompt() < 0 || r.GetPrompt() > maxTokens {
		return &peer.PlaceReply{}
	}

	now := d.opts.Clock.Now()
	job := jobOf(r)
	mergeResting(d.opts.Board, now, r.GetResting())

	readers := d.opts.Fleet().InRole(table.ServiceName(r.GetService()), table.Prefill)
	candidates := cells.In(table.DataCentre(r.GetDataCentre()), readers)

	d.mu.Lock()
	defer d.mu.Unlock()

	if len(d.claims) >= maxClaims {
		return &peer.PlaceReply{}
	}

	place, ok := d.opts.Board.ForPrompt(now, candidates, job)
	if !ok {
		return &peer.PlaceReply{}
	}

	hold := min(place.Wait+min(max(time.Duration(r.GetHoldMs())*time.Millisecond, 0), maxHold), maxHold)

	d.lastClaim++
	d.claims[d.lastClaim] = claim{place: place, parts: job.Parts, until: now.Add(hold)}

	return &peer.PlaceReply{
		Claim: d.lastClaim, Target: string(place.Target.ID), Cached: int64(place.Cached), WaitUs: place.Wait.Microseconds(),
		Work: int64(place.Work), Alone: place.Alone, Resting: restingTargets(d.opts.Board, now),
	}
}

func jobOf(r *peer.PlaceRequest) placing.Job {
	job := placing.Job{
		ID: table.RequestID(r.GetRequest()), Prompt: table.Tokens(r.GetPrompt()), Output: table.Tokens(r.GetOutput()),
		Rank: int(r.GetRank()), Near: table.DataCentre(r.GetNear()), Sole: true,
	}

	for _, part := range r.GetParts() {
		job.Parts = append(job.Parts, placing.Part{ID: part.GetId(), Tokens: table.Tokens(max(part.GetTokens(), 0))})
	}

	for _, id := range r.GetAvoid() {
		job.Avoid = append(job.Avoid, table.TargetID(id))
	}

	return job
}

// End ends a claim. One that is not known, or no longer, has no effect.
func (d *Desk) End(r *peer.EndPlaceRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()

	c, ok := d.claims[r.GetClaim()]
	if !ok {
		return
	}

	delete(d.claims, r.GetClaim())

	outcome := placing.Refused
	if r.GetOutcome() < uint32(placing.Refused) {
		outcome = placing.Outcome(r.GetOutcome())
	}

	d.opts.Board.End(d.opts.Clock.Now(), c.place, c.parts, placing.Ending{
		Sent: r.GetSent(), Outcome: outcome, Took: time.Duration(r.GetTookUs()) * time.Microsecond,
	})
}

// Tick takes back the claims whose hosts have not ended them in time.
func (d *Desk) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for id, c := range d.claims {
		if now.After(c.until) {
			c.place.Claim.Release()
			delete(d.claims, id)
		}
	}
}
