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
)

const (
	// fetchTimeout bounds one fetch. After a failure, the next heartbeat of a peer that is ahead starts another.
	fetchTimeout = time.Second
	// claimRetention is how long after its last heartbeat a peer counts as ahead.
	claimRetention = 5 * time.Second
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
	// Import applies the encoded state that was fetched from the peer from, and returns what it changed.
	Import(now time.Time, encoded []byte, from string) (Lag, error)
}

// Options configure New. All but Clock, Log and OnImport are required.
type Options struct {
	Clock clockwork.Clock // nil means the real clock
	Log   *log.Logger     // nil means the default logger
	State State
	// Fetch returns the encoded changes since version and revision from the host from; empty means none.
	Fetch func(ctx context.Context, from entity.HostID, version, revision uint64) ([]byte, error)
	// Accept reports whether this host fetches now because of a claim. It is asked again while the claim holds.
	Accept func(now time.Time, c Claim) bool
	// OnImport is called after a fetch that changed this host's state, with what it changed; nil means no call.
	OnImport func(c Claim, changed Lag)
}

// Syncer fetches state from peers that are ahead of this host. It is safe for concurrent use. Make it with New.
type Syncer struct {
	opts     Options
	fetching atomic.Bool

	mu     sync.Mutex
	claims map[entity.HostID]heldClaim
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

	return &Syncer{opts: opts, claims: map[entity.HostID]heldClaim{}}
}

// OnHeartbeat handles the configuration version, the store revision and the age of its targets that the peer from, in the data
// centre dc, advertises. If this host is behind and accepts the claim, it starts a fetch in the background. While a fetch is
// running, no other is started.
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

	if lag.Any() {
		s.consider(now, c.Claim)
	}
}

// Tick considers the claims again that were not accepted when they were heard.
func (s *Syncer) Tick(now time.Time) {
	s.mu.Lock()
	maps.DeleteFunc(s.claims, func(_ entity.HostID, c heldClaim) bool {
		return now.Sub(c.HeardAt) > claimRetention || !s.opts.State.Behind(c.version, c.revision).Any()
	})
	claims := slices.Collect(maps.Values(s.claims))
	s.mu.Unlock()

	for _, c := range claims {
		s.consider(now, c.Claim)
	}
}

// consider starts a fetch because of c if this host accepts c and no fetch is running.
func (s *Syncer) consider(now time.Time, c Claim) {
	if !s.opts.Accept(now, c) || !s.fetching.CompareAndSwap(false, true) {
		return
	}

	go func() {
		defer s.fetching.Store(false)

		began := s.opts.Clock.Now()

		if err := s.fetch(c); err != nil {
			s.opts.Log.Info().Str("peer", string(c.From)).Bool("configuration", c.Lag.Configuration).Bool("targets", c.Lag.Targets).
				Dur("took", s.opts.Clock.Since(began)).Err(err).Msg("could not update state from a peer")
		}
	}()
}

// fetch fetches from a peer once and imports the result.
func (s *Syncer) fetch(c Claim) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()

	version, revision := s.opts.State.Position()

	encoded, err := s.opts.Fetch(ctx, c.From, version, revision)
	if err != nil || len(encoded) == 0 {
		return err
	}

	changed, err := s.opts.State.Import(s.opts.Clock.Now(), encoded, string(c.From))
	if changed.Any() {
		s.opts.OnImport(c, changed)
	}

	return err
}
