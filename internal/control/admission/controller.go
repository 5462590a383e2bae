package admission

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// sweepInterval is the time between two removals of idle accounts.
	sweepInterval = 10 * time.Second
	// estimateInterval is the time between two checks whether the estimates of queued work are out of date.
	estimateInterval = time.Second
)

// Controller holds the queues of one entry host for one pool of targets. It is not safe for concurrent use.
type Controller struct {
	opts      Options
	capacity  Capacity
	rate      amounts // tokens per second of capacity
	total     meter   // tokens of the started work of all lanes
	running   int
	lanes     [entity.UrgencyCount]*lane
	items     map[entity.RequestID]*item // queued and running work
	accounts  map[entity.AccountID]*account
	expired   []Refusal // not yet returned by Expired
	seq       uint64
	lastSweep time.Time

	lastEstimate time.Time
}

// New returns a Controller without capacity.
func New(o Options) *Controller {
	c := &Controller{
		opts:     o.withDefaults(),
		items:    make(map[entity.RequestID]*item),
		accounts: make(map[entity.AccountID]*account),
	}

	for u := range c.lanes {
		c.lanes[u] = newLane(entity.Urgency(u))
	}

	return c
}

// SetCapacity sets the capacity that this host may use from now on. Running work is not affected.
// Queued work that the new capacity cannot start in time is refused once its latest start has passed.
func (c *Controller) SetCapacity(capacity Capacity) {
	if capacity == c.capacity {
		return
	}

	c.capacity = capacity
	c.rate = amounts{float64(capacity.PrefillPerSecond), float64(capacity.DecodePerSecond)}

	for _, l := range c.lanes {
		c.reestimate(l)
	}
}

// reestimate recomputes the cost and the latest start of the lane's queued work from the present capacity
// and averages.
func (c *Controller) reestimate(l *lane) {
	l.cost = 0
	l.basis = estimateBasis{l.runSeconds, l.secondsPerToken}

	for _, f := range l.flows {
		f.cost = 0
	}

	for _, it := range l.due.items {
		it.cost = c.cost(l, &it.work)
		it.latestStart = c.latestStart(l, &it.work)
		it.flow.cost += it.cost
		l.cost += it.cost
	}

	l.reorder()
}

// SetAccount sets the limits of an account. The zero Limits set none; the state of such an account is
// removed once it has no work.
func (c *Controller) SetAccount(id entity.AccountID, limits entity.Limits) {
	c.account(id).limits = limits
}

// Offer accepts w into its queue or refuses it. A refusal leaves the queues and the account's charges
// unchanged. Work of a Request that is already queued or running is accepted and not queued twice.
func (c *Controller) Offer(now time.Time, w Work) Decision {
	if _, ok := c.items[w.Request]; ok {
		return Decision{Accepted: true}
	}

	w.Urgency %= entity.UrgencyCount
	if w.Arrived.IsZero() {
		w.Arrived = now
	}

	c.drain(now)

	a := c.account(w.Account)
	if d := c.checkLimits(now, a, &w); !d.Accepted {
		return d
	}

	l := c.lanes[w.Urgency]
	it := &item{
		work: w,
		need: amounts{float64(w.Prefill), float64(w.Decode)},
		cost: c.cost(l, &w),
		flow: l.flow(w.Account, a.weight()),
	}
	it.latestStart = c.latestStart(l, &w)

	if d := c.checkQueue(now, l, it); !d.Accepted {
		return d
	}

	c.seq++
	it.seq = c.seq
	c.items[w.Request] = it
	a.open++
	a.meter.add(it.need)
	l.push(it)

	return Decision{Accepted: true}
}

// Next returns the queued work that may start now, in the order of its start. The caller starts each Grant and
// later calls Done or Cancel for its request.
func (c *Controller) Next(now time.Time) []Grant {
	c.drain(now)
	c.expire(now)

	if now.Sub(c.lastEstimate) >= estimateInterval {
		c.renewEstimates()
		c.lastEstimate = now
	}

	if now.Sub(c.lastSweep) >= sweepInterval {
		c.sweep()
		c.lastSweep = now
	}

	var grants []Grant

	for {
		it := c.pick(now)
		if it == nil {
			return grants
		}

		c.start(now, it)
		grants = append(grants, Grant{Work: it.work})
	}
}

