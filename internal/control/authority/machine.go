package authority

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Defaults of Options.
const (
	DefaultLease              = 9 * time.Second
	DefaultRenew              = 3 * time.Second
	DefaultMargin             = time.Second
	DefaultPoll               = 2 * time.Second
	DefaultBackoff            = 400 * time.Millisecond
	DefaultRetry              = time.Second
	DefaultConnectionLifetime = 2 * time.Minute
)

// Options tune a Machine. Zero durations mean the defaults.
type Options struct {
	DataCentre entity.DataCentre
	Host       entity.HostID
	Address    string // ip:port of this host, as in the platform's host list

	Lease              time.Duration // how long the lease is valid after a write of the holder
	Renew              time.Duration // time between two renewals
	Margin             time.Duration // how long before the end of its lease the holder stops sending orders
	Poll               time.Duration // time between two reads by a standby
	Backoff            time.Duration // longest random wait before a takeover
	Retry              time.Duration // wait after a failed call
	ConnectionLifetime time.Duration // time after which nothing that a dead host sent can still arrive

	FirstStart bool // no host has held the lease before this process started, so a missing record is no lost one
}

func (o Options) withDefaults() Options {
	o.Lease = valueOr(o.Lease, DefaultLease)
	o.Renew = valueOr(o.Renew, DefaultRenew)
	o.Margin = valueOr(o.Margin, DefaultMargin)
	o.Poll = valueOr(o.Poll, DefaultPoll)
	o.Backoff = valueOr(o.Backoff, DefaultBackoff)
	o.Retry = valueOr(o.Retry, DefaultRetry)
	o.ConnectionLifetime = valueOr(o.ConnectionLifetime, DefaultConnectionLifetime)

	return o
}

// valueOr returns d, or other if d is zero.
func valueOr(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}

	return d
}

// Tick is the input of Machine.Tick: the state of the host at that time. The zero value is a host that
// neither takes the lease nor can acknowledge its loss.
type Tick struct {
	Standby          bool                      // this host may take the lease
	NoOrdersInFlight bool                      // no order of this host is on its way
	Stopping         bool                      // this host is stopping and releases the lease
	HostGone         func(address string) bool // whether the platform's host list shows a host as gone; nil means none is
}

// Get is the action to read the lease object.
type Get struct{}

// Put is the action to write the lease object conditionally, if its version is Expect.
type Put struct {
	Expect platform.Version
	Record Record
}

// Action is a Get or a Put; nil means nothing to do. The caller must perform it and pass its result to
// HandleGet or HandlePut before the Machine returns the next one.
type Action interface{ action() }

func (Get) action() {}
func (Put) action() {}

// Lease is the holder's view of the lease. The zero value is a lease that is not held.
type Lease struct {
	Fence entity.Fence
	First bool      // no other host has held the lease before
	Until time.Time // when this host must stop sending orders, by the local monotonic clock
	// Record is the last record that this host read or wrote as the holder. It shows which former holders are
	// cleared.
	Record Record
}

// Held reports whether l is still held at now, so that orders may be sent under it.
func (l Lease) Held(now time.Time) bool {
	return now.Before(l.Until)
}

// Machine is the state machine by which one host takes, renews and releases one lease. It does no I/O
// and is not safe for concurrent use.
type Machine struct {
	opts      Options
	rand      *rand.Rand
	nonce     string
	startedAt time.Time

	inFlight      bool // the result of an action is awaited
	stopping      bool // this host sends no more orders and releases the lease
	upToDate      bool // the next decision needs no new read of the record
	record        Record
	version       platform.Version
	renewalSeenAt time.Time                  // when this host first saw the holder's last write
	backoff       time.Duration              // random wait after the lease has ended, before a takeover
	nextAction    time.Time                  // earliest time of the next action
	attempt       uint64                     // number of the last write
	sent          map[uint64]time.Time       // send times, by attempt, of the writes that are or may become the record
	renewalSentAt time.Time                  // when the write in the record was sent; zero if unknown or not the holder
	unclaimed     bool                       // no host has taken the lease yet
	first         bool                       // this host was the first to take the lease, at its last takeover
	heldUntil     time.Time                  // end of the last lease that this host is known to have held; zero if another one has followed
	goneSince     map[entity.Fence]time.Time // since when the host list shows the hosts of former holders as gone
}

