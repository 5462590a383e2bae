package configuration

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	readInterval   = 2 * time.Second // between periodic reads of the head
	readJitter     = 250 * time.Millisecond
	firstRetry     = 250 * time.Millisecond // after a read that failed or found nothing newer; doubles
	fetchInterval  = time.Second            // between two fetches from one peer that gave nothing newer
	slowRead       = 500 * time.Millisecond // after which a peer is asked as well
	watchInterval  = time.Second            // between two tries to open a watch
	silenceLimit   = time.Second            // by which a watch must show what a read has shown
	peerExpiry     = 10 * time.Second       // after which a silent peer's generation is forgotten
	firstPeersWait = 1500 * time.Millisecond
)

// Event is an input of a Follower.
type Event interface{ event() }

// Events of a Follower.
type (
	// HeadSeen is a head that a watch delivered; Encoded is its value.
	HeadSeen struct {
		Generation table.Generation
		Encoded    []byte
	}
	// WatchEnded says that the watch closed or could not be opened.
	WatchEnded struct{}
	// PlatformRead is the outcome of ReadPlatform; Contents is nil after a failure.
	PlatformRead struct{ Contents *Contents }
	// PeerHeard is a heartbeat's generation.
	PeerHeard struct {
		Host       table.HostID
		Generation table.Generation
	}
	// PeerFetched is the outcome of FetchPeer; Contents is nil after a failure.
	PeerFetched struct {
		Host     table.HostID
		Contents *Contents
	}
)

func (HeadSeen) event()     {}
func (WatchEnded) event()   {}
func (PlatformRead) event() {}
func (PeerHeard) event()    {}
func (PeerFetched) event()  {}

// Action is an output of a Follower.
type Action interface{ action() }

// Actions of a Follower.
type (
	// ReadPlatform reads the head and the shards that differ. With Encoded set, that is the head.
	ReadPlatform struct{ Encoded []byte }
	// FetchPeer fetches a peer's copy.
	FetchPeer struct{ Host table.HostID }
	// OpenWatch opens a watch on the head and closes the one before.
	OpenWatch struct{}
	// Publish brings contents into force.
	Publish struct{ Contents *Contents }
)

func (ReadPlatform) action() {}
func (FetchPeer) action()    {}
func (OpenWatch) action()    {}
func (Publish) action()      {}

type peerState struct {
	generation table.Generation
	heard      time.Time
	notBefore  time.Time // of the next fetch
}

// Follower decides what an entry host reads to keep its configuration in force, and when. It does
// no I/O and is not safe for concurrent use. What it publishes never gets older.
type Follower struct {
	rng     *rand.Rand
	started time.Time
	current *Contents

	reading     bool
	readStarted time.Time
	nextRead    time.Time // periodic
	nextUrgent  time.Time // of something newer that is known to exist
	retry       time.Duration
	readFailed  bool // the last one
	readOnce    bool

	fetching bool
	peers    map[table.HostID]peerState

	watching  bool
	nextWatch time.Time
	compared  bool             // a read has shown what the open watch need not show
	watched   table.Generation // newest that the open watch showed or need not show
	behind    time.Time        // since when the open watch lacks what a read showed; zero: it does not

	head HeadSeen // newest that a watch showed
	ok   bool
}

// NewFollower returns a Follower without configuration that starts at now.
func NewFollower(now time.Time, rng *rand.Rand) *Follower {
	return &Follower{rng: rng, started: now, nextRead: now, nextWatch: now, peers: map[table.HostID]peerState{}}
}

// Current returns the contents in force, or nil before the first.
func (f *Follower) Current() *Contents {
	return f.current
}

// Ready reports whether the host may serve: it has read the platform, or, with the platform out of
// reach, it holds the newest copy that its peers speak of. Once ready it stays so.
func (f *Follower) Ready() bool {
	return f.ok
}

