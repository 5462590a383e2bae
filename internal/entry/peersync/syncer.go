// Package peersync fetches configuration and targets from a peer, for a host that cannot reach the platform's store or that
// leaves reading the store to other hosts. Readers tracks which hosts read the store.
package peersync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// fetchTimeout bounds one fetch. After a failure, the next heartbeat of a peer that is ahead starts another.
const fetchTimeout = time.Second

// State is the state of this host that is updated from peers.
type State interface {
	// Position returns the configuration version and the store revision to fetch from; at a zero revision, all
	// targets are fetched.
	Position() (version, revision uint64)
	// Behind reports whether version or revision is newer than this host's own.
	Behind(version, revision uint64) bool
	// Import applies the encoded state that was fetched from the peer from.
	Import(now time.Time, encoded []byte, from string) error
}

// Options configure New. All but Clock and Log are required.
type Options struct {
	Clock clockwork.Clock // nil means the real clock
	Log   *log.Logger     // nil means the default logger
	State State
	// Fetch returns the encoded changes since version and revision from the host from; empty means none.
	Fetch func(ctx context.Context, from entity.HostID, version, revision uint64) ([]byte, error)
	// AcceptFrom reports whether this host fetches from peers in the data centre dc.
	AcceptFrom func(dc entity.DataCentre) bool
}

// Syncer fetches state from peers that are ahead of this host. It is safe for concurrent use. Make it with New.
type Syncer struct {
	opts     Options
	fetching atomic.Bool
}

// New returns a Syncer. It starts no goroutine.
func New(opts Options) *Syncer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Syncer{opts: opts}
}

// OnHeartbeat handles the configuration version and the store revision that the peer from, in the data centre dc,
// advertises. If this host is behind and fetches from dc, it starts a fetch in the background. While a fetch is running,
// calls have no effect.
func (s *Syncer) OnHeartbeat(from entity.HostID, dc entity.DataCentre, version, revision uint64) {
	if !s.opts.AcceptFrom(dc) || !s.opts.State.Behind(version, revision) || !s.fetching.CompareAndSwap(false, true) {
		return
	}

	go func() {
		defer s.fetching.Store(false)

		if err := s.fetch(from); err != nil {
			s.opts.Log.Info().Str("peer", string(from)).Err(err).Msg("could not update state from a peer")
		}
	}()
}

// fetch fetches from a peer once and imports the result.
func (s *Syncer) fetch(from entity.HostID) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()

	version, revision := s.opts.State.Position()

	encoded, err := s.opts.Fetch(ctx, from, version, revision)
	if err != nil || len(encoded) == 0 {
		return err
	}

	return s.opts.State.Import(s.opts.Clock.Now(), encoded, string(from))
}
