package relay

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Prompts chooses which replica reads a prompt.
type Prompts interface {
	// Place chooses among candidates of service. The claim of a prompt that is not ended counts for hold after
	// its expected wait. It reports false if no candidate accepts job.
	Place(ctx context.Context, service table.ServiceName, candidates []fleet.Target, job placing.Job, hold time.Duration) (Prompt, bool)
}

// Prompt is a placed prompt. End must be called once.
type Prompt interface {
	Placement() placing.Placement
	End(e placing.Ending)
}

// Here returns Prompts that are placed by this host alone, with what board knows.
func Here(clock clockwork.Clock, board *placing.Board) Prompts {
	return here{clock, board}
}

type here struct {
	clock clockwork.Clock
	board *placing.Board
}

func (h here) Place(
	_ context.Context, _ table.ServiceName, candidates []fleet.Target, job placing.Job, _ time.Duration,
) (Prompt, bool) {
	place, ok := h.board.ForPrompt(h.clock.Now(), candidates, job)

	return &placedHere{place}, ok
}

type placedHere struct{ place placing.Placement }

func (p *placedHere) Placement() placing.Placement { return p.place }

// End implements Prompt. What the ending tells, the relay notes on the board itself.
func (p *placedHere) End(placing.Ending) { p.place.Claim.Release() }