// Handle takes an event at now and returns what to do.
func (f *Follower) Handle(now time.Time, e Event) []Action {
	var published []Action

	switch e := e.(type) {
	case HeadSeen:
		f.watched = max(f.watched, e.Generation)
		if e.Generation > f.head.Generation {
			f.head = e
		}
	case WatchEnded:
		f.watching = false
		f.nextWatch = now.Add(watchInterval)
	case PlatformRead:
		published = f.platformRead(now, e.Contents)
	case PeerHeard:
		p := f.peers[e.Host]
		p.generation, p.heard = e.Generation, now
		f.peers[e.Host] = p

		// Heartbeats are many; one without news can wait for the next tick.
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

func (f *Follower) platformRead(now time.Time, c *Contents) []Action {
	f.reading = false
	f.readFailed = c == nil
	published := f.accept(c)

	f.nextUrgent = now
	if c != nil && !f.wants() {
		f.retry = 0
	} else {
		f.retry = min(max(2*f.retry, firstRetry), readInterval)
		f.nextUrgent = now.Add(f.retry)
	}

	f.nextRead = now.Add(readInterval + time.Duration(f.rng.Int64N(int64(readJitter))))

	if c == nil {
		f.nextRead = f.nextUrgent

		return nil
	}

	f.readOnce = true

	if !f.compared {
		f.watched = max(f.watched, c.Generation())
		f.compared = true
	}

	if f.watching && f.behind.IsZero() && c.Generation() > f.watched {
		f.behind = now
	}

	return published
}

// accept publishes c if it is newer than what is in force.
func (f *Follower) accept(c *Contents) []Action {
	if c == nil || f.current != nil && c.Generation() <= f.current.Generation() {
		return nil
	}

	f.current = c

	return []Action{Publish{Contents: c}}
}

// Tick returns what to do at now.
func (f *Follower) Tick(now time.Time) []Action {
	maps.DeleteFunc(f.peers, func(_ table.HostID, p peerState) bool { return now.Sub(p.heard) > peerExpiry })

	f.ok = f.ok || f.becomesReady(now)

	var actions []Action

	actions = append(actions, f.watch(now)...)
	actions = append(actions, f.read(now)...)

	return append(actions, f.fetch(now)...)
}

func (f *Follower) becomesReady(now time.Time) bool {
	if f.current == nil {
		return false
	}

	if f.readOnce {
		return true
	}

	// The platform is out of reach. The first copy may be older than what this host's last run
	// served, so all peers get the time to speak first.
	return f.readFailed && now.Sub(f.started) >= firstPeersWait && f.newestHeard() <= f.current.Generation()
}

func (f *Follower) newestHeard() table.Generation {
	var g table.Generation

	for _, p := range f.peers {
		g = max(g, p.generation)
	}

	return g
}

// wants reports whether something newer than what is in force is known to exist.
func (f *Follower) wants() bool {
	if f.current == nil {
		return true
	}

	return f.head.Generation > f.current.Generation() || f.newestHeard() > f.current.Generation()
}

func (f *Follower) watch(now time.Time) []Action {
	if f.watched >= f.current.Generation() {
		f.behind = time.Time{}
	}

	silent := f.watching && !f.behind.IsZero() && now.Sub(f.behind) >= silenceLimit

	if (f.watching || now.Before(f.nextWatch)) && !silent {
		return nil
	}

	f.watching = true
	f.compared = false
	f.behind = time.Time{}
	// A change between the last read and the opening of the watch is found by a read after it.
	f.nextRead = now

	return []Action{OpenWatch{}}
}

func (f *Follower) read(now time.Time) []Action {
	due := !now.Before(f.nextRead) || f.wants() && !now.Before(f.nextUrgent)
	if f.reading || !due {
		return nil
	}

	f.reading = true
	f.readStarted = now

	if f.head.Generation > f.current.Generation() && !f.readFailed {
		return []Action{ReadPlatform{Encoded: f.head.Encoded}}
	}

	return []Action{ReadPlatform{}}
}

// fetch asks the peer with the newest generation, when the platform fails or is slow.
func (f *Follower) fetch(now time.Time) []Action {
	slow := f.reading && now.Sub(f.readStarted) >= slowRead
	if f.fetching || !f.wants() || !f.readFailed && !slow {
		return nil
	}

	best, found := table.HostID(""), false

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
