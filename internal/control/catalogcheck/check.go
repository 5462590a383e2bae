// Package catalogcheck examines a configuration before it is put in force: what it gets wrong, what can never take effect, and what
// differs from the one in force.
//
// It does no I/O. What hosts refuse to decode is not examined here.
package catalogcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Severity is how much a finding matters.
type Severity string

const (
	// Problem means that requests fail which the configuration seems to allow.
	Problem Severity = "problem"
	// Notice means that something has no effect, or another one than it seems to have.
	Notice Severity = "notice"
	// Difference means that the configuration in force says otherwise.
	Difference Severity = "difference"
)

// Finding is one statement about a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    string   `json:"place"` // entry that the finding is about, for example "route checkout"
	Text     string   `json:"text"`
}

// report collects findings.
type report struct {
	findings []Finding
}

func (r *report) add(s Severity, place, format string, args ...any) {
	r.findings = append(r.findings, Finding{Severity: s, Place: place, Text: fmt.Sprintf(format, args...)})
}

// Check returns what is wrong in c, in the order of its entries.
func Check(c catalog.Contents) []Finding {
	r := &report{}

	r.limits(c.Limits)
	r.routes(c)
	r.services(c)
	r.accounts(c)

	return r.findings
}

func (r *report) limits(l catalog.Limits) {
	if l.BodyBytes > 0 && l.HeaderBytes > 0 && int64(l.HeaderBytes) > l.BodyBytes {
		r.add(Notice, "limits", "heads may be larger (%d bytes) than bodies (%d bytes)", l.HeaderBytes, l.BodyBytes)
	}

	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		r.add(Notice, "limits", "a head may take longer (%v) than a connection may be idle (%v)", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (r *report) routes(c catalog.Contents) {
	known := map[entity.ServiceName]bool{}
	for _, s := range c.Services {
		known[s.Name] = true
	}

	type match struct{ host, prefix string }

	first := map[match]string{}

	for _, route := range c.Routes {
		place := "route " + route.Name

		if earlier, taken := first[match{route.Host, route.Prefix}]; taken {
			r.add(Problem, place, "never matches: route %s has the same host and prefix and comes first", earlier)
		} else {
			first[match{route.Host, route.Prefix}] = route.Name
		}

		r.matching(place, route)
		r.shares(place, route, known)
		r.times(place, route)

		if route.Public && len(c.Accounts) == 0 {
			r.add(Notice, place, "is public, but there are no accounts, so no route needs a key")
		}
	}
}

// matching finds routes whose host or prefix no request can have.
func (r *report) matching(place string, route catalog.Route) {
	switch {
	case route.Host == "":
		r.add(Problem, place, "never matches: it has no host")
	case route.Host != strings.ToLower(route.Host) || strings.Contains(route.Host, ":"):
		r.add(Problem, place, "never matches: host %q has capitals or a port, and hosts of requests are compared without", route.Host)
	}

	switch {
	case !strings.HasPrefix(route.Prefix, "/"):
		r.add(Problem, place, "never matches: prefix %q does not begin with a slash", route.Prefix)
	case !strings.HasSuffix(route.Prefix, "/"):
		r.add(Problem, place, "prefix %q does not end with a slash and matches paths that only begin alike", route.Prefix)
	}
}

func (r *report) shares(place string, route catalog.Route, known map[entity.ServiceName]bool) {
	if route.ServiceFor("") == "" {
		r.add(Problem, place, "leads to no service")
	}

	for _, s := range route.Shares {
		if !known[s.Service] {
			r.add(Problem, place, "leads to service %s, which is not configured", s.Service)
		}
	}
}

func (r *report) times(place string, route catalog.Route) {
	longer := func(what string, d time.Duration) {
		if route.Timeout > 0 && d > route.Timeout {
			r.add(Problem, place, "%s (%v) is longer than the timeout (%v)", what, d, route.Timeout)
		}
	}

	longer("the objective", route.Objective)
	longer("the longest pause between events", route.Gap)

	if !route.Streaming && route.Gap > 0 {
		r.add(Notice, place, "has a longest pause between events, but its answers are no streams")
	}

	if route.Repeat == catalog.AtMostOnce && route.MaxTargets > 1 {
		r.add(Notice, place, "may try %d targets, but its requests run at most once: a second one is tried only if the first did not run them", route.MaxTargets)
	}
}

func (r *report) services(c catalog.Contents) {
	used, seen := map[entity.ServiceName]bool{}, map[entity.ServiceName]bool{}

	for _, route := range c.Routes {
		for _, s := range route.Shares {
			used[s.Service] = true
		}
	}

	for _, s := range c.Services {
		place := "service " + string(s.Name)

		switch {
		case seen[s.Name]:
			r.add(Problem, place, "stands twice; the last one counts")
		case !used[s.Name]:
			r.add(Notice, place, "gets no requests: no route leads to it")
		}

		seen[s.Name] = true

		if s.Engine != nil && (s.Engine.Slots <= 0 || s.Engine.KVCapacity <= 0) {
			r.add(Notice, place, "states no slots or no KV cache for its engines, so their room is not known")
		}

		if s.Scaling != nil {
			r.scaling(place, *s.Scaling)
		}
	}
}

func (r *report) scaling(place string, s catalog.Scaling) {
	switch {
	case s.Max <= 0:
		r.add(Problem, place, "may have no replicas: the most is %d", s.Max)
	case s.Min > s.Max:
		r.add(Problem, place, "must have at least %d replicas in a data centre and may have at most %d", s.Min, s.Max)
	}

	if s.ReclaimablePrice >= 1 {
		r.add(Notice, place, "reclaimable replicas are not cheaper than others (%v of their price), so none is ordered", s.ReclaimablePrice)
	}

	for _, dc := range slices.Sorted(maps.Keys(s.Prices)) {
		if price := s.Prices[dc]; price < 0 {
			r.add(Problem, place, "a replica in data centre %s has a negative price (%v)", dc, price)
		}
	}
}

func (r *report) accounts(c catalog.Contents) {
	type position struct {
		account entity.AccountID
		key     int
	}

	holder, seen := map[string]position{}, map[entity.AccountID]bool{}

	for _, a := range c.Accounts {
		place := "account " + string(a.ID)

		if seen[a.ID] {
			r.add(Notice, place, "stands twice")
		}

		seen[a.ID] = true

		if a.ID == "" {
			r.add(Problem, place, "has no name, so targets cannot tell whose requests they get")
		}

		if !slices.ContainsFunc(a.Keys, func(k string) bool { return k != "" }) {
			r.add(Notice, place, "has no key, so no request is its own")
		}

		for i, key := range a.Keys {
			p, taken := holder[key]

			// Keys are secrets, so findings name their positions alone.
			switch {
			case key == "":
				r.add(Problem, place, "key %d is empty and never names it", i+1)
			case key != strings.TrimSpace(key):
				r.add(Problem, place, "key %d begins or ends with a space, which requests cannot", i+1)
			case taken:
				r.add(Problem, place, "key %d never names it: account %s has it as key %d", i+1, p.account, p.key)
			default:
				holder[key] = position{a.ID, i + 1}
			}
		}
	}
}
