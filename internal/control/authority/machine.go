package authority

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
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
	DataCentre table.DataCentre
	Host       table.HostID
	Address    string // ip:port of this host, as in the platform's host list

	Lease              time.Duration // how long a write of the holder counts
	Renew              time.Duration // from one renewal to the next
	Margin             time.Duration // by which the holder stops before its lease ends
	Poll               time.Duration // between two reads of a standby
	Backoff            time.Duration // longest random wait before a takeover
	Retry              time.Duration // after a failed call
	ConnectionLifetime time.Duration // after which bytes of a dead host no longer arrive
}

func (o Options) withDefaults() Options {
	o.Lease = orElse(o.Lease, DefaultLease)
	o.Renew = orElse(o.Renew, DefaultRenew)
	o.Margin = orElse(o.Margin, DefaultMargin)
	o.Poll = orElse(o.Poll, DefaultPoll)
	o.Backoff = orElse(o.Backoff, DefaultBackoff)
	o.Retry = orElse(o.Retry, DefaultRetry)
	o.ConnectionLifetime = orElse(o.ConnectionLifetime, DefaultConnectionLifetime)

	return o
}

func orElse(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}

	return d
}

// Tick is what a Machine is told of its surroundings. The zero value is a host that neither
// stands by nor can acknowledge a loss.
type Tick struct {
	Standby bool                      // may take the lease
	Quiet   bool                      // no order of this host is on its way
	Stop    bool                      // this host is stopping and gives the lease up
	Gone    func(address string) bool // platform's host list says so; nil means none
}

// Get asks for a read of the lease object.
type Get struct{}

// Put asks for a conditional write of the lease object.
type Put struct {
	Expect platform.Version
	Record Record
}

// Action is a Get or a Put; nil means nothing to do. Its result must be handed back by Read or
// Wrote before the Machine gives the next one.
type Action interface{ action() }

func (Get) action() {}
func (Put) action() {}

// Lease is the holder's view of its authority. The zero value holds nothing.
type Lease struct {
	Fence table.Fence
	Until time.Time // by the local monotonic clock
	// Record is the last one seen while holding; it tells which former holders are cleared.
	Record Record
}

// Held reports whether l still gives authority at now.
func (l Lease) Held(now time.Time) bool {
	return now.Before(l.Until)
}

// Machine is the state of one host towards one lease object. It does no I/O, and one goroutine
// owns it.
type Machine struct {
	opts  Options
	rand  *rand.Rand
	nonce string
	start time.Time

	busy     bool // an action is out
	stopping bool // gives no more orders
	known    bool // record and version are those of the last answer
	record   Record
	version  platform.Version
	seen     time.Time // when the holder's last write was first seen
	backoff  time.Duration
	next     time.Time
	attempt  uint64
	sent     map[uint64]time.Time // attempts that may be or become the record
	counted  time.Time            // when the attempt in the record was sent
	goneFrom map[table.Fence]time.Time
}

// NewMachine returns a Machine that has read nothing yet.
func NewMachine(opts Options, now time.Time, r *rand.Rand) *Machine {
	return &Machine{
		opts:     opts.withDefaults(),
		rand:     r,
		nonce:    strconv.FormatUint(r.Uint64(), 36),
		start:    now,
		sent:     map[uint64]time.Time{},
		goneFrom: map[table.Fence]time.Time{},
	}
}

// Lease returns the authority that this host has; the zero Lease if it has none. The caller must
// still test Held.
func (m *Machine) Lease() Lease {
	if m.stopping || !m.mine() || m.counted.IsZero() {
		return Lease{}
	}

	return Lease{
		Fence:  m.record.Fence,
		Until:  m.counted.Add(m.opts.Lease - m.opts.Margin),
		Record: m.record,
	}
}

// Record returns the last record read or written; the zero Record before the first answer.
func (m *Machine) Record() Record {
	return m.record
}

func (m *Machine) mine() bool {
	return m.record.Holder == m.opts.Host && m.record.Nonce == m.nonce
}

// Tick returns the next action, or nil.
func (m *Machine) Tick(now time.Time, t Tick) Action {
	if m.busy || now.Before(m.next) {
		return nil
	}

	a := m.decide(now, t)
	m.busy = a != nil

	return a
}

