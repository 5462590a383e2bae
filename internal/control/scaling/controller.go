// Package scaling decides how many replicas of a service are ordered in each data centre, ordinary and reclaimable ones.
//
// A Controller must be used by one goroutine only. It does no I/O and reads no clock.
package scaling

import (
	"math"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/rolesplit"
)

const (
	// headroom is the number of replicas for each fully busy one. Demand may double for less time than a start takes, and replicas answer
	// late before they are fully busy.
	headroom = 2.1
	// bareHeadroom is the least number of replicas for each fully busy one: what must remain after the loss of a data centre or of its
	// reclaimable replicas, and what there must be for the demand that will have grown once a start has ended.
	bareHeadroom = 1.35
	// lossHeadroom is the least number of replicas for each fully busy one after a data centre has lost its reclaimable replicas, where these
	// cost less: others may not be had for longer than bursts last.
	lossHeadroom = 1.6
	// maxPrefillShare and maxDecodeShare are the shares of the replicas that the roles can have without a shortage of the other one. A role
	// that is short of replicas gets some of the other role first.
	maxPrefillShare = 0.65
	maxDecodeShare  = 0.4
	// unknownReserve is the number of replicas for each one that there is, while demand is unknown and further ones cost little.
	unknownReserve = 1.35
	// unknownBare is the fraction of the replicas that must remain while demand is unknown.
	unknownBare = 0.65

	// ordinaryShare is the fraction of the replicas that the platform must not be able to take back, of those needed between peaks.
	ordinaryShare = 1.0 / 15
	// minOrdinary is the least number of ordinary replicas in a data centre: one of each role.
	minOrdinary = 2

	// learnTime is the time from the first requests until the demand is known.
	learnTime = 10 * time.Second
	// growThreshold and shrinkThreshold are the fractions of the total beyond which another need changes it. Less is noise.
	growThreshold   = 1.08
	shrinkThreshold = 0.88
	// shrinkInterval is the least time between two steps down of the total, each at most by shrinkStep of it.
	shrinkInterval = 4 * time.Second
	shrinkStep     = 0.2

	// lowerInterval is the least time between orders that lower numbers while requests arrive; lowerStep is the fraction of the
	// replicas that may leave with them. Roles are put right in between.
	lowerInterval = 2 * time.Second
	lowerStep     = 0.1
	minLowerStep  = 3

	// followTime is the time that the fleet has for an order besides that of a start: replicas leave within it, and are listed.
	followTime = 3 * time.Second
	// unavailablePause is the time before a kind that a data centre does not have is ordered there again.
	unavailablePause = 2 * time.Second
	// lostPause is the time for which replicas that were taken back or do not come are ordered elsewhere.
	lostPause = 8 * time.Second
	// lostShare is the fraction of the ordered replicas below which the data centre is in trouble. Single ones that crash are replaced there.
	lostShare = 0.75
	// unansweredPause is the time after which an order without an answer is sent again. Its number is absolute.
	unansweredPause = 2 * time.Second
	// splitStep is the change of the number of ordinary replicas that is worth orders of its own.
	splitStep = 3
	// retryPause is the time before an order that the platform has refused for another reason is sent again.
	retryPause = time.Second
)

// Group is one kind of replicas of a service in one data centre.
type Group struct {
	DataCentre  entity.DataCentre
	Reclaimable bool
}

// Input holds all that a decision depends on besides the state of the Controller.
type Input struct {
	Now          time.Time
	Scaling      catalog.Scaling
	Targets      []fleet.Target   // replicas of the service, without leaving ones
	Roles        bool             // whether the replicas have roles
	RequestsSeen bool             // whether requests have arrived; before that, all roles can change at once
	Demand       rolesplit.Demand // of all hosts; that of a service without roles is Decode
	Unheard      bool             // too few hosts are heard: Demand is not that of all hosts
}