// pick returns the work that starts next, or nil if none may start. The order is urgent work, patient work that
// must start soon, ordinary work, and then other patient work.
func (c *Controller) pick(now time.Time) *item {
	patient := c.lanes[entity.Patient]

	if it := c.lanes[entity.Urgent].next(); c.canStart(it) {
		return it
	}

	if patient.len() > 0 && c.mustPromote(now, patient) && c.canStart(patient.due.items[0]) {
		return patient.due.items[0]
	}

	if it := c.lanes[entity.Ordinary].next(); c.canStart(it) {
		return it
	}

	if it := patient.next(); c.canStart(it) {
		return it
	}

	return nil
}

// mustPromote reports whether the first patient work has to go before ordinary work so that the
// whole patient backlog starts in time.
func (c *Controller) mustPromote(now time.Time, patient *lane) bool {
	backlog := time.Duration(patient.cost / c.availableShare(now, patient) * promotionMargin * float64(time.Second))
	slack := patient.due.items[0].latestStart.Sub(now)

	return slack <= max(minPromotion, backlog)
}

func (c *Controller) start(now time.Time, it *item) {
	l := c.lanes[it.work.Urgency]
	l.take(it)
	l.startRate.add(now, it.cost)
	l.meter.add(it.need)
	c.total.add(it.need)
	c.running++
	it.started = now
}

// Done ends running work, updates the estimates and corrects the charges from estimated to used tokens.
// An id that is unknown or still queued has no effect.
func (c *Controller) Done(now time.Time, id entity.RequestID, used Usage) {
	it, ok := c.items[id]
	if !ok || it.started.IsZero() {
		return
	}

	c.drain(now)

	l := c.lanes[it.work.Urgency]
	ran := now.Sub(it.started).Seconds()
	l.runSeconds.sample(ran)

	if used.Decode > 0 {
		l.sampleAnswer(ran, float64(used.Decode))
	}

	correction := amounts{float64(used.Prefill) - it.need[prefill], float64(used.Decode) - it.need[decode]}
	c.total.add(correction)
	l.meter.add(correction)
	c.account(it.work.Account).meter.add(correction)
	c.finish(it)
}

// Cancel ends queued or running work whose caller went away. Running work stays charged, as its
// tokens may have been used. An unknown id has no effect.
func (c *Controller) Cancel(now time.Time, id entity.RequestID) {
	it, ok := c.items[id]
	if !ok {
		return
	}

	c.drain(now)

	if it.started.IsZero() {
		c.unqueue(it)

		return
	}

	c.finish(it)
}

// finish removes running work and frees its slot.
func (c *Controller) finish(it *item) {
	c.lanes[it.work.Urgency].running--
	c.running--
	c.account(it.work.Account).open--
	delete(c.items, it.work.Request)
}

// unqueue removes queued work and refunds the charge to its account.
func (c *Controller) unqueue(it *item) {
	c.lanes[it.work.Urgency].remove(it)

	a := c.account(it.work.Account)
	a.open--
	a.meter.add(amounts{-it.need[prefill], -it.need[decode]})
	delete(c.items, it.work.Request)
}

// Expired returns the work that has left the queue since the last call because it can no longer start in time. Next
// never returns such work.
func (c *Controller) Expired(now time.Time) []Refusal {
	c.drain(now)
	c.expire(now)

	refused := c.expired
	c.expired = nil

	return refused
}

func (c *Controller) expire(now time.Time) {
	for _, l := range c.lanes {
		for l.len() > 0 && now.After(l.due.items[0].latestStart) {
			it := l.due.items[0]
			c.unqueue(it)

			d := Decision{Code: verdict.CodeOverloaded, RetryAfter: c.retryAfter(now, l, it)}
			if !it.work.Deadline.IsZero() && !now.Before(it.work.Deadline) {
				d.Code = verdict.CodeDeadline
			}

			c.expired = append(c.expired, Refusal{Work: it.work, Decision: d})
		}
	}
}

// Stats returns the numbers of queued and running work by urgency, and the number of accounts with state.
func (c *Controller) Stats() Stats {
	s := Stats{Accounts: len(c.accounts)}

	for u, l := range c.lanes {
		s.Queued[u] = l.len()
		s.Running[u] = l.running
	}

	return s
}

func (c *Controller) drain(now time.Time) {
	c.total.drain(now, c.rate, 1)

	for u, l := range c.lanes {
		l.meter.drain(now, c.rate, c.opts.Share[u])
	}
}

func (c *Controller) renewEstimates() {
	for _, l := range c.lanes {
		if l.stale() {
			c.reestimate(l)
		}
	}
}

func (c *Controller) sweep() {
	for _, l := range c.lanes {
		l.sweep()
	}

	for id, a := range c.accounts {
		if a.open == 0 && a.limits == (entity.Limits{}) {
			delete(c.accounts, id)
		}
	}
}
