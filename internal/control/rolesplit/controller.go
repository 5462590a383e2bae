// Package rolesplit decides which model replicas have the prefill role and which the decode role, and issues the orders
// to change them. It adapts to shifts between prefill and decode demand, and to replicas that are lost or replaced.
//
// A Controller must be used by one goroutine only. It does no I/O and reads no clock.
package rolesplit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
)

const (
	// initialPrefillShare is the fraction of the replicas that get the prefill role until the demand is known.
	initialPrefillShare = 0.61
	// mismatchDelay is how long the number of prefill replicas must be wrong before a role is changed under load. A
	// replica that returns within that time causes no change.
	mismatchDelay = 4 * time.Second
	// shortageDelay is how long a role must be short of replicas before a replica is moved to it: twice the duration of
	// a role change.
	shortageDelay = 6 * time.Second
	// A role is short of replicas if its demand exceeds this fraction of their number. Rising load slows prefill down
	// early and decode late.
	prefillShortage = 1.1
	decodeShortage  = 0.9
	// The other role can spare a replica if its demand is below this fraction of the number that remains.
	prefillSpare = 0.6
	decodeSpare  = 0.5
	// maxPending bounds the number of replicas that change their role at the same time under load, unless Input says more.
	maxPending = 2
	// idleDelay is how long prefill must be busy while most decode replicas are idle before a group of these takes the
	// prefill role: longer than a gap between two bursts. Idle replicas are missed by nobody during the change.
	idleDelay = 2 * time.Second
	// idleDivisor divides the number of replicas; the result is the largest group that changes at once. Fewer than
	// minIdleGroup replicas are no group: in a small fleet one replica is a large part of its role.
	idleDivisor  = 8
	minIdleGroup = 4
	// Prefill is busy if its demand exceeds this fraction of its replicas.
	prefillBusy = 0.5
	// decodeReserve is the multiple of their demand that the decode replicas that remain must be able to serve, so that a
	// burst of long answers is borne.
	decodeReserve = 3
	// lentDivisor divides the number of replicas; the result bounds the replicas of all groups together.
	lentDivisor = 4
	// returnDelay is how long decode must be busy before a group goes back, and decodeBusy the fraction of the decode replicas
	// from which it is.
	returnDelay = time.Second
	decodeBusy  = 0.6
	// orderTimeout is the time after which an order without visible effect is given up.
	orderTimeout = 13 * time.Second
	// withdrawnPause is the time for which a replica gets no order after an order was withdrawn, that is, refused or
	// not sent.
	withdrawnPause = 2 * time.Second
)

// Order assigns a role to a replica. It states the role itself, not a change relative to the present one.
type Order struct {
	Target fleet.Target
	Role   entity.Role
}

// Input holds all that a decision depends on besides the state of the Controller.
type Input struct {
	Now          time.Time
	Targets      []fleet.Target            // model replicas of one service, without leaving ones
	Busy         func(entity.TargetID) int // amount of work under way on a target; less busy replicas are changed first
	RequestsSeen bool                      // whether requests have arrived; before that, all roles change at once
	Demand       Demand
	// MaxPending bounds the number of replicas that change their role at the same time under load; zero means maxPending. It is greater
	// where replicas come and go in numbers.
	MaxPending int
	// Scaled is set if the number of replicas is ordered by need. A shortage is then met by further replicas, not by groups of idle ones.
	Scaled bool
}

// Demand states how many fully busy replicas the present requests call for. The zero value stands for no requests.
type Demand struct {
	Prefill float64 // replicas for the prompts
	Decode  float64 // replicas for the output, by the scarcer of slots and KV cache
}

// pending is an order that has not taken effect yet.
type pending struct {
	role  entity.Role
	until time.Time // when the order is given up
}

// Controller decides the roles for one service. Make it with New.
type Controller struct {
	pending       map[entity.TargetID]pending
	withdrawn     map[entity.TargetID]time.Time // until when replicas get no order, see Withdraw
	mismatchSince time.Time                     // since when the number of prefill replicas is wrong; zero if it is right

	shareShift   float64   // change of initialPrefillShare due to demand
	shortageStep float64   // step of shareShift that the demand calls for; zero if none
	shortSince   time.Time // start of the present shortageDelay; zero if there is none
	idleSince    time.Time // start of the present idleDelay or returnDelay; zero if there is none
	lent         int       // decode replicas that have taken the prefill role in groups
}

// New returns a Controller without pending orders.
func New() *Controller {
	return &Controller{pending: map[entity.TargetID]pending{}, withdrawn: map[entity.TargetID]time.Time{}}
}