func (m *Machine) decide(now time.Time, t Tick) Action {
	if !m.known {
		if !t.Standby && m.version != 0 && !m.concerned() {
			return nil
		}

		return Get{}
	}

	if m.mine() {
		return m.hold(now, t)
	}

	if m.owes() && m.canAcknowledge(now, t) {
		return Put{Expect: m.version, Record: m.record.WithoutFormer(m.ours)}
	}

	if !t.Standby || t.Stop {
		m.poll(now)

		return nil
	}

	if m.free(now) {
		return m.take(now)
	}

	m.poll(now)

	return nil
}

// poll plans the next read.
func (m *Machine) poll(now time.Time) {
	m.known = false
	m.next = now.Add(m.opts.Poll)

	// The lease may fall free before the next poll; then no read is needed, because the
	// conditional write fails if the holder has renewed.
	if end := m.freeAt(); m.record.Holder != "" && end.Before(m.next) && end.After(now) {
		m.known = true
		m.next = end
	}
}

func (m *Machine) hold(now time.Time, t Tick) Action {
	// Quiet of this tick was read while the lease still gave authority; only that of a later one
	// shows that no order follows.
	if t.Stop && !m.stopping {
		m.stopping = true

		return nil
	}

	if m.stopping && t.Quiet {
		r := m.record
		r.Holder, r.Address = "", ""

		return m.write(now, r)
	}

	r := m.record.WithoutFormer(func(f Former) bool { return m.cleared(now, t, f) })

	if len(r.Former) == len(m.record.Former) && now.Before(m.counted.Add(m.opts.Renew)) {
		return nil
	}

	return m.write(now, r)
}

func (m *Machine) freeAt() time.Time {
	return m.seen.Add(m.opts.Lease + m.backoff)
}

func (m *Machine) free(now time.Time) bool {
	return m.record.Holder == "" || !now.Before(m.freeAt())
}

func (m *Machine) take(now time.Time) Action {
	r := m.record

	if r.Holder != "" {
		r.Former = append(r.Former[:len(r.Former):len(r.Former)], Former{Fence: r.Fence, Host: r.Holder, Address: r.Address})
	}

	r.Fence++
	r.Holder, r.Address, r.Nonce = m.opts.Host, m.opts.Address, m.nonce

	return m.write(now, r)
}

func (m *Machine) write(now time.Time, r Record) Action {
	m.attempt++
	r.Attempt = m.attempt
	m.sent[m.attempt] = now

	// A write that lands later than its own lease gives nothing.
	for attempt, at := range m.sent {
		if now.Sub(at) > m.opts.Lease {
			delete(m.sent, attempt)
		}
	}

	return Put{Expect: m.version, Record: r}
}

// Read hands back the result of a Get.
func (m *Machine) Read(now time.Time, r Record, v platform.Version, err error) {
	m.busy = false

	if err != nil {
		m.known = false
		m.next = now.Add(m.opts.Retry)

		return
	}

	m.accept(now, r, v)
	m.next = now
}

// Wrote hands back the result of a Put.
func (m *Machine) Wrote(now time.Time, p Put, v platform.Version, err error) {
	m.busy = false

	if err == nil {
		m.accept(now, p.Record, v)

		return
	}

	// Whatever went wrong, the object says who holds the lease, by nonce and attempt.
	m.known = false
	m.next = now

	if p.Record.Nonce == m.nonce && !errors.Is(err, platform.ErrUnknown) {
		delete(m.sent, p.Record.Attempt)
	}

	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
		m.next = now.Add(m.opts.Retry)
	}
}

func (m *Machine) accept(now time.Time, r Record, v platform.Version) {
	renewed := r.Fence != m.record.Fence || r.Nonce != m.record.Nonce || r.Attempt != m.record.Attempt
	if renewed || m.seen.IsZero() {
		m.seen = now
		m.backoff = time.Duration(m.rand.Int64N(int64(m.opts.Backoff)))
	}

	m.known, m.record, m.version = true, r, v

	if !m.mine() {
		m.counted = time.Time{}

		return
	}

	m.counted = m.sent[r.Attempt]

	for attempt := range m.sent {
		if attempt < r.Attempt {
			delete(m.sent, attempt)
		}
	}
}
