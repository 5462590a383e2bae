// Package catalog holds the routes and services of the active configuration.
//
// A Catalog is immutable and safe for concurrent use.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Version numbers the configurations of one deployment. It only increases, not always by one.
type Version uint64

// Repeat states whether a request whose target failed may be run again. The zero value is AtMostOnce.
type Repeat uint8

const (
	// AtMostOnce requests may be sent to a second target only if the first one did not run them.
	AtMostOnce Repeat = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Resumable requests are streams that another target may continue after the last complete event.
	Resumable
)

// Share assigns part of a route's requests to a service: the service's weight relative to the sum of the weights.
type Share struct {
	Service entity.ServiceName
	Weight  uint64
}

// Route defines how requests for a host and path prefix are served.
type Route struct {
	Name       string
	Host       string // host name without a port
	Prefix     string // path prefix that begins and ends with a slash
	Streaming  bool   // the response is a stream of events
	Repeat     Repeat
	Timeout    time.Duration // longest time from arrival to the end of the response; zero sets no bound
	Objective  time.Duration // target time from arrival to the response, or to a stream's first event
	Gap        time.Duration // target for the longest pause between two events of a stream
	Rank       int           // urgency of the requests; zero is the most urgent
	Shares     []Share
	MaxTargets int  // maximum number of targets that one request may run on, at least 1
	Public     bool // requests need no account, also if the configuration has accounts
}

// Engine describes the model replicas of a service.
type Engine struct {
	Slots        int
	KVCapacity   entity.Tokens // size of the KV cache of one replica
	RoleChange   time.Duration // how long a replica is unavailable while it changes its role
	HandleLife   time.Duration // how long a replica keeps a KV cache for transfer to another one
	LinkMbps     float64       // bandwidth of a replica's link, in Mbit/s
	KVTokenBytes float64       // bytes of KV cache per token
}

// Service is a group of replicas that serve the same requests.
type Service struct {
	Name           entity.ServiceName
	HealthPath     string
	MaxConnections int      // maximum number of connections to one replica, from all clients together; zero sets no bound
	Engine         *Engine  // nil for a plain service
	Scaling        *Scaling // nil if the number of replicas is not this system's to order
}

// Limits bound the requests of callers. A zero field sets no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Contents are the entries of a configuration in their order.
type Contents struct {
	Version  Version
	Limits   Limits
	Routes   []Route
	Services []Service
	Accounts []Account
}

// Build returns the Catalog of c, whose entries must not be modified afterwards.
func (c Contents) Build() *Catalog {
	return Build(c.Version, c.Limits, c.Routes, c.Services, c.Accounts...)
}

// Catalog is one configuration. Make it with Build; a nil *Catalog has no routes.
type Catalog struct {
	Version  Version
	Limits   Limits
	services map[entity.ServiceName]Service
	routes   map[string][]Route // routes by host, the longest prefix first
	lives    map[entity.ServiceName]time.Duration
	accounts []Account
	byKey    map[keyHash]int // positions in accounts
}

// DefaultTimeout is the timeout of a request if neither its caller nor its route sets one.
const DefaultTimeout = 30 * time.Second

// Build returns a Catalog of routes, services and accounts, which must not be modified afterwards.
func Build(v Version, limits Limits, routes []Route, services []Service, accounts ...Account) *Catalog {
	c := &Catalog{
		Version: v, Limits: limits,
		services: make(map[entity.ServiceName]Service, len(services)),
		routes:   make(map[string][]Route),
		lives:    make(map[entity.ServiceName]time.Duration),
		accounts: accounts,
		byKey:    indexKeys(accounts),
	}

	for _, s := range services {
		c.services[s.Name] = s
	}

	for _, r := range routes {
		r.MaxTargets = max(r.MaxTargets, 1)
		c.routes[r.Host] = append(c.routes[r.Host], r)

		for _, s := range r.Shares {
			if r.Streaming {
				c.lives[s.Service] = max(c.lives[s.Service], cmp.Or(r.Timeout, DefaultTimeout))
			}
		}
	}

	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}

	return c
}

// Match returns the route of host with the longest prefix of path.
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

// Service returns the service with the given name.
func (c *Catalog) Service(name entity.ServiceName) (Service, bool) {
	if c == nil {
		return Service{}, false
	}

	s, ok := c.services[name]

	return s, ok
}

// StreamLife returns the longest time for which a stream of the service lives: the longest timeout of its streaming routes,
// or zero if there are none.
func (c *Catalog) StreamLife(name entity.ServiceName) time.Duration {
	if c == nil {
		return 0
	}

	return c.lives[name]
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

// ServiceFor returns the service for the request id, chosen by the weights of r and always the same for the same id.
// It returns "" for a route without shares or with weights of zero only.
func (r Route) ServiceFor(id entity.RequestID) entity.ServiceName {
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
