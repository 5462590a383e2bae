package catalogcheck

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
)

// Compare returns what next changes against c, the configuration in force, as operators and callers would see it.
func Compare(c, next catalog.Contents) []Finding {
	r := &report{}

	if next.Version <= c.Version {
		r.add(Problem, "version", "%d is not above %d, which is in force, so hosts would not take it", next.Version, c.Version)
	}

	if c.Limits != next.Limits {
		r.add(Difference, "limits", "%+v in place of %+v", next.Limits, c.Limits)
	}

	compare(r, "route", routeKey, c.Routes, next.Routes, (*report).changedRoute)
	compare(r, "service", func(s catalog.Service) string { return string(s.Name) }, c.Services, next.Services, (*report).changedService)
	compare(r, "account", func(a catalog.Account) string { return string(a.ID) }, c.Accounts, next.Accounts, (*report).changedAccount)

	return r.findings
}

// routeKey identifies a route for callers.
func routeKey(r catalog.Route) string { return r.Host + r.Prefix }

// compare reports the entries that come and go, and calls changed for those that stay.
func compare[T any](r *report, kind string, key func(T) string, old, next []T, changed func(r *report, place string, old, next T)) {
	before := map[string]T{}
	for _, e := range old {
		before[key(e)] = e
	}

	after := map[string]bool{}

	for _, e := range next {
		place := kind + " " + key(e)
		after[key(e)] = true

		if was, ok := before[key(e)]; ok {
			changed(r, place, was, e)
		} else {
			r.add(Difference, place, "is new")
		}
	}

	for _, e := range old {
		if !after[key(e)] {
			after[key(e)] = true
			r.add(Difference, kind+" "+key(e), "goes")
		}
	}
}

// change reports a figure that differs.
func change[T comparable](r *report, place, what string, old, next T) {
	if old != next {
		r.add(Difference, place, "%s: %v in place of %v", what, next, old)
	}
}

func (r *report) changedRoute(place string, old, next catalog.Route) {
	change(r, place, "name", old.Name, next.Name)
	change(r, place, "timeout", old.Timeout, next.Timeout)
	change(r, place, "objective", old.Objective, next.Objective)
	change(r, place, "longest pause between events", old.Gap, next.Gap)
	change(r, place, "rank (0 is the most urgent)", old.Rank, next.Rank)
	change(r, place, "targets that may be tried", old.MaxTargets, next.MaxTargets)
	change(r, place, "stream", old.Streaming, next.Streaming)
	change(r, place, "open to callers without a key", old.Public, next.Public)

	if old.Repeat != next.Repeat {
		r.add(Difference, place, "requests %s; before, they %s", repeatText(next.Repeat), repeatText(old.Repeat))
	}

	if !slices.Equal(sorted(old.Shares), sorted(next.Shares)) {
		r.add(Difference, place, "services and weights: %v in place of %v", sorted(next.Shares), sorted(old.Shares))
	}
}

func repeatText(r catalog.Repeat) string {
	switch r {
	case catalog.Repeatable:
		return "may run more than once"
	case catalog.Resumable:
		return "may go on at another target"
	default:
		return "run at most once"
	}
}

func sorted(shares []catalog.Share) []catalog.Share {
	return slices.SortedFunc(slices.Values(shares), func(a, b catalog.Share) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Weight, b.Weight))
	})
}

func (r *report) changedService(place string, old, next catalog.Service) {
	change(r, place, "path of health checks", old.HealthPath, next.HealthPath)
	change(r, place, "connections to a replica", old.MaxConnections, next.MaxConnections)

	switch {
	case (old.Engine == nil) != (next.Engine == nil):
		change(r, place, "model engines", old.Engine != nil, next.Engine != nil)
	case old.Engine != nil && *old.Engine != *next.Engine:
		r.add(Difference, place, "engines: %+v in place of %+v", *next.Engine, *old.Engine)
	}

	var before, after catalog.Scaling
	if old.Scaling != nil {
		before = *old.Scaling
	}

	if next.Scaling != nil {
		after = *next.Scaling
	}

	change(r, place, "number of replicas ordered by need", old.Scaling != nil, next.Scaling != nil)
	change(r, place, "least replicas of a data centre", before.Min, after.Min)
	change(r, place, "most replicas of a data centre", before.Max, after.Max)
	change(r, place, "price of reclaimable replicas", before.ReclaimablePrice, after.ReclaimablePrice)
}

func (r *report) changedAccount(place string, old, next catalog.Account) {
	if old.HasRank != next.HasRank || old.Rank != next.Rank {
		r.add(Difference, place, "rank (0 is the most urgent): %s in place of %s", rankText(next), rankText(old))
	}

	if n := missing(old.Keys, next.Keys); n > 0 {
		r.add(Difference, place, "%d of %d keys are taken away", n, len(old.Keys))
	}

	if n := missing(next.Keys, old.Keys); n > 0 {
		r.add(Difference, place, "%d keys are new", n)
	}
}

func rankText(a catalog.Account) string {
	if !a.HasRank {
		return "that of the route"
	}

	return strconv.Itoa(a.Rank)
}

// missing returns how many of keys are not among others.
func missing(keys, others []string) int {
	n := 0

	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}

	return n
}
