// Package freshness notices that nothing renews what this host believes, although no call has failed: a watch of the store
// may be on a connection that has fallen silent. It then reads the store anew or takes the state from a peer.
package freshness

import (
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/peersync"
	"github.com/dotterelflow/dotterelflow/internal/entry/storewatch"
)

const (
	// deafAfter is how long a watch may be under way without having delivered what a peer knows already. The store sends
	// a change to all watches at one time.
	deafAfter = 250 * time.Millisecond
	// relayPatience is how long a host that leaves reading the store to others waits for the readers of its own data
	// centre before it fetches from another one. Readers may gather changes for a fifth of their bound.
	relayPatience = time.Second
)

// Watcher follows the objects of one kind in the store.
type Watcher interface {
	Watching() storewatch.Watching
	Refresh()
}

// Options configure New. All but Log are required.
type Options struct {
	Log  *log.Logger // nil means the default logger
	Home entity.DataCentre
	// Ages returns how long ago the configuration and the targets were last known to be current, by this host or a peer;
	// negative before that.
	Ages func(now time.Time) (configuration, targets time.Duration)
	// StoreReachable reports whether this host's last call to the store did not fail.
	StoreReachable func() bool
	// LeavesStoreToPeers reports whether other hosts read the store for this one.
	LeavesStoreToPeers func() bool
	// Turn returns the turn of one of this host's watches, that of the configuration (0) or of the targets (1).
	Turn     func(watch int) peersync.Turn
	Announce func() // sends heartbeats to all partners at once
}

// Guard decides when this host reads its state anew. It is safe for concurrent use. Make it with New; it does nothing before
// Attach is called.
type Guard struct {
	opts Options

	mu      sync.Mutex
	watches []watch // of the configuration and of the targets; nil before Attach
	// answeredAt is when the store last answered each watcher; zero before the first answer.
	answeredAt [2]time.Time
	// heardAt is until when it is known that open connections to the store, of this host or of a peer, have not fallen silent;
	// zero before the first watch.
	heardAt time.Time
	// renewedAt is when this host last began to replace both of its watches; zero once both are replaced.
	renewedAt time.Time
	rereads   int64
}

// watch is a Watcher with the kind of its objects, for logs.
type watch struct {
	Watcher

	kind string
}

// isDeaf reports whether a watch is under way that would have delivered by now what a peer knows.
func (w watch) isDeaf(now time.Time) bool {
	current := w.Watching()

	return current.Active() && now.Sub(current.Since) >= deafAfter
}

// New returns a Guard without watchers.
func New(opts Options) *Guard {
	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Guard{opts: opts}
}

// Attach sets the watchers of the configuration and of the targets, which were started after started.
func (g *Guard) Attach(started time.Time, configuration, targets Watcher) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.watches = []watch{{configuration, "configuration"}, {targets, "targets"}}
	g.renewedAt = started
}

// Rereads returns how often the store was read anew since nothing had renewed the state.
func (g *Guard) Rereads() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.rereads
}

// HeardAge returns how long ago it is that open connections to the store were last known to work; negative if unknown.
func (g *Guard) HeardAge(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.heardAt.IsZero() {
		return -1
	}

	return now.Sub(g.heardAt)
}

