package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// room reports whether it may start now; a nil item never may.
func (c *Controller) room(it *item) bool {
	if it == nil {
		return false
	}

	return c.hasSlot(it.work.Urgency) && c.hasTokens(it)
}

// hasTokens reports whether the lane is under its guaranteed share, or the host under the whole of
// what is not reserved for urgent work.
func (c *Controller) hasTokens(it *item) bool {
	u := it.work.Urgency
	horizon := c.opts.Horizon.Seconds()

	if c.lanes[u].meter.below(it.need, c.rate, horizon*c.opts.Share[u]) {
		return true
	}

	return c.total.below(it.need, c.rate, horizon*c.common(u))
}

// common returns the part of the capacity up to which work of u may fill it.
func (c *Controller) common(u table.Urgency) float64 {
	if u == table.Urgent {
		return 1
	}

	return 1 - c.opts.Share[table.Urgent]
}

// hasSlot reports whether a slot is free that is not kept for another lane.
func (c *Controller) hasSlot(u table.Urgency) bool {
	free := c.capacity.Slots - c.running

	for other, l := range c.lanes {
		if table.Urgency(other) == u {
			continue
		}

		free -= max(0, c.keptSlots(l)-l.running)
	}

	return free > 0
}

// keptSlots returns the slots that are kept for a lane: always for urgent work, else while the
// lane has work.
func (c *Controller) keptSlots(l *lane) int {
	if l.urgency != table.Urgent && l.len() == 0 {
		return 0
	}

	// With fewer slots than lanes nothing is kept, or some lane could never start.
	if c.capacity.Slots <= table.UrgencyCount {
		return 0
	}

	return max(1, int(c.opts.Share[l.urgency]*float64(c.capacity.Slots)))
}

// available returns the part of the capacity that a lane can count on, by what the others use.
func (c *Controller) available(now time.Time, l *lane) float64 {
	part := 1.0

	switch l.urgency {
	case table.Urgent:
		part -= c.opts.Share[table.Ordinary] + c.opts.Share[table.Patient]
	case table.Ordinary:
		part -= c.lanes[table.Urgent].rate.read(now) + c.opts.Share[table.Patient]
	case table.Patient:
		part -= c.lanes[table.Urgent].rate.read(now) + c.opts.Share[table.Ordinary]
	}

	return max(part, c.opts.Share[l.urgency])
}

// cost returns the seconds of the whole capacity that w takes, by its dominant resource.
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

// runTime estimates the seconds from start to end of w by what ended before.
func (c *Controller) runTime(l *lane, w *Work) float64 {
	switch {
	case w.Decode <= 0:
		return l.held.value
	case l.perToken.set:
		return float64(w.Decode) * l.perToken.value
	default:
		return float64(w.Decode) * c.opts.TokenTime.Seconds()
	}
}

// latestStart returns the last moment at which w can start and still meet its deadline.
func (c *Controller) latestStart(l *lane, w *Work) time.Time {
	latest := w.Arrived.Add(c.opts.MaxWait[l.urgency])

	if w.Deadline.IsZero() {
		return latest
	}

	run := c.runTime(l, w)
	if l.urgency == table.Patient {
		run *= runTimeMargin
	}

	byDeadline := w.Deadline.Add(-time.Duration(run * float64(time.Second)))
	if l.urgency == table.Patient || byDeadline.Before(latest) {
		return byDeadline
	}

	return latest
}

// checkQueue refuses work that finds its queue full or that would wait past its latest start.
func (c *Controller) checkQueue(now time.Time, l *lane, it *item) Decision {
	if !it.work.Deadline.IsZero() && !now.Before(it.work.Deadline) {
		return Decision{Code: verdict.CodeDeadline}
	}

	if c.capacity.Slots <= 0 && l.urgency != table.Patient {
		return Decision{Code: verdict.CodeNoTarget, RetryAfter: spread(it.work.Request, noTargetRetry)}
	}

	// The bound on an account shrinks as the lane fills, so that no set of accounts can fill it up.
	left := c.opts.MaxQueued - l.len()
	if it.flow.items.Len() >= min(c.opts.MaxQueuedPerAccount, left) {
		return Decision{Code: verdict.CodeOverloaded, RetryAfter: c.retryAfter(now, l, it)}
	}

	if now.Add(c.wait(now, l, it)).After(it.latestStart) {
		return Decision{Code: verdict.CodeOverloaded, RetryAfter: c.retryAfter(now, l, it)}
	}

	return Decision{Accepted: true}
}

// wait estimates the time that it would spend in the queue: behind all queued work of its lane, or
// less where its account's fair share serves it sooner.
func (c *Controller) wait(now time.Time, l *lane, it *item) time.Duration {
	if l.len() == 0 && c.room(it) {
		return 0
	}

	weight := l.weight
	if it.flow.items.Len() == 0 {
		weight += it.flow.weight
	}

	ahead := min(l.cost, (it.flow.cost+it.cost)*weight/it.flow.weight)
	seconds := ahead / c.available(now, l)

	// The next slot falls free, or the overshoot of what started last is absorbed, first.
	seconds += max(c.total.excess(it.need, c.rate, c.opts.Horizon.Seconds()*c.common(l.urgency)), 0)

	if !c.hasSlot(l.urgency) && c.capacity.Slots > 0 {
		seconds += c.runTime(l, &it.work) / float64(c.capacity.Slots)
	}

	return time.Duration(seconds * float64(time.Second))
}

// retryAfter returns the time after which the queue has room for it: the part of its wait that
// exceeds what it can afford.
func (c *Controller) retryAfter(now time.Time, l *lane, it *item) time.Duration {
	affordable := max(0, it.latestStart.Sub(it.work.Arrived))

	return spread(it.work.Request, c.wait(now, l, it)-affordable)
}

// spread bounds d and lengthens it by up to a quarter, by the request's id, so that callers that
// were refused together do not come back together.
func spread(id table.RequestID, d time.Duration) time.Duration {
	const parts = 1024

	d = min(max(d, minRetryAfter), maxRetryAfter)
	part := time.Duration(xxhash.Sum64String(string(id)) % parts)

	return d + d*part/(4*parts)
}