// NewMachine returns a Machine that has not read the lease object yet.
func NewMachine(opts Options, now time.Time, r *rand.Rand) *Machine {
	return &Machine{
		opts:      opts.withDefaults(),
		rand:      r,
		nonce:     strconv.FormatUint(r.Uint64(), 36),
		startedAt: now,
		sent:      map[uint64]time.Time{},
		goneSince: map[entity.Fence]time.Time{},
	}
}

// Lease returns the lease that this host holds. It returns the zero Lease if the host holds none, is about to
// release it, or can't tell when the write in the record was sent. The caller must still check Held, since the
// lease may have ended.
func (m *Machine) Lease() Lease {
	if m.stopping || !m.isHolder() || m.renewalSentAt.IsZero() {
		return Lease{}
	}

	return Lease{
		Fence:  m.record.Fence,
		First:  m.first,
		Until:  m.renewalSentAt.Add(m.opts.Lease - m.opts.Margin),
		Record: m.record,
	}
}

// Record returns the last record read or written, or the zero Record before the first answer.
func (m *Machine) Record() Record {
	return m.record
}

// isNamed reports whether the record names this process as the holder.
func (m *Machine) isNamed() bool {
	return m.record.Holder == m.opts.Host && m.record.Nonce == m.nonce
}

// isHolder reports whether this process holds the lease by the record.
func (m *Machine) isHolder() bool {
	return m.isNamed() && !m.isRestored()
}

// isRestored reports whether the store has come back from an older copy since the lease was last taken by the record. The store may
// have lost later records, so the record does not say who holds the lease.
func (m *Machine) isRestored() bool {
	return m.record.Fence.Era() < m.version.Era() && !m.unclaimed
}

// Tick returns the next action, or nil if there is none at now or the result of the last one is awaited.
func (m *Machine) Tick(now time.Time, t Tick) Action {
	if m.inFlight || now.Before(m.nextAction) {
		return nil
	}

	a := m.decide(now, t)
	m.inFlight = a != nil

	return a
}

func (m *Machine) decide(now time.Time, t Tick) Action {
	if !m.upToDate {
		if !t.Standby && m.version.Revision() != 0 && !m.mustKeepReading() {
			return nil
		}

		return Get{}
	}

	if m.isHolder() {
		return m.renewOrRelease(now, t)
	}

	if m.mustAcknowledge() && m.canAcknowledge(now, t) {
		return Put{Expect: m.version, Record: m.record.WithoutFormer(m.isOwn)}
	}

	if !t.Standby || t.Stopping {
		m.scheduleRead(now)

		return nil
	}

	if m.isFree(now) || m.isRestored() && now.Before(m.heldUntil) {
		return m.takeOver(now)
	}

	m.scheduleRead(now)

	return nil
}

// scheduleRead sets the time of the next read, or that of a takeover if the lease ends earlier.
func (m *Machine) scheduleRead(now time.Time) {
	m.upToDate = false
	m.nextAction = now.Add(m.opts.Poll)

	// If the lease ends before the next poll, take it over without another read: the conditional write
	// fails if the holder has renewed it.
	waits := m.record.Holder != "" || m.isRestored()
	if end := m.freeAt(); waits && end.Before(m.nextAction) && end.After(now) {
		m.upToDate = true
		m.nextAction = end
	}
}

// renewOrRelease returns the holder's next action: it releases the lease when the host stops, renews it when
// due, and removes former holders that can be cleared.
func (m *Machine) renewOrRelease(now time.Time, t Tick) Action {
	// This tick's input was determined while the lease still allowed orders. Only the input of a later
	// tick can show that no order is on its way and none will follow.
	if t.Stopping && !m.stopping {
		m.stopping = true

		return nil
	}

	if m.stopping && t.NoOrdersInFlight {
		r := m.record
		r.Holder, r.Address = "", ""

		return m.write(now, r)
	}

	r := m.record.WithoutFormer(func(f FormerHolder) bool { return m.canClear(now, t, f) })

	if len(r.Former) == len(m.record.Former) && now.Before(m.renewalSentAt.Add(m.opts.Renew)) {
		return nil
	}

	return m.write(now, r)
}