// Order is an order of a number of replicas and what it is for.
type Order struct {
	Group

	Count   int
	Present int
	Reason  Reason
}

// Reason is why an order is sent.
type Reason uint8

const (
	// Raise means that more replicas are wanted.
	Raise Reason = iota
	// Lower means that fewer replicas are wanted and that enough others serve.
	Lower
	// Repeat means that the fleet does not show the number of the last order.
	Repeat
)

// String implements fmt.Stringer.
func (r Reason) String() string {
	switch r {
	case Raise:
		return "raise"
	case Lower:
		return "lower"
	default:
		return "repeat"
	}
}

// Counts are numbers of replicas by kind.
type Counts struct{ Ordinary, Reclaimable int }

// Add returns the sums of a and b.
func (a Counts) Add(b Counts) Counts {
	return Counts{a.Ordinary + b.Ordinary, a.Reclaimable + b.Reclaimable}
}

// Plan is what a Controller wants and sees, for logs and metrics.
type Plan struct {
	Demand  rolesplit.Demand // peak demand, in fully busy replicas
	Total   int              // wanted replicas
	Bare    int              // replicas that must remain after a loss
	Wanted  Counts
	Present Counts
	Avoided int // groups whose replicas are ordered elsewhere
}

// group is the state of a Group.
type group struct {
	Group

	price     float64 // of an ordinary replica of the data centre
	present   int
	reached   int // greatest number present since the last loss or lowering, for noticing a loss
	wanted    int
	ordered   int       // number of the last order that may be in force; the greatest number present if there was none
	orderedAt time.Time // when it was sent; zero if there was none
	certain   bool      // it was accepted
	below     time.Time // since when fewer are present than wanted; zero if there are enough

	avoidUntil time.Time // until when missing replicas are ordered elsewhere
	retryAt    time.Time // no order is sent before
}

// Controller decides for one service. Make it with New.
type Controller struct {
	started   time.Time // first Tick
	learnFrom time.Time // start of learnTime; zero before the first requests
	tookOver  bool      // requests had arrived before the first Tick
	history   history
	total     int
	bare      int
	there     int       // replicas that there were while demand was unknown
	steady    int       // part of total that is needed between peaks
	shrunk    time.Time // when total was last changed
	lowered   time.Time // when an order to lower a number was last sent
	kept      int       // wanted ordinary replicas, and what they were derived from
	keptOf    [2]int    // total and avoided groups
	blind     time.Time // until when the list of replicas is not believed
	listed    int       // replicas that the last list should have had
	groups    map[Group]*group
	plan      Plan
}

// New returns a Controller that knows of no orders.
func New() *Controller { return &Controller{groups: map[Group]*group{}} }

// Plan returns what the last Tick wanted and saw.
func (c *Controller) Plan() Plan { return c.plan }

// Tick returns the orders to be sent now, at most one for each group, the most urgent first. Answer must be called before the next Tick for
// those that were sent.
func (c *Controller) Tick(in Input) []Order {
	if c.started.IsZero() {
		if len(in.Targets) == 0 {
			return nil
		}

		c.started, c.tookOver = in.Now, in.RequestsSeen
	}

	if in.RequestsSeen && c.learnFrom.IsZero() {
		c.learnFrom = in.Now
	}

	c.count(in)

	if c.isBlind(in) {
		return nil
	}

	c.notice(in)

	if !in.Unheard {
		c.history.add(in.Now, in.Demand)
	}

	c.setTotal(in)
	c.setWanted(in)

	return c.orders(in)
}

