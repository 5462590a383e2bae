package peers

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	beatBound  = 700 * time.Millisecond
	roundEvery = 250 * time.Millisecond
	// roundsPerPeriod keeps a short period from being missed by a whole round.
	roundsPerPeriod = 4
	seedInterval    = 5 * time.Second
	overdue         = 150 // percent of a period after which a host does not wait for a peer's heartbeat
	introduced      = 3   // addresses told with each heartbeat
	rumourLife      = time.Minute
	maxRumours      = 1024
)

// Local is what the other parts of this host say and hear by heartbeat.
type Local interface {
	// Fill completes the digest of this host for the host to, which is empty when not known yet.
	Fill(to table.HostID, d *peer.Digest)
	// Hear takes the digest of another host.
	Hear(d *peer.Digest)
}

// Options are the parts of a Network. Host, DataCentre, Address and Local are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	Host       table.HostID
	DataCentre table.DataCentre
	Address    string   // ip:port of the own peer API
	Seeds      []string // ip:port of peers known from the start
	Local      Local
	Period     time.Duration // least time between two heartbeats to a member; zero means 1 s
}

// Network exchanges heartbeats with the other hosts. It is safe for concurrent use.
type Network struct {
	opts  Options
	links peer.Links
	done  chan struct{}
	// urgent wakes the loop before its next round.
	urgent chan struct{}

	mu       sync.Mutex
	members  *members.Table
	sequence uint64
	rumours  map[string]time.Time // addresses told by peers, until when they are tried
	due      map[string]time.Time // next heartbeat by address
	busy     map[string]bool      // heartbeat under way
}

// New returns a Network that knows no other host yet.
func New(opts Options) *Network {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Network{
		opts: opts, done: make(chan struct{}), urgent: make(chan struct{}, 1),
		members: members.NewPaced(opts.Host, opts.DataCentre, opts.Period),
		due:     map[string]time.Time{}, busy: map[string]bool{}, rumours: map[string]time.Time{},
	}
}

// Start begins to exchange heartbeats, until ctx ends.
func (n *Network) Start(ctx context.Context) {
	go n.run(ctx)
}

// Done is closed once heartbeats have ended and the connections are closed.
func (n *Network) Done() <-chan struct{} {
	return n.done
}

func (n *Network) run(ctx context.Context) {
	defer close(n.done)

	var beats sync.WaitGroup

	round := roundEvery
	if n.opts.Period > 0 {
		round = min(round, n.opts.Period/roundsPerPeriod)
	}

	tick := n.opts.Clock.NewTicker(round)
	defer tick.Stop()

	for {
		for _, address := range n.dueNow() {
			beats.Go(func() { n.beat(ctx, address) })
		}

		select {
		case <-ctx.Done():
			beats.Wait()

			if err := n.links.Close(); err != nil {
				n.opts.Log.Debug().Err(err).Msg("closing peer connections")
			}

			return
		case <-tick.Chan():
		case <-n.urgent:
		}
	}
}

// dueNow returns the addresses whose heartbeat is due and marks them busy.
func (n *Network) dueNow() []string {
	n.mu.Lock()
	defer n.mu.Unlock()

	now := n.opts.Clock.Now()
	n.members.Forget(now)

	wait := map[string]time.Duration{}
	for _, seed := range n.opts.Seeds {
		wait[seed] = seedInterval

		// A host that knows nobody yet asks more often.
		if n.members.Count(now) == 0 {
			wait[seed] = n.members.Period()
		}
	}

	for address, until := range n.rumours {
		if _, known := n.members.At(address); known || until.Before(now) {
			delete(n.rumours, address)

			continue
		}

		wait[address] = seedInterval
	}

	for _, m := range n.members.Beat(now) {
		wait[m.Address] = n.members.Period()
	}

	delete(wait, n.opts.Address)

	var due []string

	for address, period := range wait {
		// A seed that turns out to be a member does not wait for the seeds' longer period.
		left := n.due[address].Sub(now)
		if n.busy[address] || left > 0 && left <= period*overdue/100 {
			continue
		}

		n.busy[address] = true
		n.due[address] = now.Add(period)
		due = append(due, address)
	}

	return due
}

// beat exchanges one heartbeat. After a failure it tries a new connection at once, since the old
// one may have gone silent while the peer is well.
func (n *Network) beat(ctx context.Context, address string) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()

		delete(n.busy, address)
	}()

	err := n.exchange(ctx, address)
	if err == nil {
		return
	}

	n.links.Drop(address)

	if err = n.exchange(ctx, address); err != nil && ctx.Err() == nil {
		n.links.Drop(address)
		n.opts.Log.Debug().Str("peer", address).Err(err).Msg("heartbeat failed")
	}
}

