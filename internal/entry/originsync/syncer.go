package originsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// minSendInterval and sendIntervalPerPeer bound the messages in which records are sent.
	minSendInterval     = 2 * time.Millisecond
	sendIntervalPerPeer = 250 * time.Microsecond
	// sendTimeout bounds one message, with its second try on a new connection.
	sendTimeout = 1500 * time.Millisecond
	// maxTargetsAge is the age of the targets from which on other hosts may use versions that this one does not know. They learn
	// of a version within versionSkew of each other.
	maxTargetsAge = origins.LearnTime - versionSkew
	versionSkew   = 500 * time.Millisecond
	// maxTickGap is the time without a tick from which on this host was paused, and wakeTime the time in which it learns after that
	// what the others have learned meanwhile.
	maxTickGap = 250 * time.Millisecond
	wakeTime   = 2 * time.Second
	// maxRingAge is the longest time for which the ring of live hosts is kept. Hosts take longer to notice that another one has
	// gone.
	maxRingAge = 250 * time.Millisecond
	// maxRecords bounds the records that are read from one message.
	maxRecords = 4096
)

// Peers are the other entry hosts.
type Peers interface {
	// Live returns the live hosts with which this host exchanges heartbeats: all of its data centre and some of each other one.
	Live() []members.Member
	// ShareOrigins sends m to the host at address.
	ShareOrigins(ctx context.Context, address string, m *peer.OriginRecords) error
	// FetchOrigins asks the host at address for all its records.
	FetchOrigins(ctx context.Context, address string) (*peer.OriginRecords, error)
	// FindOrigin asks the host at address for the version of a stream.
	FindOrigin(ctx context.Context, address string, r *peer.FindOriginRequest) (*peer.FindOriginReply, error)
}

// Options configure a Syncer. All fields but Clock and Log are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	BootClock  clockwork.Clock // also counts the time for which the machine is suspended; nil means Clock
	Log        *log.Logger     // nil means the default logger
	Host       entity.HostID
	DataCentre entity.DataCentre
	Table      *origins.Table
	History    *origins.History
	Catalog    func() *catalog.Catalog // returns the configuration in force, nil before the first one
	Fleet      func() *fleet.Snapshot
	TargetsAge func() time.Duration // returns how long ago Fleet was last known to be current; negative for unknown
	Peers      Peers
	// Store keeps the versions of streams that have begun, for hosts that start after all others were killed; nil means that none are kept.
	Store Store
	// Several reports whether a service has run several versions lately, so that the versions of its streams have to be kept. It may be nil
	// without a Store.
	Several func(service entity.ServiceName) bool
	// Unlisted returns the versions of a service that the register of the store does not list yet; nil means none.
	Unlisted func(service entity.ServiceName) []entity.SoftwareVersion
}

// Stats counts what a Syncer has done since its start.
type Stats struct {
	Recorded int64 // streams of this host of which peers had to be told
	Sent     int64 // records sent to peers
	Unsent   int64 // records that a peer could not be told
	Fetched  int64 // records taken from peers after the start
	Local    int64 // streams taken up whose record was on this host
	Remote   int64 // streams taken up whose record a peer had
	Inferred int64 // streams taken up without a record, at the only version that there was
	Unknown  int64 // streams taken up whose version nobody knew
}

// Syncer sends records and asks for them. It is safe for concurrent use. Make it with New.
type Syncer struct {
	opts  Options
	done  chan struct{}
	wake  chan struct{} // receives a value when there is something to send
	keep  *keeper
	calls sync.WaitGroup // calls under way

	recorded, sent, unsent, fetched, local, remote, inferred, unknown atomic.Int64

	mu       sync.Mutex
	outbox   map[string]*message // by address
	tickedAt time.Time           // last call of Tick, by BootClock
	wokeAt   time.Time           // when this host was last found to have been paused, by BootClock; zero for never
	ring     *ring               // of the live hosts at ringAt; nil before its first use
	ringAt   time.Time
}

// message holds the records for one peer.
type message struct {
	records []*peer.OriginRecord
	told    []*receipt // of the records that this host has made
	passOn  bool       // the peer is in another data centre of a large fleet
	again   bool       // the records could not be told to the peer that ranks before
}