// count updates the groups from the replicas that are present.
func (c *Controller) count(in Input) {
	present := map[Group]int{}

	for _, t := range in.Targets {
		present[Group{t.DataCentre, t.Reclaimable}]++

		for _, reclaimable := range []bool{false, true} {
			key := Group{t.DataCentre, reclaimable}
			if c.groups[key] == nil {
				c.groups[key] = &group{Group: key}
			}
		}
	}

	for key, g := range c.groups {
		g.present = present[key]
		g.price = 1

		if p, known := in.Scaling.Prices[key.DataCentre]; known {
			g.price = p
		}

		if g.orderedAt.IsZero() {
			g.ordered = max(g.ordered, g.present)
		}

		if g.present >= min(g.wanted, g.ordered) {
			g.below = time.Time{}
		} else if g.below.IsZero() {
			g.below = in.Now
		}

		g.reached = max(g.reached, g.staying())
	}
}

// staying returns the number of replicas that serve and do not leave by an order.
func (g *group) staying() int { return min(g.present, g.ordered) }

// overdue reports whether the fleet has had the time to show the last order, if there was one, or its answer is missing.
func (g *group) overdue(in Input) bool {
	if !g.certain && in.Now.Sub(g.orderedAt) > unansweredPause {
		return true
	}

	return in.Now.Sub(g.orderedAt) > in.Scaling.Boot+followTime
}

// lost reports whether replicas have been missing for so long that their entries are not just late.
func (g *group) lost(now time.Time) bool { return !g.below.IsZero() && now.Sub(g.below) >= followTime }

// isBlind reports whether more than half of the replicas have left the list at once, so that it may not be the whole list. What is lost
// indeed is noticed once followTime has passed.
func (c *Controller) isBlind(in Input) bool {
	if 2*len(in.Targets) < c.listed && !in.Now.Before(c.blind) {
		c.blind = in.Now.Add(followTime)
	}

	c.listed = 0
	for _, g := range c.groups {
		c.listed += g.staying()
	}

	return in.Now.Before(c.blind) || len(in.Targets) == 0
}

// avoided reports whether replicas that g lacks are ordered elsewhere.
func (g *group) avoided(in Input) bool { return in.Now.Before(g.avoidUntil) }

// notice finds the groups whose replicas were taken back or do not come.
func (c *Controller) notice(in Input) {
	for _, g := range c.groups {
		switch {
		case g.Reclaimable && g.reached > 1 && 2*g.present <= g.reached:
			g.reached = g.present
			g.avoidUntil = in.Now.Add(lostPause)
		case float64(g.present) < lostShare*float64(g.ordered) && g.certain && g.overdue(in) && in.Now.Sub(g.avoidUntil) > in.Scaling.Boot+followTime:
			g.avoidUntil = in.Now.Add(lostPause)
		}
	}
}

// demandKnown reports whether the demand is that of callers and not that of a fleet which has just begun to hear of them.
func (c *Controller) demandKnown(now time.Time) bool {
	return !c.learnFrom.IsZero() && now.Sub(c.learnFrom) >= learnTime
}

