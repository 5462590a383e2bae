package usage

import (
	"maps"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// tellInterval is the least time between two messages with counts to one peer. What a host has not told is lost if it dies.
	tellInterval = 400 * time.Millisecond
	// windowsAhead allows for the clocks of other hosts that differ.
	windowsAhead = 2
	// maxHosts, maxAccounts and maxNameBytes bound what is taken from other hosts: several times a fleet of 330 hosts with 5,600
	// accounts.
	maxHosts     = 1024
	maxAccounts  = 1 << 15
	maxNameBytes = 256
	// maxPeers bounds the peers whose confirmations are kept, the most recent ones.
	maxPeers = 1024
)

// Counts are numbers of requests by account.
type Counts map[entity.AccountID]uint64

// Record has the counts of one host in one window.
type Record struct {
	Host   entity.HostID
	Window duties.Window
	Counts Counts
}

// Peer is a host that has told its counts.
type Peer struct {
	Host       entity.HostID
	DataCentre entity.DataCentre
}

// TableOptions configure a Table. All fields are required, except those whose comment says what nil means.
type TableOptions struct {
	Host       entity.HostID
	DataCentre entity.DataCentre
	Window     time.Duration // length of a window
	Keep       time.Duration // time after the end of a window for which its counts are kept
	Collects   func() bool   // whether this host collects the counts of all hosts; nil means never
}

// Table has the counts of this host and those that other hosts have told. It is safe for concurrent use.
type Table struct {
	opts TableOptions

	mu       sync.Mutex
	position uint64 // number of changes so far
	oldest   duties.Window
	newest   duties.Window
	records  map[duties.Window]map[entity.HostID]*record
	peers    *lru.Cache[entity.HostID, *peerState]
	counted  uint64 // requests that this host has counted
}

// record has the counts of one host in one window.
type record struct {
	direct bool // told by the host itself, in another data centre: this host passes it on
	newest uint64
	counts map[entity.AccountID]count
}

type count struct {
	requests uint64
	changed  uint64 // position of the change
}

// peerState is what is known of the exchange with a peer.
type peerState struct {
	collects  bool
	local     bool      // in the data centre of this host
	told      uint64    // position up to which the peer was told last
	toldAt    time.Time // when; zero for never
	confirmed uint64    // position up to which the peer has confirmed
	received  uint64    // position of the peer up to which this host has its counts
}

// NewTable returns a Table without counts.
func NewTable(opts TableOptions) *Table {
	if opts.Collects == nil {
		opts.Collects = func() bool { return false }
	}

	peers, err := lru.New[entity.HostID, *peerState](maxPeers)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Table{opts: opts, records: map[duties.Window]map[entity.HostID]*record{}, peers: peers}
}

// Count counts a request of account that began to run at now, by a Clock.
func (t *Table) Count(now time.Time, account entity.AccountID) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.advance(now)

	w := WindowAt(now, t.opts.Window)
	r := t.record(w, t.opts.Host)
	t.set(r, account, r.counts[account].requests+1)
	t.counted++
}

// Counted returns the number of requests that this host has counted since its start.
func (t *Table) Counted() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.counted
}

// advance drops the windows that are not kept any more.
func (t *Table) advance(now time.Time) {
	t.newest = WindowAt(now, t.opts.Window)
	t.oldest = WindowAt(now.Add(-t.opts.Keep), t.opts.Window) - 1

	for w := range t.records {
		if w < t.oldest {
			delete(t.records, w)
		}
	}
}

// record returns the record of host in w, which it adds if there is none.
func (t *Table) record(w duties.Window, host entity.HostID) *record {
	hosts, ok := t.records[w]
	if !ok {
		hosts = map[entity.HostID]*record{}
		t.records[w] = hosts
	}

	r, ok := hosts[host]
	if !ok {
		r = &record{counts: map[entity.AccountID]count{}}
		hosts[host] = r
	}

	return r
}

func (t *Table) set(r *record, account entity.AccountID, requests uint64) {
	t.position++
	r.counts[account] = count{requests, t.position}
	r.newest = t.position
}

// Sum returns the counts of all hosts in w together, and the number of hosts that have any.
func (t *Table) Sum(w duties.Window) (sum Counts, hosts int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	sum = Counts{}

	for _, r := range t.records[w] {
		for account, c := range r.counts {
			sum[account] += c.requests
		}
	}

	return sum, len(t.records[w])
}