var _ relay.Origins = (*Syncer)(nil)

// New returns a Syncer, which sends nothing before Start.
func New(opts Options) *Syncer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.BootClock == nil {
		opts.BootClock = opts.Clock
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Syncer{opts: opts, done: make(chan struct{}), wake: make(chan struct{}, 1), outbox: map[string]*message{}, keep: newKeeper()}
}

// Start begins to send records, until ctx ends.
func (s *Syncer) Start(ctx context.Context) {
	go s.run(ctx)
}

// Done returns a channel that is closed once the Syncer has ended.
func (s *Syncer) Done() <-chan struct{} { return s.done }

// Stats returns the counts since the start.
func (s *Syncer) Stats() Stats {
	return Stats{
		Recorded: s.recorded.Load(), Sent: s.sent.Load(), Unsent: s.unsent.Load(), Fetched: s.fetched.Load(), Local: s.local.Load(), Remote: s.remote.Load(),
		Inferred: s.inferred.Load(), Unknown: s.unknown.Load(),
	}
}

// Tick observes the versions that targets run at now. Call it several times a second.
func (s *Syncer) Tick(now time.Time) {
	s.noteTick()
	s.observe(now)
	s.keepMine(now)
}

// noteTick notices that this host was paused.
func (s *Syncer) noteTick() {
	now := s.opts.BootClock.Now()

	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > maxTickGap {
		s.wokeAt = now
	}

	s.tickedAt = now
}

// paused reports whether this host was paused lately.
func (s *Syncer) paused() bool {
	now := s.opts.BootClock.Now()

	s.mu.Lock()
	defer s.mu.Unlock()

	return now.Sub(s.tickedAt) > maxTickGap || !s.wokeAt.IsZero() && now.Sub(s.wokeAt) < wakeTime
}

func (s *Syncer) observe(now time.Time) {
	s.opts.History.Observe(now, s.opts.Fleet().Versions(), s.upToDate(), s.streamLife)
}

// streamLife returns how long callers may take up streams of service. A caller may try for longer than its route's timeout, but
// not for longer than records are kept.
func (s *Syncer) streamLife(service entity.ServiceName) time.Duration {
	return max(s.opts.Catalog().StreamLife(service), origins.Lifetime)
}

// receipt says that a host other than this one has a record.
type receipt struct {
	once sync.Once
	done chan struct{}
}

func newReceipt() *receipt { return &receipt{done: make(chan struct{})} }

func (r *receipt) confirm() { r.once.Do(func() { close(r.done) }) }

// upToDate reports whether this host knows of all versions that other hosts know of.
func (s *Syncer) upToDate() bool {
	age := s.opts.TargetsAge()

	return age >= 0 && age < maxTargetsAge && !s.paused()
}

// New implements relay.Origins. It knows the versions of all targets that Fleet has returned before.
func (s *Syncer) New(service entity.ServiceName) []entity.SoftwareVersion {
	now := s.opts.Clock.Now()
	s.observe(now)

	return s.opts.History.New(now, service)
}

// Unlisted implements relay.Origins.
func (s *Syncer) Unlisted(service entity.ServiceName) []entity.SoftwareVersion {
	if s.opts.Unlisted == nil {
		return nil
	}

	return s.opts.Unlisted(service)
}

// UpToDate reports whether this host knows of all versions that other hosts know of.
func (s *Syncer) UpToDate() bool { return s.upToDate() }

// StreamLife returns how long callers may take up streams of service.
func (s *Syncer) StreamLife(service entity.ServiceName) time.Duration { return s.streamLife(service) }

