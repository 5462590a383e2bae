// Package roster makes the hosts of a deployment known to each other through the platform's store.
//
// Seeds may all be gone. Each host writes its address once, under a name that its next run has too, and reads
// those of the others at the start and while it is alone.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/entry/follow"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	// Kind is the kind of the entries.
	Kind = "dotterelflow-hosts"

	step = time.Second
	// aloneEvery is the time between two reads of a host that hears no peer.
	aloneEvery = 5 * time.Second
	callBound  = 2 * time.Second
	// forget is the age at which an entry of a host that nobody hears is removed, by the host that finds it.
	forget = 10 * time.Minute
)

// Store is the part of the platform's store that the roster needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	Delete(ctx context.Context, key platform.Key, expect platform.Version) error
	List(ctx context.Context, kind string) ([]follow.Entry, uint64, error)
}

// Peers takes the addresses that were found.
type Peers interface {
	Introduce(addresses []string)
	// Alone reports whether no peer is heard.
	Alone() bool
	// Heard reports whether the peer at address is heard.
	Heard(address string) bool
}

// Options are the parts of a Roster. All are required but Clock and Log.
type Options struct {
	Clock   clockwork.Clock // nil means the real clock
	Log     *log.Logger     // nil means the default logger
	Store   Store
	Peers   Peers
	Name    string // of this host, the same for each run
	Address string // ip:port of the peer API
}

type entry struct {
	Address string `json:"address"`
}

// Roster keeps this host's entry. Make it with Start.
type Roster struct {
	opts    Options
	written bool
	read    time.Time // last read; zero: none yet
	silent  map[string]time.Time
	done    chan struct{}
}

// Start runs a Roster until ctx ends.
func Start(ctx context.Context, opts Options) *Roster {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	r := &Roster{opts: opts, silent: map[string]time.Time{}, done: make(chan struct{})}

	go func() {
		defer close(r.done)

		ticker.Run(ctx, opts.Clock, step, r.step)
	}()

	return r
}

// Done is closed once the Roster has ended.
func (r *Roster) Done() <-chan struct{} { return r.done }

func (r *Roster) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()

	now := r.opts.Clock.Now()

	if !r.written {
		if err := r.write(ctx); err != nil {
			r.opts.Log.Info().Err(err).Msg("own entry not written yet")

			return
		}

		r.written = true
	}

	every := forget
	if r.opts.Peers.Alone() {
		every = aloneEvery
	}

	if !r.read.IsZero() && now.Sub(r.read) < every {
		return
	}

	if err := r.list(ctx, now); err != nil {
		r.opts.Log.Info().Err(err).Msg("hosts not read")
	}
}

// write states this host's address, unless the entry does already.
func (r *Roster) write(ctx context.Context) error {
	key := platform.Key(Kind + "/" + r.opts.Name)

	o, err := r.opts.Store.Get(ctx, key)
	if err != nil {
		return err
	}

	var old entry
	if o.Version != 0 && json.Unmarshal(o.Value, &old) == nil && old.Address == r.opts.Address {
		return nil
	}

	value, err := json.Marshal(entry{Address: r.opts.Address})
	if err != nil {
		return err
	}

	_, err = r.opts.Store.Put(ctx, key, o.Version, value)

	return err
}

func (r *Roster) list(ctx context.Context, now time.Time) error {
	entries, _, err := r.opts.Store.List(ctx, Kind)
	if err != nil {
		return err
	}

	r.read = now

	var addresses []string

	for _, e := range entries {
		var other entry

		if err := json.Unmarshal(e.Value, &other); err != nil || other.Address == "" {
			r.opts.Log.Warn().Str("entry", e.Name).Err(err).Msg("entry names no host")

			continue
		}

		if other.Address != r.opts.Address {
			addresses = append(addresses, other.Address)
			r.tidy(ctx, now, e, other.Address)
		}
	}

	r.opts.Peers.Introduce(addresses)

	return nil
}

// tidy removes the entry of a host that has not been heard since it was first found silent, long ago.
func (r *Roster) tidy(ctx context.Context, now time.Time, e follow.Entry, address string) {
	if r.opts.Peers.Heard(address) || r.opts.Peers.Alone() {
		delete(r.silent, e.Name)

		return
	}

	since, ok := r.silent[e.Name]
	if !ok {
		r.silent[e.Name] = now

		return
	}

	if now.Sub(since) < forget {
		return
	}

	err := r.opts.Store.Delete(ctx, platform.Key(Kind+"/"+e.Name), platform.Version(e.Revision))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		r.opts.Log.Info().Str("entry", e.Name).Err(err).Msg("entry of a silent host not removed")

		return
	}

	delete(r.silent, e.Name)
	r.opts.Log.Info().Str("entry", e.Name).Msg("entry of a silent host removed")
}