// setTotal sets the wanted number of replicas and the one that must remain after a loss.
func (c *Controller) setTotal(in Input) {
	ahead := in.Scaling.Boot
	if !c.demandKnown(in.Now) {
		ahead = 0 // the first requests are no growth
	}

	peak := c.history.peak(ahead)
	centres := float64(max(len(c.groups)/2, 1))
	present := len(in.Targets)

	need := replicasFor(in, c.history.peak(0))
	bare := bareHeadroom * need
	wanted := max(headroom*need, bareHeadroom*replicasFor(in, peak))

	if centres > 1 {
		wanted = max(wanted, bare*centres/(centres-1))

		if reclaims(in) {
			wanted = max(wanted, lossHeadroom*need*centres/(centres-1+ordinaryShare))
		}
	}

	least := max(int(centres)*max(in.Scaling.Min, minOrdinary), 1)
	most := int(centres) * in.Scaling.Max
	total := min(max(int(math.Ceil(wanted)), least), max(most, least))

	switch {
	case !c.demandKnown(in.Now):
		// What there is counts as needed.
		if c.total == 0 || !in.RequestsSeen && !c.replacing() {
			if !in.RequestsSeen {
				present = c.beforeRequests()
			}

			c.there = max(c.there, present)

			if reclaims(in) && !in.RequestsSeen {
				present = int(unknownReserve * float64(present))
			}

			c.total = max(c.total, min(present, max(most, least)))
		} else if listed := c.listedLater(); !in.RequestsSeen && listed > c.there {
			c.there = listed

			if reclaims(in) {
				listed = int(unknownReserve * float64(listed))
			}

			c.total = max(c.total, min(listed, max(most, least)))
		}

		if float64(total) > growThreshold*float64(c.total) {
			c.total = total
		}

		c.bare = max(int(unknownBare*float64(min(c.there, c.total))), int(math.Ceil(bare)))
		c.shrunk = in.Now
	case float64(total) > growThreshold*float64(c.total):
		c.total, c.shrunk = total, in.Now
	case in.Unheard:
		c.shrunk = in.Now
	case float64(total) < shrinkThreshold*float64(c.total) && in.Now.Sub(c.shrunk) >= shrinkInterval:
		c.total, c.shrunk = max(total, int((1-shrinkStep)*float64(c.total))), in.Now
	}

	if c.demandKnown(in.Now) {
		c.bare = min(int(math.Ceil(bare)), int(float64(c.total)*bareHeadroom/headroom))
		steady := int(math.Ceil(min(headroom*replicasFor(in, c.history.least()), float64(c.total))))

		if d := float64(steady) / float64(max(c.steady, 1)); d > growThreshold || d < shrinkThreshold {
			c.steady = steady
		}
	} else {
		c.steady = min(c.total, c.there)
	}

	c.plan = Plan{Demand: peak, Total: c.total, Bare: c.bare}
}

// beforeRequests returns the number of replicas to want before the first request. The kinds may be replacing each other, so that only the
// more numerous one counts.
func (c *Controller) beforeRequests() int {
	var ordinary, reclaimable int

	for _, g := range c.groups {
		if g.Reclaimable {
			reclaimable += g.present
		} else {
			ordinary += g.present
		}
	}

	return max(ordinary, reclaimable)
}

// listedLater returns the number of ordinary replicas in data centres where this Controller has ordered none: replicas that start with
// the hosts register over some seconds, also after the first orders.
func (c *Controller) listedLater() int {
	n := 0

	for _, g := range c.groups {
		if !g.Reclaimable && g.orderedAt.IsZero() {
			n += g.present
		}
	}

	return n
}

// replicasFor returns how many replicas of both roles are busy with d, divided between the roles as far as can be.
func replicasFor(in Input, d rolesplit.Demand) float64 {
	need := d.Prefill + d.Decode
	if !in.Roles {
		return need
	}

	return max(need, d.Prefill/maxPrefillShare, d.Decode/maxDecodeShare)
}

// reclaims reports whether there are reclaimable replicas that cost less.
func reclaims(in Input) bool {
	return in.Scaling.ReclaimablePrice > 0 && in.Scaling.ReclaimablePrice < 1
}

// replacing reports whether orders were sent, so that the number present holds replicas that are to leave.
func (c *Controller) replacing() bool {
	for _, g := range c.groups {
		if !g.orderedAt.IsZero() {
			return true
		}
	}

	return false
}

// Answer records the platform's answer to o, which was sent at now. answered is false if there was none, so that o may have an
// effect, now or later.
func (c *Controller) Answer(now time.Time, o Order, result duties.Result, answered bool) {
	g := c.groups[o.Group]

	switch {
	case !answered, result == duties.Accepted:
		if o.Count < g.reached {
			g.reached = o.Count
		}

		g.ordered, g.orderedAt, g.certain = o.Count, now, answered
	case result == duties.Unavailable:
		g.avoidUntil = now.Add(unavailablePause)
		g.retryAt = now.Add(unavailablePause)
	default:
		g.retryAt = now.Add(retryPause)
	}

	if o.Reason == Lower || o.Count < o.Present {
		c.lowered = now
	}
}
