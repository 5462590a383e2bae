// Package peersync fetches configuration and targets from a peer that is ahead of this host. Readers tracks which hosts read
// the platform's store, and Turn spreads their calls over time.
package peersync

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/copies"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// claimRetention is how long after its last heartbeat a peer counts as ahead.
	claimRetention = 5 * time.Second
	// failureRetention is how long other peers are preferred to one from which a fetch failed.
	failureRetention = 3 * time.Second
	// maxClaims bounds the peers that count as ahead. Any of them can bring this host up to date.
	maxClaims = 64
)

// Lag is that of which a host has an older state than a peer. The zero value is a host that is up to date.
type Lag struct {
	Configuration bool
	Targets       bool
}

// Any reports whether the host lags at all.
func (l Lag) Any() bool { return l.Configuration || l.Targets }

// Claim is a peer's report that it is ahead of this host.
type Claim struct {
	From       entity.HostID
	DataCentre entity.DataCentre
	Lag        Lag
	Since      time.Time     // when the peer was first found ahead
	HeardAt    time.Time     // when the peer last reported it
	TargetsAge time.Duration // how long before HeardAt the peer's targets were last known to be current; negative for unknown
}

// State is the state of this host that is updated from peers.
type State interface {
	// Position returns the configuration version and the store revision to fetch from; at a zero revision, all
	// targets are fetched.
	Position() (version, revision uint64)
	// Behind reports in what version or revision is newer than this host's own.
	Behind(version, revision uint64) Lag
	// Adopt puts the encoded configuration that was fetched from the peer from in force, and reports whether it was newer.
	Adopt(value []byte, from string) bool
	// Import applies the encoded targets that were fetched from the peer from, and returns what it changed.
	Import(now time.Time, encoded []byte, from string) (Lag, error)
}

// Options configure New. All but Clock, Log and OnImport are required.
type Options struct {
	Clock clockwork.Clock // nil means the real clock
	Log   *log.Logger     // nil means the default logger
	Host  entity.HostID   // this host
	State State
	// FetchPart asks the host from for a part of its state.
	FetchPart func(ctx context.Context, from entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error)
	// Accept reports whether this host fetches now because of a claim. It is asked again while the claim holds.
	Accept func(now time.Time, c Claim) bool
	// OnImport is called after a fetch that changed this host's state, with what it changed; nil means no call.
	OnImport func(c Claim, changed Lag)
}

// Syncer fetches state from peers that are ahead of this host. The configuration and the targets are fetched independently
// of each other, so that a change of one does not wait for the other. It is safe for concurrent use. Make it with New.
type Syncer struct {
	opts  Options
	lanes [2]*lane // of the configuration and of the targets

	mu     sync.Mutex
	claims map[entity.HostID]heldClaim
}

// lane fetches the configuration or the targets, from one peer at a time.
type lane struct {
	lag      Lag // what it fetches
	fetching atomic.Bool
	receiver *copies.Receiver // only used by the goroutine that has set fetching

	mu     sync.Mutex
	failed map[entity.HostID]time.Time // peers from which a fetch failed, and when
}

// heldClaim is a claim as the peer last reported it.
type heldClaim struct {
	Claim

	version, revision uint64
}

// New returns a Syncer. It starts no goroutine.
func New(opts Options) *Syncer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	if opts.OnImport == nil {
		opts.OnImport = func(Claim, Lag) {}
	}

	s := &Syncer{opts: opts, claims: map[entity.HostID]heldClaim{}}

	for i, lag := range []Lag{{Configuration: true}, {Targets: true}} {
		s.lanes[i] = &lane{lag: lag, failed: map[entity.HostID]time.Time{}, receiver: copies.NewReceiver(copies.ReceiverOptions{
			Clock: opts.Clock, Host: opts.Host, Targets: lag.Targets, FetchPart: opts.FetchPart,
		})}
	}

	return s
}

