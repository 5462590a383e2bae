// Package crashsync keeps the records of requests that crash their targets equal on all entry hosts.
//
// A host that changes a record sends it at once to its heartbeat partners: all hosts of its data centre and two of each
// other one. A host that learns of a change from another data centre passes it on to the hosts of its own. A
// change thus takes two messages to reach any host; each host sends changes at intervals that grow with the number of
// its partners, so two such intervals bound the delay while many targets are lost.
//
// Messages may be lost and hosts may start without any records, so each heartbeat has a checksum of the sender's
// records. If it differs from the receiver's own, the receiver exchanges all records with the sender. A partner that could not
// be told of a change is tried again in the same way while it counts as live.
package crashsync

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// minSendInterval and sendIntervalPerPartner bound the messages that this host starts to about 80 a second.
	minSendInterval        = 100 * time.Millisecond
	sendIntervalPerPartner = 12 * time.Millisecond

	// settleTime is how long the records of this host must be unchanged before a different checksum of a peer
	// counts as a sign that one of the two misses a record, and not that a message is on its way. If the records keep changing, it
	// counts once no exchange has taken place for maxExchangeDelay.
	settleTime       = time.Second
	maxExchangeDelay = 2 * time.Second

	// minExchangeInterval is the time between two exchanges of all records. It doubles up to maxExchangeInterval while
	// exchanges leave the checksums different, as when hosts hold more records than fit.
	minExchangeInterval = 250 * time.Millisecond
	maxExchangeInterval = 8 * time.Second
)

// Peers are the other entry hosts.
type Peers interface {
	// HeartbeatPartners returns the live hosts that this host tells of changes.
	HeartbeatPartners() []members.Member
	// ShareCrashes sends m to the host at address. After a failure it tries once more on a new connection.
	ShareCrashes(ctx context.Context, address string, m *peer.CrashRecords) (*peer.CrashRecords, error)
}

// Options configure a Syncer. DataCentre, Table and Peers are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	DataCentre entity.DataCentre
	Table      *crashtracker.Table
	Peers      Peers
}

// Syncer exchanges records with the other hosts. It is safe for concurrent use. Make it with New.
type Syncer struct {
	opts  Options
	done  chan struct{}
	calls sync.WaitGroup // calls under way
	wake  chan struct{}  // receives a value when there is a new peer to exchange all records with

	mu           sync.Mutex
	differing    string          // address of a peer whose checksum differed; "" means none
	untold       map[string]bool // addresses of peers that could not be told of a change
	nextExchange time.Time
	interval     time.Duration // between two exchanges of all records
}

// New returns a Syncer, which sends nothing before Start.
func New(opts Options) *Syncer {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Syncer{
		opts: opts, done: make(chan struct{}), wake: make(chan struct{}, 1), untold: map[string]bool{}, interval: minExchangeInterval,
	}
}

// Start begins to send changes, until ctx ends.
func (s *Syncer) Start(ctx context.Context) {
	go s.run(ctx)
}

// Done returns a channel that is closed once the Syncer has ended.
func (s *Syncer) Done() <-chan struct{} { return s.done }

// OnHeartbeat handles the checksum that the peer at address reports in a heartbeat.
func (s *Syncer) OnHeartbeat(address string, sum uint64) {
	if sum == s.opts.Table.Sum() {
		return
	}

	now := s.opts.Clock.Now()

	s.mu.Lock()
	defer s.mu.Unlock()

	settled := now.Sub(s.opts.Table.LastChange()) >= settleTime
	if s.differing == "" && (settled || now.Sub(s.nextExchange) >= maxExchangeDelay) {
		s.differing = address
		s.signal()
	}
}

// signal wakes the loop of run.
func (s *Syncer) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Handle handles the records m of another host and returns the reply.
func (s *Syncer) Handle(m *peer.CrashRecords) *peer.CrashRecords {
	records := decode(m.GetRecords())
	reply := &peer.CrashRecords{DataCentre: string(s.opts.DataCentre)}

	if m.GetWhole() {
		for _, r := range s.opts.Table.Missing(s.opts.Clock.Now(), records) {
			reply.Records = append(reply.Records, encode(r))
		}
	}

	s.merge(m, records)
	reply.Sum = s.opts.Table.Sum()

	return reply
}

func (s *Syncer) run(ctx context.Context) {
	defer close(s.done)
	defer s.calls.Wait()

	var (
		changed  bool // the table has changes that were not sent yet
		nextSend time.Time
	)

	for {
		now := s.opts.Clock.Now()

		if changed && !now.Before(nextSend) {
			partners := s.opts.Peers.HeartbeatPartners()
			s.sendChanges(ctx, partners)

			changed = false
			nextSend = now.Add(max(minSendInterval, time.Duration(len(partners))*sendIntervalPerPartner))
		}

		next := s.exchangeIfDue(ctx, now)
		if changed {
			next = earliest(next, nextSend)
		}

		stop := s.wakeAt(now, next)

		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-s.opts.Table.Changed():
			changed = true
		}

		stop()

		if ctx.Err() != nil {
			return
		}
	}
}

