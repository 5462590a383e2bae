// Package catalog holds the routes and services that operators have put in force.
//
// A Catalog is immutable once built; any number of goroutines may read it.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Version numbers the configurations of one deployment; it only grows, in uneven steps.
type Version uint64

// Repeat says what may be done with a request whose target failed. The zero value is AtMostOnce.
type Repeat uint8

const (
	// AtMostOnce requests may reach a second target only if the first one did not run them.
	AtMostOnce Repeat = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Resumable requests are streams that another target may continue after the last whole event.
	Resumable
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service table.ServiceName
	Weight  uint64
}

// Route says how requests for a host and path prefix are served.
type Route struct {
	Name       string
	Host       string // without a port
	Prefix     string // begins and ends with a slash
	Streaming  bool   // the answer is a series of events
	Repeat     Repeat
	Timeout    time.Duration // from arrival to the final answer; zero sets no bound
	Objective  time.Duration // from arrival to the answer, or to a stream's first event
	Gap        time.Duration // longest pause between two events of a stream that is on time
	Rank       int           // zero is the most urgent
	Shares     []Share
	MaxTargets int // targets that one request may run on, at least 1
}

// Engine describes the model replicas of a service.
type Engine struct {
	Slots        int
	KVCapacity   table.Tokens
	RoleChange   time.Duration // that a replica is away
	HandleLife   time.Duration // that a KV cache is kept for another replica
	LinkMbps     float64
	KVTokenBytes float64
}

// Service is a group of replicas that serve the same requests.
type Service struct {
	Name           table.ServiceName
	HealthPath     string
	MaxConnections int     // to one replica, of all callers; zero sets no bound
	Engine         *Engine // nil for a plain service
}

// Limits bound what a caller may send. A zero field sets no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one configuration. Build makes it; a nil *Catalog has no routes.
type Catalog struct {
	Version  Version
	Limits   Limits
	services map[table.ServiceName]Service
	routes   map[string][]Route // by host, the longest prefix first
}

// Build indexes routes and services, which must not change afterwards.
func Build(v Version, limits Limits, routes []Route, services []Service) *Catalog {
	c := &Catalog{
		Version: v, Limits: limits,
		services: make(map[table.ServiceName]Service, len(services)),
		routes:   make(map[string][]Route),
	}

	for _, s := range services {
		c.services[s.Name] = s
	}

	for _, r := range routes {
		r.MaxTargets = max(r.MaxTargets, 1)
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}

	for _, of := range c.routes {
		slices.SortStableFunc(of, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}

	return c
}

// Match returns the route of host with the longest prefix that begins path.
func (c *Catalog) Match(host, path string) (Route, bool) {
	if c == nil {
		return Route{}, false
	}

	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}

	return Route{}, false
}

// Service returns the service name.
func (c *Catalog) Service(name table.ServiceName) (Service, bool) {
	if c == nil {
		return Service{}, false
	}

	s, ok := c.services[name]

	return s, ok
}

// Services returns all services ordered by name.
func (c *Catalog) Services() []Service {
	if c == nil {
		return nil
	}

	all := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}

	slices.SortFunc(all, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })

	return all
}

// ServiceFor returns the service that takes the request id by the weights of r, always the same one
// for the same id. It returns "" for a route without shares.
func (r Route) ServiceFor(id table.RequestID) table.ServiceName {
	var total uint64
	for _, s := range r.Shares {
		total += s.Weight
	}

	if total == 0 {
		return ""
	}

	point := xxhash.Sum64String(string(id)) % total

	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}

		point -= s.Weight
	}

	return ""
}
