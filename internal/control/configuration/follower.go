package configuration

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	readInterval      = 2 * time.Second         // time between periodic reads of the head
	readJitter        = 250 * time.Millisecond  // upper bound of the random time added to readInterval
	firstRetry        = 250 * time.Millisecond  // delay after a read that failed or missed a known generation; doubles
	fetchInterval     = time.Second             // wait after a fetch from a peer that failed or returned no newer copy
	slowReadThreshold = 500 * time.Millisecond  // duration of a platform read after which a peer's copy is fetched as well
	watchInterval     = time.Second             // wait before a watch that ended is opened again
	watchLagLimit     = time.Second             // a watch that lacks a generation read for this long is reopened
	peerExpiry        = 10 * time.Second        // time after a peer's last heartbeat until its generation is dropped
	initialPeerWait   = 1500 * time.Millisecond // time from the start until a peer's copy may be served without the platform
)

// Event is an input of Follower.Handle.
type Event interface{ event() }

// Events of a Follower.
type (
	// HeadSeen reports a head that the watch delivered. Encoded is the value of the object HeadKey.
	HeadSeen struct {
		Generation entity.Generation
		Encoded    []byte
	}
	// WatchEnded reports that the watch closed or could not be opened.
	WatchEnded struct{}
	// PlatformRead is the result of a ReadPlatform action. Contents is nil after a failure.
	PlatformRead struct{ Contents *Contents }
	// PeerHeartbeat reports the generation that a peer's heartbeat carried.
	PeerHeartbeat struct {
		Host       entity.HostID
		Generation entity.Generation
	}
	// PeerFetched is the result of a FetchPeer action. Contents is nil after a failure.
	PeerFetched struct {
		Host     entity.HostID
		Contents *Contents
	}
)

func (HeadSeen) event()      {}
func (WatchEnded) event()    {}
func (PlatformRead) event()  {}
func (PeerHeartbeat) event() {}
func (PeerFetched) event()   {}

// Action is an output of a Follower, which the caller carries out.
type Action interface{ action() }

// Actions of a Follower.
type (
	// ReadPlatform reads the head and the shards that differ from the contents in force. If Encoded is
	// set, it is the head's value and the head need not be read.
	ReadPlatform struct{ Encoded []byte }
	// FetchPeer fetches the configuration from a peer.
	FetchPeer struct{ Host entity.HostID }
	// OpenWatch opens a watch on the head and closes the previous one.
	OpenWatch struct{}
	// Publish brings contents into force.
	Publish struct{ Contents *Contents }
)

func (ReadPlatform) action() {}
func (FetchPeer) action()    {}
func (OpenWatch) action()    {}
func (Publish) action()      {}

type peerState struct {
	generation    entity.Generation
	lastHeartbeat time.Time
	notBefore     time.Time // earliest time of the next fetch from the peer
}

// Follower decides what an entry host reads to keep its configuration up to date, and when. It does
// no I/O and is not safe for concurrent use. The generations that it publishes only increase.
type Follower struct {
	rng     *rand.Rand
	started time.Time
	current *Contents

	reading        bool
	readStarted    time.Time
	nextRead       time.Time // next periodic read
	nextRetry      time.Time // earliest next read while a newer generation is known to exist
	retryDelay     time.Duration
	lastReadFailed bool
	readSucceeded  bool

	fetching bool
	peers    map[entity.HostID]peerState

	watching          bool
	nextWatch         time.Time
	watchBaselineSet  bool              // a read has succeeded since the watch was opened
	watchedGeneration entity.Generation // newest that a watch, or the first read after it opened, delivered
	watchLagSince     time.Time         // since when the open watch lacks a generation already read; zero if it lacks none

	newestHead HeadSeen // newest head that a watch delivered
	ready      bool
}

// NewFollower returns a Follower that has no configuration yet and starts at now. It draws the jitter
// of periodic reads from rng.
func NewFollower(now time.Time, rng *rand.Rand) *Follower {
	return &Follower{rng: rng, started: now, nextRead: now, nextWatch: now, peers: map[entity.HostID]peerState{}}
}

// Current returns the contents in force, or nil before the first.
func (f *Follower) Current() *Contents {
	return f.current
}

// Ready reports whether the host may serve: it has read the platform, or, while the platform is
// unreachable, it holds the newest generation that its peers' heartbeats carry. Once true, it stays true.
func (f *Follower) Ready() bool {
	return f.ready
}

// Handle processes an event at time now and returns the actions to carry out.
func (f *Follower) Handle(now time.Time, e Event) []Action {
	var published []Action

	switch e := e.(type) {
	case HeadSeen:
		f.watchedGeneration = max(f.watchedGeneration, e.Generation)
		if e.Generation > f.newestHead.Generation {
			f.newestHead = e
		}
	case WatchEnded:
		f.watching = false
		f.nextWatch = now.Add(watchInterval)
	case PlatformRead:
		published = f.handlePlatformRead(now, e.Contents)
	case PeerHeartbeat:
		p := f.peers[e.Host]
		p.generation, p.lastHeartbeat = e.Generation, now
		f.peers[e.Host] = p

		// Heartbeats are frequent, so those without a newer generation leave the work to the next tick.
		if f.current != nil && e.Generation <= f.current.Generation() {
			return nil
		}
	case PeerFetched:
		f.fetching = false

		published = f.accept(e.Contents)
		if len(published) > 0 {
			break
		}

		p := f.peers[e.Host]
		p.notBefore = now.Add(fetchInterval)
		f.peers[e.Host] = p
	}

	return append(published, f.Tick(now)...)
}

