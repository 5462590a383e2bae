package placing

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// queued is a prompt that this host has placed and that is not read yet.
type queued struct {
	rank   int
	tokens table.Tokens
	since  time.Time // when it was first seen at the head of its queue; zero before
}

func (b *Board) enqueue(target table.TargetID, rank int, tokens table.Tokens) *queued {
	q := &queued{rank: rank, tokens: tokens}
	b.queues[target] = append(b.queues[target], q)

	return q
}

func (b *Board) leave(target table.TargetID, q *queued) {
	queue := b.queues[target]

	i := slices.Index(queue, q)
	if q == nil || i < 0 {
		return
	}

	if queue = slices.Delete(queue, i, i+1); len(queue) == 0 {
		delete(b.queues, target)

		return
	}

	b.queues[target] = queue
}

// begun returns the tokens left of a prompt that target has begun to read and that is less urgent than rank:
// a prompt that was begun is read to its end. The caller holds mu.
func (b *Board) begun(now time.Time, target table.TargetID, rank int) table.Tokens {
	queue := b.queues[target]
	if len(queue) == 0 {
		return 0
	}

	head := queue[0]
	if head.since.IsZero() {
		head.since = now
	}

	if head.rank <= rank {
		return 0 // counted with its rank
	}

	read := table.Tokens(now.Sub(head.since).Seconds() * b.alone)

	return max(head.tokens-read, 0)
}
