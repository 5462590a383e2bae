package experiment

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	maxQueued         = 4000            // requests queued at a host
	refusalRetryAfter = 5 * time.Second // time after which a refused caller may try again
	maxBurst          = 1.0             // size of the token bucket, in seconds of prefill at the full rate
)

// laneOrder lists the urgencies in the order in which they are served.
var laneOrder = [...]entity.Urgency{entity.Urgent, entity.Ordinary, entity.Patient}

// laneSlotShare is the share of the slots up to which requests of each urgency may start. Urgent ones have no limit.
var laneSlotShare = [entity.UrgencyCount]float64{entity.Urgent: 1e9, entity.Ordinary: 0.95, entity.Patient: 0.7}

// fifoQueue is the baseline admission controller. It starts requests in order of urgency and, within an urgency, of
// arrival. Requests that are not urgent are limited by a share of the slots and a token bucket of prefill tokens.
type fifoQueue struct {
	capacity   admission.Capacity
	lanes      [entity.UrgencyCount][]admission.Work // queued requests by urgency
	queued     int                                   // number of requests in all lanes
	running    map[entity.RequestID]bool             // requests that have started and not ended
	bucket     float64                               // prompt tokens that may start; negative after a long prompt has started
	refilledAt time.Time
	refused    []admission.Refusal // expired requests that Expired has not returned yet
}

func newFIFOQueue() *fifoQueue {
	return &fifoQueue{running: make(map[entity.RequestID]bool)}
}

// SetCapacity implements Admission.
func (q *fifoQueue) SetCapacity(c admission.Capacity) { q.capacity = c }

// Offer implements Admission.
func (q *fifoQueue) Offer(_ time.Time, w admission.Work) admission.Decision {
	if q.queued >= maxQueued {
		return admission.Decision{Code: verdict.CodeOverloaded, RetryAfter: refusalRetryAfter}
	}

	q.lanes[w.Urgency] = append(q.lanes[w.Urgency], w)
	q.queued++

	return admission.Decision{Accepted: true}
}

// Next implements Admission. It does not start requests whose deadline has passed; Expired returns them.
func (q *fifoQueue) Next(now time.Time) []admission.Grant {
	q.refillBucket(now)

	var grants []admission.Grant

	for _, u := range laneOrder {
		for len(q.lanes[u]) > 0 && q.canStart(u) {
			w := q.pop(u)
			if now.After(w.Deadline) {
				q.refused = append(q.refused, admission.Refusal{Work: w, Decision: admission.Decision{Code: verdict.CodeDeadline}})

				continue
			}

			q.running[w.Request] = true
			q.bucket -= float64(w.Prefill)
			grants = append(grants, admission.Grant{Work: w})
		}
	}

	return grants
}

// refillBucket adds the prompt tokens of the time since the last call. The bucket starts empty.
func (q *fifoQueue) refillBucket(now time.Time) {
	rate := float64(q.capacity.PrefillPerSecond)

	if !q.refilledAt.IsZero() {
		q.bucket = min(q.bucket+rate*now.Sub(q.refilledAt).Seconds(), rate*maxBurst)
	}

	q.refilledAt = now
}

// canStart reports whether a request of urgency u may start now.
func (q *fifoQueue) canStart(u entity.Urgency) bool {
	if u == entity.Urgent {
		return true
	}

	return float64(len(q.running)) < laneSlotShare[u]*float64(q.capacity.Slots) && q.bucket >= 0
}

// pop removes the first request of urgency u, of which there must be one.
func (q *fifoQueue) pop(u entity.Urgency) admission.Work {
	w := q.lanes[u][0]
	q.lanes[u] = q.lanes[u][1:]
	q.queued--

	return w
}

// Expired implements Admission.
func (q *fifoQueue) Expired(time.Time) []admission.Refusal {
	refused := q.refused
	q.refused = nil

	return refused
}

// Done implements Admission.
func (q *fifoQueue) Done(_ time.Time, id entity.RequestID, _ admission.Usage) { delete(q.running, id) }

// Cancel implements Admission.
func (q *fifoQueue) Cancel(_ time.Time, id entity.RequestID) { delete(q.running, id) }