func (f *Follower) handlePlatformRead(now time.Time, c *Contents) []Action {
	f.reading = false
	f.lastReadFailed = c == nil
	published := f.accept(c)

	f.nextRetry = now
	if c != nil && !f.newerKnown() {
		f.retryDelay = 0
	} else {
		f.retryDelay = min(max(2*f.retryDelay, firstRetry), readInterval)
		f.nextRetry = now.Add(f.retryDelay)
	}

	f.nextRead = now.Add(readInterval + time.Duration(f.rng.Int64N(int64(readJitter))))

	if c == nil {
		f.nextRead = f.nextRetry

		return nil
	}

	f.readSucceeded = true

	if !f.watchBaselineSet {
		f.watchedGeneration = max(f.watchedGeneration, c.Generation())
		f.watchBaselineSet = true
	}

	if f.watching && f.watchLagSince.IsZero() && c.Generation() > f.watchedGeneration {
		f.watchLagSince = now
	}

	return published
}

// accept publishes c if it is newer than the contents in force. A nil c is ignored.
func (f *Follower) accept(c *Contents) []Action {
	if c == nil || f.current != nil && c.Generation() <= f.current.Generation() {
		return nil
	}

	f.current = c

	return []Action{Publish{Contents: c}}
}

// Tick returns the actions that are due at now.
func (f *Follower) Tick(now time.Time) []Action {
	maps.DeleteFunc(f.peers, func(_ entity.HostID, p peerState) bool { return now.Sub(p.lastHeartbeat) > peerExpiry })

	f.ready = f.ready || f.canBecomeReady(now)

	var actions []Action

	actions = append(actions, f.watch(now)...)
	actions = append(actions, f.read(now)...)

	return append(actions, f.fetch(now)...)
}

func (f *Follower) canBecomeReady(now time.Time) bool {
	if f.current == nil {
		return false
	}

	if f.readSucceeded {
		return true
	}

	// The platform is unreachable. The first peer's copy may be older than what this host served before
	// its restart, so the host waits until every peer has had the time to send a heartbeat.
	return f.lastReadFailed && now.Sub(f.started) >= initialPeerWait && f.newestPeerGeneration() <= f.current.Generation()
}

func (f *Follower) newestPeerGeneration() entity.Generation {
	var g entity.Generation

	for _, p := range f.peers {
		g = max(g, p.generation)
	}

	return g
}

// newerKnown reports whether a generation newer than the one in force is known to exist, from a watch or
// a heartbeat. Without contents in force it returns true.
func (f *Follower) newerKnown() bool {
	if f.current == nil {
		return true
	}

	return f.newestHead.Generation > f.current.Generation() || f.newestPeerGeneration() > f.current.Generation()
}

func (f *Follower) watch(now time.Time) []Action {
	if f.watchedGeneration >= f.current.Generation() {
		f.watchLagSince = time.Time{}
	}

	lagging := f.watching && !f.watchLagSince.IsZero() && now.Sub(f.watchLagSince) >= watchLagLimit

	if (f.watching || now.Before(f.nextWatch)) && !lagging {
		return nil
	}

	f.watching = true
	f.watchBaselineSet = false
	f.watchLagSince = time.Time{}
	// The watch delivers only later changes. This read finds one that was made after the last read and
	// before the watch opened.
	f.nextRead = now

	return []Action{OpenWatch{}}
}

func (f *Follower) read(now time.Time) []Action {
	due := !now.Before(f.nextRead) || f.newerKnown() && !now.Before(f.nextRetry)
	if f.reading || !due {
		return nil
	}

	f.reading = true
	f.readStarted = now

	if f.newestHead.Generation > f.current.Generation() && !f.lastReadFailed {
		return []Action{ReadPlatform{Encoded: f.newestHead.Encoded}}
	}

	return []Action{ReadPlatform{}}
}

// fetch fetches from the peer with the newest generation when the platform fails or is slow.
func (f *Follower) fetch(now time.Time) []Action {
	slow := f.reading && now.Sub(f.readStarted) >= slowReadThreshold
	if f.fetching || !f.newerKnown() || !f.lastReadFailed && !slow {
		return nil
	}

	best, found := entity.HostID(""), false

	for _, id := range slices.Sorted(maps.Keys(f.peers)) {
		p := f.peers[id]
		if now.Before(p.notBefore) || f.current != nil && p.generation <= f.current.Generation() {
			continue
		}

		if !found || p.generation > f.peers[best].generation {
			best, found = id, true
		}
	}

	if !found {
		return nil
	}

	f.fetching = true

	return []Action{FetchPeer{Host: best}}
}
