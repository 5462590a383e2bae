package relay

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
)

// PromptPlacer chooses the replica that prefills a prompt.
type PromptPlacer interface {
	// Place chooses one of candidates, which are replicas of service, and counts the prompt's work there. If another
	// host places the prompt and does not receive the end of it, that host counts the work for the expected wait plus
	// hold.
	// Place reports false if no candidate accepts job.
	Place(ctx context.Context, service entity.ServiceName, candidates []fleet.Target, job placing.Job, hold time.Duration) (PlacedPrompt, bool)
}

// PlacedPrompt is a placed prompt. Its work is counted at the replica until End is called, which must happen once.
type PlacedPrompt interface {
	Placement() placing.Placement
	End(result placing.PromptResult)
}

// NewLocalPlacer returns a PromptPlacer that chooses on this host alone, without its peers, from the state of board.
func NewLocalPlacer(clock clockwork.Clock, board *placing.Board) PromptPlacer {
	return localPlacer{clock, board}
}

type localPlacer struct {
	clock clockwork.Clock
	board *placing.Board
}

func (l localPlacer) Place(
	_ context.Context, _ entity.ServiceName, candidates []fleet.Target, job placing.Job, _ time.Duration,
) (PlacedPrompt, bool) {
	placement, ok := l.board.PlacePrompt(l.clock.Now(), candidates, job)

	return &localPrompt{placement}, ok
}

type localPrompt struct{ placement placing.Placement }

func (p *localPrompt) Placement() placing.Placement { return p.placement }

// End implements PlacedPrompt. It ignores the result, since the Relay has already recorded the outcome on the same board.
func (p *localPrompt) End(placing.PromptResult) { p.placement.Claim.Release() }