// Tick returns the orders that are due. Each order is pending until it takes effect, times out, is given to Withdraw
// or its replica is gone.
func (c *Controller) Tick(in Input) []Order {
	c.dropSettled(in)

	if len(in.Targets) < 2 {
		return nil
	}

	prefill := 0

	for _, t := range in.Targets {
		if c.role(t) == entity.Prefill {
			prefill++
		}
	}

	c.adjustShare(in, prefill)
	group := c.adjustIdle(in, prefill)

	missing := c.wantedPrefill(len(in.Targets)) - prefill
	unpaired := c.unpaired(in.Targets)

	if missing == 0 && len(unpaired) == 0 {
		c.mismatchSince = time.Time{}

		return nil
	}

	if c.mismatchSince.IsZero() {
		c.mismatchSince = in.Now
	}

	limit := len(in.Targets)

	switch {
	case group > 0 && len(unpaired) == 0:
		limit = group
	case in.RequestsSeen:
		if in.Now.Sub(c.mismatchSince) < mismatchDelay {
			return nil
		}

		limit = max(in.MaxPending, maxPending) - len(c.pending)
	}

	if len(unpaired) > 0 {
		return c.order(in, unpaired, entity.Decode, min(len(unpaired), limit))
	}

	return c.orderChanges(in, missing, limit)
}

// unpaired returns a prefill replica of each software version that has no decode replica, and so cannot generate anything.
func (c *Controller) unpaired(targets []fleet.Target) []fleet.Target {
	decode := map[entity.SoftwareVersion]bool{}

	for _, t := range targets {
		if c.role(t) != entity.Prefill {
			decode[t.Version] = true
		}
	}

	var list []fleet.Target

	for _, t := range targets {
		if !decode[t.Version] {
			decode[t.Version] = true
			list = append(list, t)
		}
	}

	return list
}

// wantedPrefill returns how many of n replicas should have the prefill role: at least one, and at most all but one.
func (c *Controller) wantedPrefill(n int) int {
	return min(max(int(math.Round((initialPrefillShare+c.shareShift)*float64(n))), 1), n-1)
}

// adjustShare shifts the prefill share by one replica at a time, once one role has been short of replicas for
// shortageDelay while the other one could spare a replica. The delay starts with the first request at the earliest, and
// anew after pending orders, after a shift and after any break in the shortage.
func (c *Controller) adjustShare(in Input, prefill int) {
	n, decode := float64(len(in.Targets)), float64(len(in.Targets)-prefill)
	step := 0.0

	switch {
	case in.Demand.Prefill > prefillShortage*float64(prefill) && in.Demand.Decode < decodeSpare*(decode-1):
		step = 1 / n
	case in.Demand.Decode > decodeShortage*decode && in.Demand.Prefill < prefillSpare*float64(prefill-1):
		step = -1 / n
	}

	if step == 0 || !in.RequestsSeen || len(c.pending) > 0 || step*c.shortageStep < 0 {
		c.shortageStep, c.shortSince = step, time.Time{}

		return
	}

	if c.shortSince.IsZero() {
		c.shortageStep, c.shortSince = step, in.Now

		return
	}

	if in.Now.Sub(c.shortSince) >= shortageDelay {
		c.shareShift += step
		c.shortSince = in.Now
	}
}

// adjustIdle returns the number of replicas that change their role together, and adds them to the share, or takes them off: idle
// decode replicas take the prefill role once prefill has been busy for idleDelay, and go back once decode has been busy for
// returnDelay. Otherwise it returns zero.
func (c *Controller) adjustIdle(in Input, prefill int) int {
	n, decode := len(in.Targets), len(in.Targets)-prefill
	room := n/idleDivisor - len(c.pending) // replicas may change at once

	size := min(room, n/lentDivisor-c.lent, decode-int(math.Ceil(decodeReserve*in.Demand.Decode)), int(in.Demand.Prefill/prefillBusy)-prefill)
	delay, sign, least := idleDelay, 1, minIdleGroup

	if in.Demand.Decode > decodeBusy*float64(decode) && c.lent > 0 {
		size = min(room, c.lent, int(math.Ceil(in.Demand.Decode/decodeBusy))-decode)
		delay, sign, least = returnDelay, -1, min(minIdleGroup, c.lent)
	}

	if !in.RequestsSeen || in.Scaled || size < least {
		c.idleSince = time.Time{}

		return 0
	}

	if c.idleSince.IsZero() {
		c.idleSince = in.Now
	}

	if in.Now.Sub(c.idleSince) < delay {
		return 0
	}

	c.lent += sign * size
	c.shareShift = float64(prefill+sign*size)/float64(n) - initialPrefillShare
	c.idleSince = time.Time{}

	return size
}

