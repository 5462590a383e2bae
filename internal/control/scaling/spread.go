package scaling

import (
	"cmp"
	"math"
	"slices"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// setWanted divides the total among kinds and data centres.
func (c *Controller) setWanted(in Input) {
	ordinary, reclaimable := c.sorted(false), c.sorted(true)
	centres := len(ordinary)
	rest := func(others []*group) func(*group) int {
		used := map[entity.DataCentre]int{}
		for _, g := range others {
			used[g.DataCentre] = g.wanted
		}

		return func(g *group) int { return max(in.Scaling.Max-used[g.DataCentre], 0) }
	}

	kept := c.total

	if reclaims(in) {
		// With the last figure, c.bare replicas remain when a data centre loses its reclaimable ones.
		kept = max(int(math.Ceil(ordinaryShare*float64(c.steady))), minOrdinary*centres, centres*c.bare-(centres-1)*c.total)
		kept = min(c.steadyKept(in, kept), c.total)
	}

	kept -= spread(in, ordinary, kept, func(*group) int { return in.Scaling.Max })

	missing := c.total - kept

	for _, g := range reclaimable {
		g.wanted = 0
	}

	if reclaims(in) {
		missing = spread(in, reclaimable, missing, rest(ordinary))
	}

	// Ordinary replicas stand in for reclaimable ones as far as callers need them now.
	if short := min(missing, c.bare-(c.total-missing)); short > 0 {
		spread(in, ordinary, kept+short, rest(reclaimable))
	}

	for _, g := range ordinary {
		g.wanted = max(g.wanted, in.Scaling.Min-c.other(g).wanted)
	}

	for _, g := range c.groups {
		counts := [2]*int{&c.plan.Wanted.Ordinary, &c.plan.Present.Ordinary}
		if g.Reclaimable {
			counts = [2]*int{&c.plan.Wanted.Reclaimable, &c.plan.Present.Reclaimable}
		}

		*counts[0] += g.wanted
		*counts[1] += g.present

		if g.avoided(in) {
			c.plan.Avoided++
		}
	}
}

// steadyKept returns the number of ordinary replicas to want: kept, or the last one if little has changed since.
func (c *Controller) steadyKept(in Input, kept int) int {
	of := [2]int{c.total, 0}

	for _, g := range c.groups {
		if g.avoided(in) {
			of[1]++
		}
	}

	if of != c.keptOf || kept >= c.kept+splitStep || kept <= c.kept-splitStep {
		c.kept, c.keptOf = kept, of
	}

	return c.kept
}

// other returns the group of the other kind in the data centre of g.
func (c *Controller) other(g *group) *group {
	return c.groups[Group{g.DataCentre, !g.Reclaimable}]
}

// sorted returns the groups of one kind, the cheapest data centres first.
func (c *Controller) sorted(reclaimable bool) []*group {
	var list []*group

	for _, g := range c.groups {
		if g.Reclaimable == reclaimable {
			list = append(list, g)
		}
	}

	slices.SortFunc(list, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.DataCentre, b.DataCentre))
	})

	return list
}

// spread sets the wanted numbers of groups, which are of one kind, to n together, as evenly as room allows. A group that is avoided
// gets no more than it has. It returns the number that finds no room.
func spread(in Input, groups []*group, n int, room func(*group) int) (left int) {
	limits := make([]int, len(groups))

	for i, g := range groups {
		g.wanted = 0
		limits[i] = room(g)

		if g.avoided(in) {
			limits[i] = min(limits[i], g.present)
		}
	}

	for n > 0 {
		gave := false
		least := math.MaxInt

		for i, g := range groups {
			if g.wanted < limits[i] {
				least = min(least, g.wanted)
			}
		}

		for i, g := range groups {
			if n > 0 && g.wanted < limits[i] && g.wanted == least {
				g.wanted++
				n--
				gave = true
			}
		}

		if !gave {
			break
		}
	}

	return n
}

// orders returns the orders that bring the fleet closer to the wanted numbers: all that raise a number, and those that lower one as far as
// the others serve.
func (c *Controller) orders(in Input) []Order {
	if c.tookOver && !c.demandKnown(in.Now) && c.total <= len(in.Targets) {
		return nil
	}

	var list []Order

	groups := append(c.sorted(true), c.sorted(false)...)

	for _, g := range groups {
		// Both kinds together have to stay within the bound, those included that are to leave.
		other := c.other(g)
		o := Order{Group: g.Group, Count: min(g.wanted, in.Scaling.Max-max(other.present, other.ordered)), Present: g.present}

		switch {
		case in.Now.Before(g.retryAt):
			continue
		case o.Count > g.ordered:
			o.Reason = Raise
		case o.Count > g.present && !g.avoided(in) && g.overdue(in) && (o.Count == g.ordered || g.lost(in.Now)):
			o.Reason = Repeat
		default:
			continue
		}

		list = append(list, o)
	}

	return append(list, c.lowering(in, groups)...)
}

// lowering returns the orders that lower a number, the one with the most replicas too many first.
func (c *Controller) lowering(in Input, groups []*group) []Order {
	wait := in.Scaling.Boot
	if c.tookOver {
		wait += followTime
	}

	if in.Now.Sub(c.started) < wait || in.Unheard {
		return nil // orders of a former holder may be under way, or more replicas be needed
	}

	step := math.MaxInt

	if in.RequestsSeen {
		if in.Now.Sub(c.lowered) < lowerInterval {
			return nil
		}

		step = max(int(lowerStep*float64(len(in.Targets))), minLowerStep)
	}

	// Only replicas that serve now and stay count.
	spare := -c.total
	if !in.RequestsSeen {
		spare = -min(c.total, c.there) // the reserve may come later
	}

	unanswered, blocked := false, false

	for _, g := range groups {
		spare += g.staying()
		blocked = blocked || g.wanted > g.ordered && !g.avoided(in) && g.ordered+c.other(g).ordered >= in.Scaling.Max
		unanswered = unanswered || g.present > g.ordered && !g.certain
	}

	if blocked && in.RequestsSeen {
		// Replicas of one kind must leave before those of the other kind have room.
		spare += min(step, c.total-c.bare)
	}

	if spare < 0 {
		return nil
	}

	spare = min(spare, step)
	excess := func(g *group) int { return g.staying() - g.wanted }

	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(excess(b), excess(a)) })

	var list []Order

	for _, g := range groups {
		switch n := min(excess(g), spare, g.staying()+c.other(g).staying()-in.Scaling.Min); {
		case in.Now.Before(g.retryAt) || g.avoided(in):
		case g.present > g.ordered && g.overdue(in) && step > 0:
			// Replicas that came by a late order may be many.
			count := max(g.ordered, g.present-step)
			list = append(list, Order{Group: g.Group, Count: count, Present: g.present, Reason: Repeat})
			step -= g.present - count
		case n > 0 && g.present <= g.ordered && !unanswered:
			list = append(list, Order{Group: g.Group, Count: g.present - n, Present: g.present, Reason: Lower})
			spare -= n
		}
	}

	return list
}