// wakeAt wakes the loop of run at next, or not at all if next is zero, unless the returned function is called before.
func (s *Syncer) wakeAt(now, next time.Time) (stop func()) {
	if next.IsZero() {
		return func() {}
	}

	timer := s.opts.Clock.AfterFunc(next.Sub(now), s.signal)

	return func() { timer.Stop() }
}

// earliest returns the earlier one of a, if it is not zero, and b.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}

	return a
}

// sendChanges starts the calls that tell partners of changed records.
func (s *Syncer) sendChanges(ctx context.Context, partners []members.Member) {
	var all, remote []*peer.CrashRecord

	for _, c := range s.opts.Table.TakeChanges(s.opts.Clock.Now()) {
		encoded := encode(c.Record)
		all = append(all, encoded)

		if c.Everywhere {
			remote = append(remote, encoded)
		}
	}

	for _, p := range partners {
		records := remote
		if p.DataCentre == s.opts.DataCentre {
			records = all
		}

		if len(records) == 0 {
			continue
		}

		s.calls.Go(func() {
			if _, err := s.call(ctx, p.Address, &peer.CrashRecords{Records: records}); err != nil && ctx.Err() == nil {
				s.opts.Log.Info().Str("peer", p.Address).Int("records", len(records)).Err(err).Msg("could not tell a peer of lost targets")
				s.recordUntold(p.Address)
			}
		})
	}
}

// recordUntold records that the peer at address could not be told of a change.
func (s *Syncer) recordUntold(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.untold[address] = true
	s.signal()
}

// exchangeIfDue starts the exchanges of all records that are needed, unless the last ones were too recent. It returns when
// it has to be called again, zero if no peer needs an exchange.
func (s *Syncer) exchangeIfDue(ctx context.Context, now time.Time) time.Time {
	s.mu.Lock()
	needed, due := s.differing != "" || len(s.untold) > 0, s.nextExchange
	s.mu.Unlock()

	switch {
	case !needed:
		return time.Time{}
	case now.Before(due):
		return due
	}

	s.exchangeAll(ctx, now)

	return time.Time{}
}

// exchangeAll starts an exchange of all records with the peer whose checksum differed and with those that could not be
// told of a change and still count as live.
func (s *Syncer) exchangeAll(ctx context.Context, now time.Time) {
	live := map[string]bool{}
	for _, p := range s.opts.Peers.HeartbeatPartners() {
		live[p.Address] = true
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	addresses := map[string]bool{}
	if s.differing != "" {
		addresses[s.differing] = true
	}

	for address := range s.untold {
		if live[address] {
			addresses[address] = true
		}
	}

	s.differing = ""
	clear(s.untold)
	s.nextExchange = now.Add(s.interval)

	for address := range addresses {
		s.calls.Go(func() {
			if err := s.exchange(ctx, address); err != nil && ctx.Err() == nil {
				s.opts.Log.Info().Str("peer", address).Err(err).Msg("could not exchange records of lost targets")
				s.recordUntold(address)
			}
		})
	}
}

// exchange sends all records to the peer at address and adds those that this host lacks.
func (s *Syncer) exchange(ctx context.Context, address string) error {
	m := &peer.CrashRecords{Whole: true}
	for _, r := range s.opts.Table.Records(s.opts.Clock.Now()) {
		m.Records = append(m.Records, encode(r))
	}

	reply, err := s.call(ctx, address, m)
	if err != nil {
		return err
	}

	s.merge(reply, decode(reply.GetRecords()))
	equal := reply.GetSum() == s.opts.Table.Sum()
	s.opts.Log.Debug().Str("peer", address).Int("sent", len(m.GetRecords())).Int("received", len(reply.GetRecords())).
		Bool("equal", equal).Msg("records of lost targets exchanged")

	s.mu.Lock()
	defer s.mu.Unlock()

	if equal {
		s.interval = minExchangeInterval
	} else {
		s.interval = min(2*s.interval, maxExchangeInterval)
	}

	return nil
}

// call sends m to the peer at address.
func (s *Syncer) call(ctx context.Context, address string, m *peer.CrashRecords) (*peer.CrashRecords, error) {
	m.DataCentre, m.Sum = string(s.opts.DataCentre), s.opts.Table.Sum()

	return s.opts.Peers.ShareCrashes(ctx, address, m)
}

// merge adds the records in m, which are decoded already, and logs which requests are refused since.
func (s *Syncer) merge(m *peer.CrashRecords, records []crashtracker.Record) {
	sameCentre := m.GetDataCentre() == string(s.opts.DataCentre)

	for _, r := range s.opts.Table.Merge(s.opts.Clock.Now(), records, sameCentre) {
		s.opts.Log.Info().Str("fingerprint", r.Request.String()).Bool("part", r.Part).Interface("targets", r.Targets).
			Str("data-centre", m.GetDataCentre()).Msg("a peer reports that a request crashes its targets")
	}
}