// dropSettled drops the pending orders that took effect, timed out or were given to a replica that is gone. It also
// drops the pauses after withdrawn orders once they have ended.
func (c *Controller) dropSettled(in Input) {
	listed := make(map[entity.TargetID]fleet.Target, len(in.Targets))
	for _, t := range in.Targets {
		listed[t.ID] = t
	}

	for id, until := range c.withdrawn {
		if in.Now.After(until) {
			delete(c.withdrawn, id)
		}
	}

	for id, p := range c.pending {
		t, ok := listed[id]
		if !ok || t.Role == p.role || in.Now.After(p.until) {
			delete(c.pending, id)
		}
	}
}

// role returns the role that t has or, with a pending order, will have.
func (c *Controller) role(t fleet.Target) entity.Role {
	if p, ok := c.pending[t.ID]; ok {
		return p.role
	}

	return t.Role
}

// orderChanges orders up to limit replicas to change their role. missing is the number of missing prefill replicas;
// if negative, its absolute value is that of missing decode replicas. It takes no software version's last decode replica.
func (c *Controller) orderChanges(in Input, missing, limit int) []Order {
	to, from := entity.Prefill, entity.Decode
	if missing < 0 {
		to, from, missing = entity.Decode, entity.Prefill, -missing
	}

	var candidates []fleet.Target

	for _, t := range in.Targets {
		if t.Role == from {
			candidates = append(candidates, t)
		}
	}

	return c.order(in, candidates, to, min(missing, limit))
}

// order orders up to n of candidates to take the role to. Replicas with a pending order or in the pause after a withdrawn one
// get no order. The first orders go to the software versions in which the role is rarest.
func (c *Controller) order(in Input, candidates []fleet.Target, to entity.Role, n int) []Order {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(t fleet.Target) bool {
		_, changing := c.pending[t.ID]

		return changing || in.Now.Before(c.withdrawn[t.ID])
	})

	perCentre := map[entity.DataCentre]int{}
	for _, t := range candidates {
		perCentre[t.DataCentre]++
	}

	var orders []Order

	for len(orders) < n {
		versions := c.rolesByVersion(in.Targets)

		// Take the least busy replica of the data centre that has the most candidates.
		i := minIndex(candidates, func(a, b fleet.Target) int {
			return cmp.Or(
				cmp.Compare(versions[a.Version].share(to), versions[b.Version].share(to)),
				cmp.Compare(perCentre[b.DataCentre], perCentre[a.DataCentre]),
				cmp.Compare(in.Busy(a.ID), in.Busy(b.ID)),
				cmp.Compare(a.ID, b.ID),
			)
		})
		if len(candidates) == 0 {
			break
		}

		t := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)

		if to == entity.Prefill && versions[t.Version].decode < 2 && len(versions) > 1 {
			continue
		}

		perCentre[t.DataCentre]--
		c.pending[t.ID] = pending{role: to, until: in.Now.Add(orderTimeout)}
		orders = append(orders, Order{Target: t, Role: to})
	}

	return orders
}

// roleCounts are the replicas of one software version by role, pending orders included.
type roleCounts struct{ prefill, decode int }

// share returns the share of the replicas that have role.
func (r roleCounts) share(role entity.Role) float64 {
	n := r.decode
	if role == entity.Prefill {
		n = r.prefill
	}

	return float64(n) / float64(r.prefill+r.decode)
}

func (c *Controller) rolesByVersion(targets []fleet.Target) map[entity.SoftwareVersion]roleCounts {
	versions := map[entity.SoftwareVersion]roleCounts{}

	for _, t := range targets {
		r := versions[t.Version]

		if c.role(t) == entity.Prefill {
			r.prefill++
		} else {
			r.decode++
		}

		versions[t.Version] = r
	}

	return versions
}

// minIndex returns the index of the least target by compare, or 0 if there are none.
func minIndex(targets []fleet.Target, compare func(a, b fleet.Target) int) int {
	least := 0

	for i := range targets {
		if compare(targets[i], targets[least]) < 0 {
			least = i
		}
	}

	return least
}

// PendingTargets returns the replicas whose orders have not taken effect yet.
func (c *Controller) PendingTargets() []entity.TargetID {
	ids := make([]entity.TargetID, 0, len(c.pending))
	for id := range c.pending {
		ids = append(ids, id)
	}

	return ids
}

// Withdraw cancels the order o, which was refused or not sent. Its target gets no order for withdrawnPause.
func (c *Controller) Withdraw(now time.Time, o Order) {
	delete(c.pending, o.Target.ID)
	c.withdrawn[o.Target.ID] = now.Add(withdrawnPause)
}