// OnAnswer handles an answer of the store at now to one of this host's watchers, on a connection that has been open since
// since. It shows that no network has silenced the open connections meanwhile. A connection that was opened later shows
// nothing of those opened before; but a host of which both connections answer hears all changes and tells them.
func (g *Guard) OnAnswer(watch int, since, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.answeredAt[watch] = now

	if since.After(g.heardAt) {
		now = earlier(g.answeredAt[0], g.answeredAt[1])
	}

	if now.After(g.heardAt) {
		g.heardAt = now
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// OnPeer handles the HeardAge of a peer, received at now.
func (g *Guard) OnPeer(now time.Time, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if at := now.Add(-age); age >= 0 && at.After(g.heardAt) {
		g.heardAt = at
	}
}

// Wait returns the longest duration of a watch of this host that begins now. shared tells that a change has reached the
// watches of all hosts, which now begin anew.
func (g *Guard) Wait(watch int, shared bool) time.Duration {
	turn := g.opts.Turn(watch)

	g.mu.Lock()
	defer g.mu.Unlock()

	// Several hosts may replace their watches at the same time too.
	if shared || !g.renewedAt.IsZero() {
		return turn.First()
	}

	return turn.Next()
}

// OnSilence handles the end, at now, of a watch whose answer did not come. The other watch may be on a silent connection too.
func (g *Guard) OnSilence(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.renew(now)
}

// renew replaces both watches. The caller holds mu.
func (g *Guard) renew(now time.Time) {
	g.renewedAt = now

	for _, w := range g.watches {
		g.rereads++

		w.Refresh()
	}
}

// Accept reports whether this host takes the state of the peer that makes the claim c. A host that reads the store does so
// while a call of its own has failed, or if its watch should have delivered by now what the peer knows.
func (g *Guard) Accept(now time.Time, c peersync.Claim) bool {
	switch {
	case !g.opts.StoreReachable():
		return true
	case g.opts.LeavesStoreToPeers():
		return c.DataCentre == g.opts.Home || now.Sub(c.Since) >= relayPatience
	default:
		return len(g.deaf(now, g.credible(now, c))) > 0
	}
}

// credible returns the lag that c shows for a host that reads the store. Versions of the configuration only grow, but a store
// that was restored gives revisions out again, so a peer's targets must have been confirmed later than this host's.
func (g *Guard) credible(now time.Time, c peersync.Claim) peersync.Lag {
	_, own := g.opts.Ages(now)
	lag := c.Lag
	lag.Targets = lag.Targets && c.TargetsAge >= 0 && now.Sub(c.HeardAt)+c.TargetsAge <= own

	return lag
}

// OnImport handles a copy that was taken because of the claim c and changed this host's state. A watch that did not deliver
// the change is replaced, and peers learn of the change at once, as their watches may be silent too.
func (g *Guard) OnImport(now time.Time, c peersync.Claim, changed peersync.Lag) {
	deaf := g.deaf(now, changed)

	for _, w := range deaf {
		g.opts.Log.Warn().Str("kind", w.kind).Str("peer", string(c.From)).Dur("watching", now.Sub(w.Watching().Since)).
			Msg("the store did not tell what a peer knows; it is read anew")
		w.Refresh()
	}

	g.mu.Lock()
	g.rereads += int64(len(deaf))
	g.mu.Unlock()

	if len(deaf) > 0 || c.DataCentre != g.opts.Home && g.opts.LeavesStoreToPeers() {
		g.opts.Announce()
	}
}

// deaf returns the watches of the kinds in lag that are deaf.
func (g *Guard) deaf(now time.Time, lag peersync.Lag) []watch {
	g.mu.Lock()
	defer g.mu.Unlock()

	var deaf []watch

	for i, w := range g.watches {
		if lags := [...]bool{lag.Configuration, lag.Targets}; lags[i] && w.isDeaf(now) {
			deaf = append(deaf, w)
		}
	}

	return deaf
}

// Tick reads the store anew if no host has heard it in time. It must be called several times a second.
func (g *Guard) Tick(now time.Time) {
	if g.finishRenewal() {
		g.opts.Announce()
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	if !g.renewedAt.IsZero() || !slices.ContainsFunc(g.watches, func(w watch) bool { return w.Watching().Active() }) {
		return
	}

	configuration, targets := g.opts.Ages(now)
	heard := now.Sub(g.heardAt)
	turn := g.opts.Turn(0)

	for i, age := range []time.Duration{configuration, targets} {
		w := g.watches[i]

		current := w.Watching()
		if !current.Active() {
			continue
		}

		left := current.Until.Sub(now)

		if turn.IsLate(heard, 1, left) {
			g.logLate(now, w, current, age)
			g.renew(now)

			return
		}

		if turn.IsLate(age, 1/float64(len(g.watches)), left) {
			g.logLate(now, w, current, age)

			g.rereads++

			w.Refresh()
		}
	}
}

// logLate logs that w is replaced. The caller holds mu.
func (g *Guard) logLate(now time.Time, w watch, current storewatch.Watching, age time.Duration) {
	g.opts.Log.Info().Str("kind", w.kind).Dur("age", age).Dur("heard", now.Sub(g.heardAt)).Dur("watching", now.Sub(current.Since)).
		Msg("no host has heard the store in time; it is read anew")
}

// finishRenewal reports whether both watches have been replaced since the last call of renew.
func (g *Guard) finishRenewal() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.renewedAt.IsZero() {
		return false
	}

	for _, w := range g.watches {
		current := w.Watching()
		if !current.Active() || current.Since.Before(g.renewedAt) {
			return false
		}
	}

	g.renewedAt = time.Time{}

	return true
}
