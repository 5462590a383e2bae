package experiment

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	queueBound = 4000            // requests queued at a host
	queueRetry = 5 * time.Second // advice in a refusal
	maxBurst   = 1.0             // seconds of prefill that may start at once
)

// laneOrder is the order of service of the urgencies.
var laneOrder = [...]table.Urgency{table.Urgent, table.Ordinary, table.Patient}

// laneSlots is the part of the slots up to which each urgency may fill them.
var laneSlots = [table.UrgencyCount]float64{table.Urgent: 1e9, table.Ordinary: 0.95, table.Patient: 0.7}

// queue is the baseline admission: first in, first out within an urgency, urgent first, a bound
// on slots, and a token bucket of prefill.
type queue struct {
	capacity admission.Capacity
	lanes    [table.UrgencyCount][]admission.Work
	queued   int
	running  map[table.RequestID]bool
	bucket   float64 // prompt tokens that may start
	filled   time.Time
	refused  []admission.Refusal
}

func newQueue() *queue {
	return &queue{running: make(map[table.RequestID]bool)}
}

// SetCapacity implements Admission.
func (q *queue) SetCapacity(c admission.Capacity) { q.capacity = c }

// Offer implements Admission.
func (q *queue) Offer(_ time.Time, w admission.Work) admission.Decision {
	if q.queued >= queueBound {
		return admission.Decision{Code: verdict.CodeOverloaded, RetryAfter: queueRetry}
	}

	q.lanes[w.Urgency] = append(q.lanes[w.Urgency], w)
	q.queued++

	return admission.Decision{Accepted: true}
}

// Next implements Admission.
func (q *queue) Next(now time.Time) []admission.Grant {
	q.fill(now)

	var started []admission.Grant

	for _, u := range laneOrder {
		for len(q.lanes[u]) > 0 && q.room(u) {
			w := q.pop(u)
			if now.After(w.Deadline) {
				q.refused = append(q.refused, admission.Refusal{Work: w, Decision: admission.Decision{Code: verdict.CodeDeadline}})

				continue
			}

			q.running[w.Request] = true
			q.bucket -= float64(w.Prefill)
			started = append(started, admission.Grant{Work: w})
		}
	}

	return started
}

func (q *queue) fill(now time.Time) {
	rate := float64(q.capacity.PrefillPerSecond)

	if !q.filled.IsZero() {
		q.bucket = min(q.bucket+rate*now.Sub(q.filled).Seconds(), rate*maxBurst)
	}

	q.filled = now
}

func (q *queue) room(u table.Urgency) bool {
	if u == table.Urgent {
		return true
	}

	return float64(len(q.running)) < laneSlots[u]*float64(q.capacity.Slots) && q.bucket >= 0
}

func (q *queue) pop(u table.Urgency) admission.Work {
	w := q.lanes[u][0]
	q.lanes[u] = q.lanes[u][1:]
	q.queued--

	return w
}

// Expired implements Admission.
func (q *queue) Expired(time.Time) []admission.Refusal {
	refused := q.refused
	q.refused = nil

	return refused
}

// Done implements Admission.
func (q *queue) Done(_ time.Time, id table.RequestID, _ admission.Usage) { delete(q.running, id) }

// Cancel implements Admission.
func (q *queue) Cancel(_ time.Time, id table.RequestID) { delete(q.running, id) }
