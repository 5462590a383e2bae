package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// canStart reports whether the item may start now. It returns false for nil.
func (c *Controller) canStart(it *item) bool {
	if it == nil {
		return false
	}

	return c.hasSlot(it.work.Urgency) && c.hasTokens(it)
}

// hasTokens reports whether the item's lane uses less than its guaranteed share of the tokens, or the host
// uses less than usableShare of them.
func (c *Controller) hasTokens(it *item) bool {
	u := it.work.Urgency
	horizon := c.opts.Horizon.Seconds()

	if c.lanes[u].meter.below(it.need, c.rate, horizon*c.opts.Share[u]) {
		return true
	}

	return c.total.below(it.need, c.rate, horizon*c.usableShare(u))
}

// usableShare returns the part of the capacity that may be in use when work of u starts outside its guaranteed
// share: all of it for urgent work, otherwise all but the guaranteed share of urgent work.
func (c *Controller) usableShare(u entity.Urgency) float64 {
	if u == entity.Urgent {
		return 1
	}

	return 1 - c.opts.Share[entity.Urgent]
}

// hasSlot reports whether a slot is free that is not reserved for another lane.
func (c *Controller) hasSlot(u entity.Urgency) bool {
	free := c.capacity.Slots - c.running

	for other, l := range c.lanes {
		if entity.Urgency(other) == u {
			continue
		}

		free -= max(0, c.reservedSlots(l)-l.running)
	}

	return free > 0
}

// reservedSlots returns the number of slots that are reserved for a lane. The urgent lane always has at least one,
// the other lanes only while they have queued work. With few slots, none are reserved.
func (c *Controller) reservedSlots(l *lane) int {
	if l.urgency != entity.Urgent && l.len() == 0 {
		return 0
	}

	// With no more slots than lanes, reserving one for each other lane could keep a lane from ever starting.
	if c.capacity.Slots <= entity.UrgencyCount {
		return 0
	}

	return max(1, int(c.opts.Share[l.urgency]*float64(c.capacity.Slots)))
}

// availableShare returns the part of the capacity that a lane can expect, given the other lanes' guaranteed
// shares and present use.
func (c *Controller) availableShare(now time.Time, l *lane) float64 {
	part := 1.0

	switch l.urgency {
	case entity.Urgent:
		part -= c.opts.Share[entity.Ordinary] + c.opts.Share[entity.Patient]
	case entity.Ordinary:
		part -= c.lanes[entity.Urgent].startRate.read(now) + c.opts.Share[entity.Patient]
	case entity.Patient:
		part -= c.lanes[entity.Urgent].startRate.read(now) + c.opts.Share[entity.Ordinary]
	}

	return max(part, c.opts.Share[l.urgency])
}

// cost returns the seconds for which w would take the whole capacity, by its dominant resource: the one
// that w occupies longest.
func (c *Controller) cost(l *lane, w *Work) float64 {
	cost := minCost

	if c.rate[prefill] > 0 {
		cost = max(cost, float64(w.Prefill)/c.rate[prefill])
	}

	if c.rate[decode] > 0 {
		cost = max(cost, float64(w.Decode)/c.rate[decode])
	}

	if c.capacity.Slots > 0 {
		cost = max(cost, c.runTime(l, w)/float64(c.capacity.Slots))
	}

	return cost
}

// runTime estimates the seconds from start to end of w from ended work of its lane. Until work with output tokens has
// ended, it assumes Options.TokenTime per output token.
func (c *Controller) runTime(l *lane, w *Work) float64 {
	switch {
	case w.Decode <= 0:
		return l.runSeconds.value
	case l.secondsPerToken.set:
		return float64(w.Decode) * l.secondsPerToken.value
	default:
		return float64(w.Decode) * c.opts.TokenTime.Seconds()
	}
}

// latestStart returns the last moment at which w can start and still meet its deadline and, unless it is patient
// and has a deadline, MaxWait.
func (c *Controller) latestStart(l *lane, w *Work) time.Time {
	latest := w.Arrived.Add(c.opts.MaxWait[l.urgency])

	if w.Deadline.IsZero() {
		return latest
	}

	run := c.runTime(l, w)
	if l.urgency == entity.Patient {
		run *= runTimeMargin
	}

	byDeadline := w.Deadline.Add(-time.Duration(run * float64(time.Second)))
	if l.urgency == entity.Patient || byDeadline.Before(latest) {
		return byDeadline
	}

	return latest
}

// checkQueue refuses work whose deadline has passed, that finds no space in the queue, or that would wait past its
// latest start. Without any slots it also refuses all work that is not patient.
func (c *Controller) checkQueue(now time.Time, l *lane, it *item) Decision {
	if !it.work.Deadline.IsZero() && !now.Before(it.work.Deadline) {
		return Decision{Code: verdict.CodeDeadline}
	}

	if c.capacity.Slots <= 0 && l.urgency != entity.Patient {
		return Decision{Code: verdict.CodeNoTarget, RetryAfter: spread(it.work.Request, noTargetRetry)}
	}

	// The bound of an account shrinks as the lane fills, so that no group of accounts can fill the lane.
	free := c.opts.MaxQueued - l.len()
	if it.flow.items.Len() >= min(c.opts.MaxQueuedPerAccount, free) {
		return Decision{Code: verdict.CodeOverloaded, RetryAfter: c.retryAfter(now, l, it)}
	}

	if now.Add(c.estimatedWait(now, l, it)).After(it.latestStart) {
		return Decision{Code: verdict.CodeOverloaded, RetryAfter: c.retryAfter(now, l, it)}
	}

	return Decision{Accepted: true}
}

// estimatedWait returns the estimated time that the item would spend in the queue: behind all queued work of
// its lane, or less if its account's fair share lets it start earlier.
func (c *Controller) estimatedWait(now time.Time, l *lane, it *item) time.Duration {
	if l.len() == 0 && c.canStart(it) {
		return 0
	}

	weight := l.weight
	if it.flow.items.Len() == 0 {
		weight += it.flow.weight
	}

	ahead := min(l.cost, (it.flow.cost+it.cost)*weight/it.flow.weight)
	seconds := ahead / c.availableShare(now, l)

	// The targets must first absorb the started tokens beyond the horizon, and a slot must become free.
	seconds += max(c.total.excess(it.need, c.rate, c.opts.Horizon.Seconds()*c.usableShare(l.urgency)), 0)

	if !c.hasSlot(l.urgency) && c.capacity.Slots > 0 {
		seconds += c.runTime(l, &it.work) / float64(c.capacity.Slots)
	}

	return time.Duration(seconds * float64(time.Second))
}

// retryAfter returns the time after which the queue is expected to have room for the item: the part of its
// estimated wait beyond the longest wait that its latest start allows.
func (c *Controller) retryAfter(now time.Time, l *lane, it *item) time.Duration {
	longest := max(0, it.latestStart.Sub(it.work.Arrived))

	return spread(it.work.Request, c.estimatedWait(now, l, it)-longest)
}

// spread limits d to the range from minRetryAfter to maxRetryAfter, then lengthens it by up to a quarter, depending
// on the request's id, so that callers that were refused together do not retry together.
func spread(id entity.RequestID, d time.Duration) time.Duration {
	const parts = 1024

	d = min(max(d, minRetryAfter), maxRetryAfter)
	part := time.Duration(xxhash.Sum64String(string(id)) % parts)

	return d + d*part/(4*parts)
}