// OnHeartbeat handles the configuration version, the store revision and the age of its targets that the peer from, in the data
// centre dc, advertises. For what this host is behind in, and if it accepts the claim, it starts a fetch in the background. While
// a fetch is running, no other of the same state is started.
func (s *Syncer) OnHeartbeat(from entity.HostID, dc entity.DataCentre, version, revision uint64, targetsAge time.Duration) {
	now := s.opts.Clock.Now()
	lag := s.opts.State.Behind(version, revision)

	s.mu.Lock()
	old, known := s.claims[from]
	c := heldClaim{
		Claim:   Claim{From: from, DataCentre: dc, Lag: lag, Since: now, HeardAt: now, TargetsAge: targetsAge},
		version: version, revision: revision,
	}

	switch {
	case !lag.Any():
		delete(s.claims, from)
	case known:
		c.Since = old.Since
		s.claims[from] = c
	case len(s.claims) < maxClaims:
		s.claims[from] = c
	}
	s.mu.Unlock()

	for _, l := range s.lanes {
		if !l.hasFailed(now, from) {
			s.consider(now, l, c)
		}
	}
}

// Tick considers the claims again that were not accepted when they were heard, and those whose fetch has failed.
func (s *Syncer) Tick(now time.Time) {
	s.mu.Lock()
	maps.DeleteFunc(s.claims, func(_ entity.HostID, c heldClaim) bool {
		return now.Sub(c.HeardAt) > claimRetention || !s.opts.State.Behind(c.version, c.revision).Any()
	})
	claims := slices.Collect(maps.Values(s.claims))
	s.mu.Unlock()

	for _, l := range s.lanes {
		for _, failed := range []bool{false, true} {
			for _, c := range claims {
				if l.hasFailed(now, c.From) == failed {
					s.consider(now, l, c)
				}
			}
		}
	}
}

// consider starts a fetch by l because of c if the peer is ahead in what l fetches, this host accepts the claim to that, and
// no fetch is running.
func (s *Syncer) consider(now time.Time, l *lane, c heldClaim) {
	c.Lag = l.lagIn(s.opts.State.Behind(c.version, c.revision))

	if !c.Lag.Any() || l.fetching.Load() || !s.opts.Accept(now, c.Claim) || !l.fetching.CompareAndSwap(false, true) {
		return
	}

	go func() {
		defer l.fetching.Store(false)

		began := s.opts.Clock.Now()
		err := s.fetch(l, c)
		l.note(s.opts.Clock.Now(), c.From, err)

		if err != nil {
			s.opts.Log.Info().Str("peer", string(c.From)).Bool("targets", l.lag.Targets).Int("arrived", l.receiver.Arrived()).
				Dur("took", s.opts.Clock.Since(began)).Err(err).Msg("could not update state from a peer")
		}
	}()
}

// fetch fetches from a peer once and imports the result.
func (s *Syncer) fetch(l *lane, c heldClaim) error {
	known, revision := s.opts.State.Position()
	if l.lag.Targets {
		known = revision
	}

	received, err := l.receiver.Fetch(context.Background(), c.From, known, func() bool {
		return l.lagIn(s.opts.State.Behind(c.version, c.revision)).Any()
	})
	if err != nil || received == nil {
		return err
	}

	state, err := received.State()
	if err != nil {
		return err
	}

	var changed Lag

	if l.lag.Targets {
		changed, err = s.opts.State.Import(s.opts.Clock.Now(), state, string(c.From))
	} else {
		changed.Configuration = s.opts.State.Adopt(state, string(c.From))
	}

	if changed.Any() {
		s.opts.OnImport(c.Claim, changed)
	}

	return err
}

// lagIn returns that part of lag which l fetches.
func (l *lane) lagIn(lag Lag) Lag {
	return Lag{Configuration: lag.Configuration && l.lag.Configuration, Targets: lag.Targets && l.lag.Targets}
}

// note records whether a fetch from the peer from failed.
func (l *lane) note(now time.Time, from entity.HostID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	maps.DeleteFunc(l.failed, func(_ entity.HostID, at time.Time) bool { return now.Sub(at) >= failureRetention })
	delete(l.failed, from)

	if err != nil {
		l.failed[from] = now
	}
}

// hasFailed reports whether a fetch from the peer from has lately failed.
func (l *lane) hasFailed(now time.Time, from entity.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	at, ok := l.failed[from]

	return ok && now.Sub(at) < failureRetention
}