func (n *Network) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, beatBound)
	defer cancel()

	client, err := n.links.To(address)
	if err != nil {
		return err
	}

	reply, err := client.Heartbeat(ctx, n.digest(n.hostAt(address)))
	if err != nil {
		return err
	}

	n.hear(reply)

	return nil
}

// hostAt returns the live host whose peer API is at address, or "".
func (n *Network) hostAt(address string) table.HostID {
	n.mu.Lock()
	defer n.mu.Unlock()

	m, ok := n.members.At(address)
	if !ok || !n.members.Alive(m, n.opts.Clock.Now()) {
		return ""
	}

	return m.Host
}

// BeatNow makes all heartbeats due at once, to tell the peers what cannot wait.
func (n *Network) BeatNow() {
	n.mu.Lock()
	clear(n.due)
	n.mu.Unlock()

	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

// digest returns the state of this host.
func (n *Network) digest(to table.HostID) *peer.Digest {
	n.mu.Lock()
	n.sequence++
	d := &peer.Digest{
		Host: string(n.opts.Host), Address: n.opts.Address, DataCentre: string(n.opts.DataCentre), Sequence: n.sequence,
	}
	d.Known = n.introductions()
	n.mu.Unlock()

	n.opts.Local.Fill(to, d)

	return d
}

// introductions returns the addresses of a few live members; the caller holds mu.
func (n *Network) introductions() []string {
	var addresses []string
	for _, m := range n.members.Some(n.opts.Clock.Now(), introduced) {
		addresses = append(addresses, m.Address)
	}

	return addresses
}

// noteRumours takes addresses that a peer told; the caller holds mu.
func (n *Network) noteRumours(addresses []string) {
	until := n.opts.Clock.Now().Add(rumourLife)

	for _, address := range addresses[:min(len(addresses), introduced)] {
		_, err := netip.ParseAddrPort(address)
		_, known := n.members.At(address)

		if err != nil || known || address == n.opts.Address || len(n.rumours) >= maxRumours {
			continue
		}

		n.rumours[address] = until
	}
}

func (n *Network) hear(d *peer.Digest) {
	n.mu.Lock()
	n.noteRumours(d.GetKnown())
	n.members.Note(members.Member{
		Host: table.HostID(d.GetHost()), Address: d.GetAddress(), DataCentre: table.DataCentre(d.GetDataCentre()),
		Generation: table.Generation(d.GetGeneration()), Ready: d.GetReady(), Stopping: d.GetStopping(),
		Sequence: d.GetSequence(), HeardAt: n.opts.Clock.Now(),
	})
	n.mu.Unlock()

	n.opts.Local.Hear(d)
}

// answered takes a digest that its sender began to exchange. The reply tells the sender all that an
// own heartbeat would, so that one waits until the sender's next is overdue.
func (n *Network) answered(d *peer.Digest) {
	n.hear(d)

	n.mu.Lock()
	defer n.mu.Unlock()

	n.due[d.GetAddress()] = n.opts.Clock.Now().Add(n.members.Period() * overdue / 100)
}

// Introduce makes the network try addresses that may be peers.
func (n *Network) Introduce(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	for part := range slices.Chunk(addresses, introduced) {
		n.noteRumours(part)
	}
}

// Period returns the time between two heartbeats to one member.
func (n *Network) Period() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Period()
}

// Live returns the live members.
func (n *Network) Live() []members.Member {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Live(n.opts.Clock.Now())
}

// Hosts returns the number of live hosts, this one included.
func (n *Network) Hosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Count(n.opts.Clock.Now()) + 1
}

// Member returns what is known of host, and whether it is alive.
func (n *Network) Member(host table.HostID) (m members.Member, alive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	m, ok := n.members.Known(host)

	return m, ok && n.members.Alive(m, n.opts.Clock.Now())
}

// Alive reports whether host is a live peer.
func (n *Network) Alive(host table.HostID) bool {
	_, alive := n.Member(host)

	return alive
}

// Mine reports whether this host is among the n live hosts of its data centre that look after key.
func (n *Network) Mine(key string, count int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Mine(n.opts.Clock.Now(), key, count)
}

// Homes returns the number of live hosts in this data centre, this one included.
func (n *Network) Homes() int {
	homes := 1

	for _, m := range n.Live() {
		if m.DataCentre == n.opts.DataCentre && !m.Stopping {
			homes++
		}
	}

	return homes
}

// Reachable returns the data centres with a live host that can take forwarded requests.
func (n *Network) Reachable() map[table.DataCentre]bool {
	reachable := map[table.DataCentre]bool{n.opts.DataCentre: true}

	for _, m := range n.Live() {
		if m.Ready && !m.Stopping {
			reachable[m.DataCentre] = true
		}
	}

	return reachable
}
