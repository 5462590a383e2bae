package loadgen

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// Limits of a run.
const (
	MaxDuration = 10 * time.Minute
	MaxRate     = 2000 // requests per second
	MaxInFlight = 1000 // requests in flight; an arrival beyond them is not sent, and is reported as a problem
)

// Key is a bearer key of a client account, with the request kinds that it may send; no kinds means all.
type Key struct {
	Bearer string
	Kinds  []entity.KindName
}

// Options say what a run sends. Addresses, Keys, Kinds and Arrivals are required.
type Options struct {
	Addresses []string           // ip:port of the entry hosts, used in turn; loopback only
	Keys      []Key              // the keys that may send a request's kind are used in turn
	Kinds     []trace.Kind       // the kinds that Arrivals refer to by index
	Arrivals  []trace.Arrival    // ordered by time
	Duration  time.Duration      // time in which requests are sent, at most MaxDuration
	Rate      float64            // mean requests per second over the whole trace; zero keeps the times of the trace
	Model     entity.Model       // replaces the model of the trace; empty means no change
	Service   entity.ServiceName // replaces the service of the trace; empty means no change
	Grace     time.Duration      // time after a request's deadline at which it is abandoned; zero means 5 s
}

// check returns an error if o lacks addresses or keys, exceeds a limit, refers to an unknown kind or has an address
// that is not on loopback.
func (o Options) check() error {
	if len(o.Addresses) == 0 || len(o.Keys) == 0 {
		return Error.New("at least one address and one key are required")
	}

	for _, address := range o.Addresses {
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			return Error.New("address %q: want ip:port", address)
		}

		if !at.Addr().IsLoopback() {
			return Error.New("address %q is not on loopback", address)
		}
	}

	if o.Duration <= 0 || o.Duration > MaxDuration {
		return Error.New("duration %v: must be positive and at most %v", o.Duration, MaxDuration)
	}

	if o.Rate < 0 || o.Rate > MaxRate {
		return Error.New("rate %v: must be from 0 to %d requests per second", o.Rate, MaxRate)
	}

	for _, a := range o.Arrivals {
		if a.Kind < 0 || a.Kind >= len(o.Kinds) {
			return Error.New("arrival %s has an unknown kind", a.Request)
		}
	}

	return nil
}

// scheduled returns the arrivals to send, with their times scaled to Rate. It leaves out arrivals at or after Duration,
// kinds that no key may send, and all arrivals once Duration times MaxRate requests are scheduled.
func (o Options) scheduled() []trace.Arrival {
	if len(o.Arrivals) == 0 {
		return nil
	}

	scale := 1.0
	last := o.Arrivals[len(o.Arrivals)-1].At

	if o.Rate > 0 && last > 0 {
		scale = float64(len(o.Arrivals)) / last.Seconds() / o.Rate
	}

	var scheduled []trace.Arrival

	for _, a := range o.Arrivals {
		a.At = time.Duration(float64(a.At) * scale)

		if a.At >= o.Duration || len(scheduled) >= int(o.Duration.Seconds()*MaxRate) {
			break
		}

		if o.anyKeyAllows(o.Kinds[a.Kind].Name) {
			scheduled = append(scheduled, a)
		}
	}

	return scheduled
}

// anyKeyAllows reports whether any key may send kind.
func (o Options) anyKeyAllows(kind entity.KindName) bool {
	return slices.ContainsFunc(o.Keys, func(k Key) bool { return k.allows(kind) })
}

// allows reports whether k may send kind.
func (k Key) allows(kind entity.KindName) bool {
	return len(k.Kinds) == 0 || slices.Contains(k.Kinds, kind)
}

// keyOf returns the bearer key for the nth request, of the given kind. The keys that may send kind are used in
// turn; there must be one.
func (o Options) keyOf(kind entity.KindName, n int) string {
	var allowed []string

	for _, k := range o.Keys {
		if k.allows(kind) {
			allowed = append(allowed, k.Bearer)
		}
	}

	return allowed[n%len(allowed)]
}
