package placing

import (
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// queued is a prompt that this host has placed and whose prefill has not ended.
type queued struct {
	rank   int
	tokens entity.Tokens
	part   Prefix    // large shared part that the prompt brings to the replica; zero for none
	since  time.Time // when the prompt was first seen at the head of its queue; zero if it was not seen there
}

// enqueue appends a prompt to the queue of target. The caller holds mu.
func (b *Board) enqueue(target entity.TargetID, rank int, tokens entity.Tokens) *queued {
	q := &queued{rank: rank, tokens: tokens}
	b.queues[target] = append(b.queues[target], q)

	return q
}

// underWay returns the replica with the longest queued prompt that brings the large shared part p to it, or "". Prompts that
// are placed there next find the part. The caller holds mu.
func (b *Board) underWay(p Prefix) entity.TargetID {
	if parts := b.parts[p]; len(parts) > 0 {
		return parts[0]
	}

	return ""
}

// dequeue removes q, which may be nil, from the queue of target. The caller holds mu.
func (b *Board) dequeue(target entity.TargetID, q *queued) {
	queue := b.queues[target]

	i := slices.Index(queue, q)
	if q == nil || i < 0 {
		return
	}

	if parts := b.parts[q.part]; len(parts) > 1 {
		b.parts[q.part] = slices.Delete(parts, slices.Index(parts, target), slices.Index(parts, target)+1)
	} else {
		delete(b.parts, q.part)
	}

	if queue = slices.Delete(queue, i, i+1); len(queue) == 0 {
		delete(b.queues, target)

		return
	}

	b.queues[target] = queue
}

// blockingTokens estimates the tokens still to be prefilled of the prompt at the head of target's queue if it is less
// urgent than rank, and returns zero otherwise. A prefill that has started is not preempted. The caller holds mu.
func (b *Board) blockingTokens(now time.Time, target entity.TargetID, rank int) entity.Tokens {
	queue := b.queues[target]
	if len(queue) == 0 {
		return 0
	}

	head := queue[0]
	if head.since.IsZero() {
		head.since = now
	}

	if head.rank <= rank {
		return 0 // its tokens are already counted in PendingPrefill
	}

	processed := entity.Tokens(now.Sub(head.since).Seconds() * b.idlePrefillRate)

	return max(head.tokens-processed, 0)
}
