package load

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

// Bounds of a run.
const (
	MaxDuration = 10 * time.Minute
	MaxRate     = 2000 // requests per second
	MaxOpen     = 1000 // requests at a time; an arrival beyond them is not sent
)

// Key is a bearer key and the request kinds that it may send; no kinds means all.
type Key struct {
	Bearer string
	Kinds  []table.KindName
}

// Options say what a run sends. Addresses, Keys, Kinds and Arrivals are required.
type Options struct {
	Addresses []string          // ip:port of the entry hosts, used in turn; loopback only
	Keys      []Key             // used in turn among those that may send a kind
	Kinds     []trace.Kind      // that Arrivals refer to
	Arrivals  []trace.Arrival   // ordered by time
	Duration  time.Duration     // of sending, at most MaxDuration
	Rate      float64           // mean requests per second over the whole trace; zero keeps the trace's times
	Model     table.Model       // zero means the one of the trace
	Service   table.ServiceName // zero means the one of the trace
	Grace     time.Duration     // beyond a request's deadline, after which it is given up; zero means 5 s
}

// check returns an error unless the run is bounded and stays on this machine.
func (o Options) check() error {
	if len(o.Addresses) == 0 || len(o.Keys) == 0 {
		return Error.New("an address and a key are needed")
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
		return Error.New("duration %v: want more than none and at most %v", o.Duration, MaxDuration)
	}

	if o.Rate < 0 || o.Rate > MaxRate {
		return Error.New("rate %v: want at most %d requests per second", o.Rate, MaxRate)
	}

	for _, a := range o.Arrivals {
		if a.Kind < 0 || a.Kind >= len(o.Kinds) {
			return Error.New("arrival %s is of an unknown kind", a.Request)
		}
	}

	return nil
}

// due returns the arrivals to send with their times, which are stretched to the rate.
func (o Options) due() []trace.Arrival {
	if len(o.Arrivals) == 0 {
		return nil
	}

	stretch := 1.0
	last := o.Arrivals[len(o.Arrivals)-1].At

	if o.Rate > 0 && last > 0 {
		stretch = float64(len(o.Arrivals)) / last.Seconds() / o.Rate
	}

	var due []trace.Arrival

	for _, a := range o.Arrivals {
		a.At = time.Duration(float64(a.At) * stretch)

		if a.At >= o.Duration || len(due) >= int(o.Duration.Seconds()*MaxRate) {
			break
		}

		if o.may(o.Kinds[a.Kind].Name) {
			due = append(due, a)
		}
	}

	return due
}

// may reports whether any key may send kind.
func (o Options) may(kind table.KindName) bool {
	return slices.ContainsFunc(o.Keys, func(k Key) bool { return k.may(kind) })
}

func (k Key) may(kind table.KindName) bool {
	return len(k.Kinds) == 0 || slices.Contains(k.Kinds, kind)
}

// keyOf returns the nth key, in turn, of those that may send kind.
func (o Options) keyOf(kind table.KindName, n int) string {
	var may []string

	for _, k := range o.Keys {
		if k.may(kind) {
			may = append(may, k.Bearer)
		}
	}

	return may[n%len(may)]
}
