// Package roster lets the hosts of a deployment discover each other through the platform's store, even if all configured
// seeds are gone.
//
// Each host writes its address once, under a name that stays the same after a restart. It lists the other hosts at the
// start, every few seconds while it has no live peer, and seldom otherwise. Entries of hosts that stay silent are removed.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	// Kind is the store's kind of the host entries.
	Kind = "dotterelflow-hosts"

	stepInterval = time.Second
	// aloneListInterval is the time between two lists while this host has no live peer.
	aloneListInterval = 5 * time.Second
	callTimeout       = 2 * time.Second
	// staleAfter is how long another host must have been silent, as observed by this host, before its entry is removed.
	// It is also the time between two lists while this host has live peers.
	staleAfter = 10 * time.Minute
)

// Store is the part of the platform's store that the roster needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	Delete(ctx context.Context, key platform.Key, expect platform.Version) error
	List(ctx context.Context, kind string) ([]storewatch.Entry, uint64, error)
}

// Peers is this host's membership of the peer network.
type Peers interface {
	// Introduce adds the addresses of other hosts, which may be known already.
	Introduce(addresses []string)
	// Alone reports whether this host has no live peer.
	Alone() bool
	// IsLive reports whether the peer at address is live.
	IsLive(address string) bool
}

// Options configure a Roster. All but Clock and Log are required.
type Options struct {
	Clock   clockwork.Clock // nil means the real clock
	Log     *log.Logger     // nil means the default logger
	Store   Store
	Peers   Peers
	Name    string // name of this host's entry in the store, the same after a restart
	Address string // ip:port of this host's peer API
}

// entry is the content of a host's object in the store.
type entry struct {
	Address string `json:"address"`
}

// Roster publishes this host's address and finds the other hosts. Make it with Start.
type Roster struct {
	opts        Options
	published   bool                 // this host's entry is written
	lastList    time.Time            // time of the last successful list; zero: none yet
	silentSince map[string]time.Time // when the host of each entry was first found silent, by entry name
	done        chan struct{}
}

// Start runs a Roster in the background until ctx ends.
func Start(ctx context.Context, opts Options) *Roster {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	r := &Roster{opts: opts, silentSince: map[string]time.Time{}, done: make(chan struct{})}

	go func() {
		defer close(r.done)

		ticker.Run(ctx, opts.Clock, stepInterval, r.step)
	}()

	return r
}

// Done returns a channel that is closed once the Roster has ended.
func (r *Roster) Done() <-chan struct{} { return r.done }

// step publishes this host's entry if that has not succeeded yet, and lists the hosts when a list is due.
func (r *Roster) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	now := r.opts.Clock.Now()

	if !r.published {
		if err := r.publish(ctx); err != nil {
			r.opts.Log.Info().Err(err).Msg("could not write this host's entry")

			return
		}

		r.published = true
	}

	interval := staleAfter
	if r.opts.Peers.Alone() {
		interval = aloneListInterval
	}

	if !r.lastList.IsZero() && now.Sub(r.lastList) < interval {
		return
	}

	if err := r.listHosts(ctx, now); err != nil {
		r.opts.Log.Info().Err(err).Msg("could not list the hosts")
	}
}

// publish writes this host's address to the store, unless the entry has it already.
func (r *Roster) publish(ctx context.Context) error {
	key := platform.Key(Kind + "/" + r.opts.Name)

	o, err := r.opts.Store.Get(ctx, key)
	if err != nil {
		return err
	}

	var old entry
	if o.Version.Revision() != 0 && json.Unmarshal(o.Value, &old) == nil && old.Address == r.opts.Address {
		return nil
	}

	value, err := json.Marshal(entry{Address: r.opts.Address})
	if err != nil {
		return err
	}

	_, err = r.opts.Store.Put(ctx, key, o.Version, value)

	return err
}

// listHosts passes the addresses of all other hosts to Peers and removes stale entries.
func (r *Roster) listHosts(ctx context.Context, now time.Time) error {
	entries, _, err := r.opts.Store.List(ctx, Kind)
	if err != nil {
		return err
	}

	r.lastList = now

	var addresses []string

	for _, e := range entries {
		var other entry

		if err := json.Unmarshal(e.Value, &other); err != nil || other.Address == "" {
			r.opts.Log.Warn().Str("entry", e.Name).Err(err).Msg("entry has no valid host address")

			continue
		}

		if other.Address != r.opts.Address {
			addresses = append(addresses, other.Address)
			r.removeIfStale(ctx, now, e, other.Address)
		}
	}

	r.opts.Peers.Introduce(addresses)

	return nil
}

// removeIfStale removes the entry e of the host at address if the host has been silent for staleAfter, as far as this host
// observed. A host without live peers removes nothing, since it may be the one that is cut off.
func (r *Roster) removeIfStale(ctx context.Context, now time.Time, e storewatch.Entry, address string) {
	if r.opts.Peers.IsLive(address) || r.opts.Peers.Alone() {
		delete(r.silentSince, e.Name)

		return
	}

	since, ok := r.silentSince[e.Name]
	if !ok {
		r.silentSince[e.Name] = now

		return
	}

	if now.Sub(since) < staleAfter {
		return
	}

	err := r.opts.Store.Delete(ctx, platform.Key(Kind+"/"+e.Name), platform.Version(e.Revision))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		r.opts.Log.Info().Str("entry", e.Name).Err(err).Msg("could not remove the entry of a silent host")

		return
	}

	delete(r.silentSince, e.Name)
	r.opts.Log.Info().Str("entry", e.Name).Msg("removed the entry of a silent host")
}