// Message is what two hosts tell each other.
type Message struct {
	Records   []Record // cumulative counts that have changed
	Position  uint64   // position of the sender after Records; zero if it tells nothing
	Confirmed uint64   // last position that the sender has from the receiver
	Collects  bool     // the sender collects the counts of all hosts
}

// Message returns what to tell the host to at now.
func (t *Table) Message(now time.Time, to entity.HostID) Message {
	collects := t.opts.Collects()

	t.mu.Lock()
	defer t.mu.Unlock()

	t.advance(now)

	state := t.peer(to)
	m := Message{Confirmed: state.received, Collects: collects}

	if !state.hears() || !state.toldAt.IsZero() && now.Sub(state.toldAt) < tellInterval {
		return m
	}

	m.Records = t.unconfirmed(state)
	if len(m.Records) > 0 {
		m.Position = t.position
		state.told, state.toldAt = t.position, now
	}

	return m
}

// hears reports whether the peer is told counts: those of this host if it is in another data centre, and if it collects in this one
// also those that this host passes on.
func (p *peerState) hears() bool { return p.collects || !p.local }

// unconfirmed returns the counts for a peer that it has not confirmed.
func (t *Table) unconfirmed(p *peerState) []Record {
	var list []Record

	for w, hosts := range t.records {
		for host, r := range hosts {
			heard := host == t.opts.Host || r.direct && p.local
			if !heard || r.newest <= p.confirmed {
				continue
			}

			changed := Counts{}

			for account, c := range r.counts {
				if c.changed > p.confirmed {
					changed[account] = c.requests
				}
			}

			list = append(list, Record{Host: host, Window: w, Counts: changed})
		}
	}

	return list
}

// Merge adds what the peer p tells at now.
func (t *Table) Merge(now time.Time, p Peer, m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.advance(now)

	state := t.peer(p.Host)
	state.collects, state.local = m.Collects, p.DataCentre == t.opts.DataCentre

	if m.Confirmed <= state.told {
		state.confirmed = max(state.confirmed, m.Confirmed)
	}

	for _, r := range m.Records {
		t.merge(p, r)
	}

	state.received = max(state.received, m.Position)
}

func (t *Table) merge(from Peer, told Record) {
	if told.Host == t.opts.Host || told.Host == "" || len(told.Host) > maxNameBytes || told.Window < t.oldest || told.Window > t.newest+windowsAhead {
		return
	}

	if t.records[told.Window][told.Host] == nil && len(t.records[told.Window]) >= maxHosts {
		return
	}

	r := t.record(told.Window, told.Host)
	r.direct = r.direct || told.Host == from.Host && from.DataCentre != t.opts.DataCentre

	for account, n := range told.Counts {
		old, ok := r.counts[account]
		if n <= old.requests || !ok && (len(r.counts) >= maxAccounts || len(account) > maxNameBytes) {
			continue
		}

		t.set(r, account, n)
	}
}

// Overdue returns the peers that have not confirmed counts of windows that have ended, for a heartbeat that is not a regular one.
func (t *Table) Overdue(now time.Time) []entity.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.advance(now)

	var newest, newestPassedOn uint64 // changes in ended windows

	for w, hosts := range t.records {
		if w >= t.newest {
			continue
		}

		for host, r := range hosts {
			if host == t.opts.Host {
				newest = max(newest, r.newest)
			} else if r.direct {
				newestPassedOn = max(newestPassedOn, r.newest)
			}
		}
	}

	var list []entity.HostID

	for _, host := range t.peers.Keys() {
		p, _ := t.peers.Peek(host)

		due := newest
		if p.local {
			due = max(due, newestPassedOn)
		}

		if p.hears() && p.confirmed < due && now.Sub(p.toldAt) >= tellInterval {
			list = append(list, host)
		}
	}

	return list
}

func (t *Table) peer(host entity.HostID) *peerState {
	p, ok := t.peers.Get(host)
	if !ok {
		p = &peerState{local: true}
		t.peers.Add(host, p)
	}

	return p
}

// Total returns the sum of c over all accounts.
func (c Counts) Total() uint64 {
	var n uint64
	for v := range maps.Values(c) {
		n += v
	}

	return n
}
