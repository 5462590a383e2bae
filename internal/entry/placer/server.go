package placer

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/cells"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// maxClaims bounds the open claims of other hosts' prompts; each takes about 300 bytes.
	maxClaims = 16_384
	// maxParts and maxAvoid bound the list lengths of one request.
	maxParts = 64
	maxAvoid = 64
	// maxHold bounds the time until a claim expires, the expected wait included.
	maxHold = time.Minute
	// maxTokens bounds the length of a prompt in tokens.
	maxTokens = 16 << 20
)

// ServerOptions are the arguments of NewServer. All fields but Clock are required.
type ServerOptions struct {
	Clock clockwork.Clock // nil means the real clock
	Board *placing.Board  // counts the work of the placed prompts
	Fleet func() *fleet.Snapshot
	Ready func() bool // whether this host may place prompts
}

// Server serves the requests of other entry hosts to place prompts. It is safe for concurrent use.
type Server struct {
	opts ServerOptions

	mu        sync.Mutex
	lastClaim uint64           // id of the newest claim
	claims    map[uint64]claim // open claims, by id
}

// claim is the work of another host's prompt that is counted on this host's board.
type claim struct {
	placement placing.Placement
	parts     []placing.Part
	until     time.Time // when the claim expires
}

// NewServer returns a Server without open claims.
func NewServer(opts ServerOptions) *Server {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	return &Server{opts: opts, claims: map[uint64]claim{}}
}

// Place chooses the replica that prefills another host's prompt and counts the work there until End or Tick ends the
// claim. A reply with claim 0 means that no replica was chosen: this host is not ready, a field of the request is out
// of bounds, too many claims are open, or no replica accepts the prompt.
func (s *Server) Place(r *peer.PlaceRequest) *peer.PlaceReply {
	if !s.opts.Ready() || len(r.GetParts()) > maxParts || len(r.GetAvoid()) > maxAvoid || r.GetPrompt() < 0 || r.GetPrompt() > maxTokens {
		return &peer.PlaceReply{}
	}

	now := s.opts.Clock.Now()
	job := jobOf(r)
	mergeResting(s.opts.Board, now, r.GetResting())

	service := entity.ServiceName(r.GetService())
	prefillReplicas := s.opts.Fleet().InRole(service, entity.Prefill)

	if r.GetOneVersion() {
		prefillReplicas = s.opts.Fleet().AtVersion(service, entity.Prefill, entity.SoftwareVersion(r.GetVersion()))
	}

	candidates := cells.Members(entity.DataCentre(r.GetDataCentre()), prefillReplicas)

	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.claims) >= maxClaims {
		return &peer.PlaceReply{}
	}

	placement, ok := s.opts.Board.PlacePrompt(now, candidates, job)
	if !ok {
		return &peer.PlaceReply{}
	}

	hold := min(placement.Wait+min(max(time.Duration(r.GetHoldMs())*time.Millisecond, 0), maxHold), maxHold)

	s.lastClaim++
	s.claims[s.lastClaim] = claim{placement: placement, parts: job.Parts, until: now.Add(hold)}

	return &peer.PlaceReply{
		Claim: s.lastClaim, Target: string(placement.Target.ID), Cached: int64(placement.Cached),
		WaitUs: placement.Wait.Microseconds(), Work: int64(placement.PrefillTokens), Alone: placement.Exclusive, Resting: restingTargets(s.opts.Board, now),
	}
}

// jobOf returns the job that r describes. Negative token counts of parts become zero.
func jobOf(r *peer.PlaceRequest) placing.Job {
	job := placing.Job{
		ID: entity.RequestID(r.GetRequest()), Prompt: entity.Tokens(r.GetPrompt()), Output: entity.Tokens(r.GetOutput()),
		Rank: int(r.GetRank()), Near: entity.DataCentre(r.GetNear()), SolePlacer: true,
	}

	for _, part := range r.GetParts() {
		job.Parts = append(job.Parts, placing.Part{ID: part.GetId(), Tokens: entity.Tokens(max(part.GetTokens(), 0))})
	}

	for _, id := range r.GetAvoid() {
		job.Avoid = append(job.Avoid, entity.TargetID(id))
	}

	return job
}

// End ends a claim and records on the board how the prompt ended. A claim that is unknown, or that End or Tick has
// ended, is ignored. An unknown outcome counts as a refusal.
func (s *Server) End(r *peer.EndPlaceRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()

	c, ok := s.claims[r.GetClaim()]
	if !ok {
		return
	}

	delete(s.claims, r.GetClaim())

	outcome := placing.Refused
	if r.GetOutcome() <= uint32(placing.Silent) {
		outcome = placing.Outcome(r.GetOutcome())
	}

	s.opts.Board.FinishPrompt(s.opts.Clock.Now(), c.placement, c.parts, placing.PromptResult{
		Sent: r.GetSent(), Outcome: outcome, PrefillTime: time.Duration(r.GetTookUs()) * time.Microsecond,
	})
}

// Tick releases the claims that have expired by now, as their hosts did not end them in time.
func (s *Server) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for id, c := range s.claims {
		if now.After(c.until) {
			c.placement.Claim.Release()
			delete(s.claims, id)
		}
	}
}