// Record implements relay.Origins.
func (s *Syncer) Record(service entity.ServiceName, began entity.RequestID, version entity.SoftwareVersion) <-chan struct{} {
	now := s.opts.Clock.Now()
	s.observe(now)

	told := newReceipt()

	record := encode(s.opts.Table.Set(now, origins.StreamIDOf(service, began), version))

	if _, sole := s.opts.History.Sole(now, service); sole && s.upToDate() {
		told.confirm()

		return told.done
	}

	s.recorded.Add(1)

	holders := s.currentRing().holders(record.GetStream())
	if len(holders) == 0 {
		told.confirm()
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	for _, h := range holders {
		m := s.add(h, record, false)
		m.told = append(m.told, told)
	}

	return told.done
}

// currentRing returns the ring of the live hosts, as it was at most maxRingAge ago. A ring without hosts is not kept, since a host
// that has just started hears of the first ones at any moment.
func (s *Syncer) currentRing() *ring {
	now := s.opts.Clock.Now()

	s.mu.Lock()
	r, age := s.ring, now.Sub(s.ringAt)
	s.mu.Unlock()

	if r != nil && r.live > 0 && age < maxRingAge {
		return r
	}

	r = newRing(s.opts.Host, s.opts.DataCentre, s.opts.Peers.Live())

	s.mu.Lock()
	defer s.mu.Unlock()

	s.ring, s.ringAt = r, now

	return r
}

// add puts record into the outbox for h, wakes the sender and returns the message. The caller holds mu.
func (s *Syncer) add(h holder, record *peer.OriginRecord, again bool) *message {
	m, ok := s.outbox[h.address]
	if !ok {
		m = &message{}
		s.outbox[h.address] = m
	}

	m.records = append(m.records, record)
	m.passOn = h.passOn
	m.again = m.again || again

	select {
	case s.wake <- struct{}{}:
	default:
	}

	return m
}

// HandleRecords handles the records m of another host.
func (s *Syncer) HandleRecords(m *peer.OriginRecords) {
	now := s.opts.Clock.Now()
	ring := s.currentRing()

	for _, r := range m.GetRecords()[:min(len(m.GetRecords()), maxRecords)] {
		record, ok := decode(r)
		if !ok {
			continue
		}

		s.opts.Table.Merge(now, record)

		if r.GetBegun() {
			s.keep.add(now, record)

			continue
		}

		if !m.GetPassOn() {
			continue
		}

		if h, ok := ring.first(r.GetStream()); ok {
			s.mu.Lock()
			s.add(h, r, false)
			s.mu.Unlock()
		}
	}
}

func (s *Syncer) run(ctx context.Context) {
	defer close(s.done)
	defer s.calls.Wait()

	s.calls.Go(func() { s.catchUp(ctx) })

	if s.opts.Store != nil {
		s.calls.Go(func() { s.runKeeper(ctx) })
	}

	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}

		// Later records go into the same messages.
		interval := max(minSendInterval, time.Duration(s.currentRing().live)*sendIntervalPerPeer)

		select {
		case <-ctx.Done():
			return
		case <-s.opts.Clock.After(interval):
		}

		s.send(ctx)
	}
}

// send starts the calls that send the outbox.
func (s *Syncer) send(ctx context.Context) {
	s.mu.Lock()
	outbox := s.outbox
	s.outbox = make(map[string]*message, len(outbox))
	s.mu.Unlock()

	for address, m := range outbox {
		s.calls.Go(func() {
			ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, sendTimeout)
			defer cancel()

			err := s.opts.Peers.ShareOrigins(ctx, address, &peer.OriginRecords{Records: m.records, PassOn: m.passOn})
			if err == nil {
				s.sent.Add(int64(len(m.records)))

				for _, told := range m.told {
					told.confirm()
				}

				return
			}

			s.unsent.Add(int64(len(m.records)))
			s.opts.Log.Info().Str("peer", address).Int("records", len(m.records)).Err(err).Msg("could not tell a peer the versions of streams")
			s.sendElsewhere(address, m)
		})
	}
}

// sendElsewhere puts the records of m, which the peer at address could not be told, into the outbox for the hosts of this
// data centre that rank next. It does so once.
func (s *Syncer) sendElsewhere(address string, m *message) {
	if m.again {
		return
	}

	live := s.opts.Peers.Live()
	ring := newRing(s.opts.Host, s.opts.DataCentre, without(live, address))

	s.mu.Lock()
	defer s.mu.Unlock()

	for _, record := range m.records {
		if record.GetBegun() {
			s.addBegun(ring, record, true)

			continue
		}

		for _, h := range ring.holders(record.GetStream()) {
			s.add(h, record, true)
		}
	}
}

// without returns list without the member at address.
func without(list []members.Member, address string) []members.Member {
	var rest []members.Member

	for _, m := range list {
		if m.Address != address {
			rest = append(rest, m)
		}
	}

	return rest
}