// freeAt returns when this host may take over the lease if it sees no renewal until then.
func (m *Machine) freeAt() time.Time {
	return m.renewalSeenAt.Add(m.opts.Lease + m.backoff)
}

// isFree reports whether no host can hold the lease at now. The record of a store that has come back from an older copy may show a lease as
// free that was taken since.
func (m *Machine) isFree(now time.Time) bool {
	return m.record.Holder == "" && !m.isRestored() || !now.Before(m.freeAt())
}

// takeOver returns the write that makes this host the holder, under the next fencing number. A holder that did
// not release the lease becomes a former holder, unless it is this process.
func (m *Machine) takeOver(now time.Time) Action {
	r := m.record
	m.first = m.version.Revision() == 0 && !m.isRestored()

	if r.Holder != "" && !m.isNamed() {
		r.Former = append(r.Former[:len(r.Former):len(r.Former)], FormerHolder{Fence: r.Fence, Host: r.Holder, Address: r.Address})
	}

	r.Fence = entity.NextFence(r.Fence, m.version.Era())
	r.Holder, r.Address, r.Nonce = m.opts.Host, m.opts.Address, m.nonce

	return m.write(now, r)
}

// write returns the write of r as this host's next attempt.
func (m *Machine) write(now time.Time, r Record) Action {
	m.attempt++
	r.Attempt = m.attempt
	m.sent[m.attempt] = now

	// A write that takes effect after its own lease has ended gives this host no authority.
	for attempt, at := range m.sent {
		if now.Sub(at) > m.opts.Lease {
			delete(m.sent, attempt)
		}
	}

	return Put{Expect: m.version, Record: r}
}

// HandleGet handles the result of a Get.
func (m *Machine) HandleGet(now time.Time, r Record, v platform.Version, err error) {
	m.inFlight = false

	if err != nil {
		m.upToDate = false
		m.nextAction = now.Add(m.opts.Retry)

		return
	}

	m.accept(now, r, v)
	m.nextAction = now
}

// HandlePut handles the result of the Put p.
func (m *Machine) HandlePut(now time.Time, p Put, v platform.Version, err error) {
	m.inFlight = false

	if err == nil {
		m.accept(now, p.Record, v)

		return
	}

	// Whatever the error was, a read of the object shows by nonce and attempt who holds the lease.
	m.upToDate = false
	m.nextAction = now

	if p.Record.Nonce == m.nonce && !errors.Is(err, platform.ErrUnknown) {
		delete(m.sent, p.Record.Attempt)
	}

	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
		m.nextAction = now.Add(m.opts.Retry)
	}
}

// accept adopts r, at version v, as the present record.
func (m *Machine) accept(now time.Time, r Record, v platform.Version) {
	renewed := r.Fence != m.record.Fence || r.Nonce != m.record.Nonce || r.Attempt != m.record.Attempt

	// A holder may have renewed the lease right before the store lost the renewal.
	restored := v.Era() != m.version.Era()

	m.unclaimed = v.Revision() == 0 && (m.unclaimed && !restored || m.renewalSeenAt.IsZero() && m.opts.FirstStart)

	if renewed || restored || m.renewalSeenAt.IsZero() {
		m.renewalSeenAt = now
		m.backoff = time.Duration(m.rand.Int64N(int64(m.opts.Backoff)))
	}

	m.upToDate, m.record, m.version = true, r, v

	if !m.isHolder() {
		m.renewalSentAt = time.Time{}

		if !m.isRestored() {
			m.heldUntil = time.Time{}
		}

		return
	}

	m.renewalSentAt = m.sent[r.Attempt]

	if !m.renewalSentAt.IsZero() {
		m.heldUntil = m.renewalSentAt.Add(m.opts.Lease - m.opts.Margin)
	}

	for attempt := range m.sent {
		if attempt < r.Attempt {
			delete(m.sent, attempt)
		}
	}
}
