package relay

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Places chooses the replicas of a stream.
type Places interface {
	// Prompt chooses which of candidates reads the prompt. A claim that is not ended counts for hold after its
	// expected wait. It reports false if no candidate accepts job.
	Prompt(ctx context.Context, service table.ServiceName, candidates []fleet.Target, job placing.Job, hold time.Duration) (Placed, bool)
	// Answer chooses which of candidates, each with room for capacity tokens, generates the answer.
	// It reports false if no candidate accepts job.
	Answer(
		ctx context.Context, service table.ServiceName, candidates []fleet.Target, job placing.Job, capacity table.Tokens, hold time.Duration,
	) (Placed, bool)
}

// Placed is a placed prompt or answer. End must be called once.
type Placed interface {
	Placement() placing.Placement
	End(e placing.Ending)
}

// Here returns Places that this host alone chooses, with what board knows.
func Here(clock clockwork.Clock, board *placing.Board) Places {
	return here{clock, board}
}

type here struct {
	clock clockwork.Clock
	board *placing.Board
}

func (h here) Prompt(
	_ context.Context, _ table.ServiceName, candidates []fleet.Target, job placing.Job, _ time.Duration,
) (Placed, bool) {
	place, ok := h.board.ForPrompt(h.clock.Now(), candidates, job)

	return &placedHere{place}, ok
}

func (h here) Answer(
	_ context.Context, _ table.ServiceName, candidates []fleet.Target, job placing.Job, capacity table.Tokens, _ time.Duration,
) (Placed, bool) {
	place, ok := h.board.ForAnswer(h.clock.Now(), candidates, job, capacity)

	return &placedHere{place}, ok
}

type placedHere struct{ place placing.Placement }

func (p *placedHere) Placement() placing.Placement { return p.place }

// End implements Placed. What the ending tells, the relay notes on the board itself.
func (p *placedHere) End(placing.Ending) { p.place.Claim.Release() }
