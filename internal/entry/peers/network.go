package peers

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// callTimeout bounds a call with a short message and a short reply. A longer message gets the time that minRate needs for it
	// and for a reply of its size in addition.
	callTimeout = 700 * time.Millisecond
	minRate     = 128 << 10 // bytes a second that a busy link carries at least
)

// DigestHandler fills in the heartbeats of this host and handles those of other hosts. Its methods must be safe for
// concurrent use.
type DigestHandler interface {
	// Fill completes a digest of this host for the receiver to, which is empty if the receiver is not known.
	Fill(to entity.HostID, d *peer.Digest)
	// Receive handles a digest received from another host. The ages of the sender's state are as of now.
	Receive(d *peer.Digest)
}

// Options configure a Network. Host, DataCentre, Address and Digests are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	Panics     panics.Recorder // records panics of heartbeats and of calls of other hosts
	Host       entity.HostID
	DataCentre entity.DataCentre
	Address    string   // ip:port of this host's peer API
	Seeds      []string // ip:port of peers to contact first
	Processor  int      // processor time of this host, in thousandths of a core; zero if unknown
	Digests    DigestHandler
	Period     time.Duration // least time between two heartbeats to a member; zero means 1 s
}

// Network exchanges heartbeats with the other hosts. It is safe for concurrent use.
type Network struct {
	opts  Options
	links peer.Conns
	// serving are the connections of Serve.
	serving peer.Conns
	done    chan struct{}
	// wake starts a round of the loop before its next tick.
	wake chan struct{}

	mu      sync.Mutex
	members *members.Schedule
	sent    sentDigests
}

// New returns a Network without members.
func New(opts Options) *Network {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Network{
		opts: opts, done: make(chan struct{}), wake: make(chan struct{}, 1),
		members: members.NewSchedule(members.NewWithMinPeriod(opts.Host, opts.DataCentre, opts.Period), opts.Address, opts.Seeds),
	}
}

// Start begins to exchange heartbeats, until ctx ends.
func (n *Network) Start(ctx context.Context) {
	go n.run(ctx)
}

// Done returns a channel that is closed once the heartbeats have ended and the connections are closed.
func (n *Network) Done() <-chan struct{} {
	return n.done
}

func (n *Network) run(ctx context.Context) {
	defer close(n.done)

	var beats sync.WaitGroup

	for {
		due, round := n.takeDue()
		for _, address := range due {
			beats.Go(func() { n.heartbeat(ctx, address) })
		}

		timer := n.opts.Clock.NewTimer(round)

		select {
		case <-ctx.Done():
			timer.Stop()
			beats.Wait()

			if err := errors.Join(n.links.Close(), n.serving.Close()); err != nil {
				n.opts.Log.Debug().Err(err).Msg("could not close peer connections")
			}

			return
		case <-timer.Chan():
		case <-n.wake:
			timer.Stop()
		}
	}
}

// takeDue returns the addresses whose heartbeat is due, which are under way from now on, and the time until the next round.
func (n *Network) takeDue() ([]string, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.TakeDue(n.opts.Clock.Now()), n.members.Round()
}

// heartbeat exchanges one heartbeat with address.
func (n *Network) heartbeat(ctx context.Context, address string) {
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()

		n.members.Ended(address)
	}()
	defer n.opts.Panics.Recover("", func(*verdict.Error) {})

	err := n.call(ctx, address, callTimeout, func(ctx context.Context, client peer.PeerClient) error {
		began := n.opts.Clock.Now()

		reply, err := client.Heartbeat(ctx, n.digest(n.hostAt(address)))
		if err == nil {
			n.receive(reply, began)
		}

		return err
	})
	if err != nil && ctx.Err() == nil {
		n.opts.Log.Debug().Str("peer", address).Err(err).Msg("heartbeat failed")
	}
}

// ShareCrashes sends m to the host at address and returns its reply.
func (n *Network) ShareCrashes(ctx context.Context, address string, m *peer.CrashRecords) (reply *peer.CrashRecords, err error) {
	err = n.call(ctx, address, timeoutFor(m), func(ctx context.Context, client peer.PeerClient) error {
		reply, err = client.ShareCrashes(ctx, m)

		return err
	})

	return reply, err
}

// ShareOrigins sends m to the host at address.
func (n *Network) ShareOrigins(ctx context.Context, address string, m *peer.OriginRecords) error {
	return n.call(ctx, address, timeoutFor(m), func(ctx context.Context, client peer.PeerClient) error {
		_, err := client.ShareOrigins(ctx, m)

		return err
	})
}

// FetchOrigins asks the host at address for all its records of the versions of streams.
func (n *Network) FetchOrigins(ctx context.Context, address string) (reply *peer.OriginRecords, err error) {
	err = n.call(ctx, address, callTimeout, func(ctx context.Context, client peer.PeerClient) error {
		reply, err = client.FetchOrigins(ctx, &peer.FetchOriginsRequest{})

		return err
	})

	return reply, err
}

// FindOrigin asks the host at address for the version of a stream.
func (n *Network) FindOrigin(ctx context.Context, address string, r *peer.FindOriginRequest) (reply *peer.FindOriginReply, err error) {
	err = n.call(ctx, address, callTimeout, func(ctx context.Context, client peer.PeerClient) error {
		reply, err = client.FindOrigin(ctx, r)

		return err
	})

	return reply, err
}

// timeoutFor returns the time limit of a call that sends m.
func timeoutFor(m proto.Message) time.Duration {
	return callTimeout + 2*time.Duration(proto.Size(m))*time.Second/minRate
}

// call makes one call to the host at address, within timeout. After a failure it retries at once on a new connection, since the old one
// may have stopped responding while the peer is alive. A call that ends with ctx is not retried.
func (n *Network) call(ctx context.Context, address string, timeout time.Duration, do func(context.Context, peer.PeerClient) error) error {
	if err := n.callOnce(ctx, address, timeout, do); err == nil || ctx.Err() != nil {
		return err
	}

	return n.callOnce(ctx, address, timeout, do)
}

// callOnce makes one call to the host at address. If the call fails, it drops the connection that it used, unless ctx was
// cancelled: that says nothing of the connection.
func (n *Network) callOnce(ctx context.Context, address string, timeout time.Duration, do func(context.Context, peer.PeerClient) error) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	client, err := n.links.Client(address)
	if err != nil {
		return err
	}

	if err = do(callCtx, client); err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		n.links.Drop(address, client)
	}

	return err
}

// hostAt returns the live host whose peer API is at address, or "".
func (n *Network) hostAt(address string) entity.HostID {
	n.mu.Lock()
	defer n.mu.Unlock()

	m, ok := n.members.ByAddress(address)
	if !ok || !n.members.Alive(m, n.opts.Clock.Now()) {
		return ""
	}

	return m.Host
}

// HeartbeatNow makes all heartbeats due at once, so that peers receive urgent changes of this host's digest.
func (n *Network) HeartbeatNow() {
	n.mu.Lock()
	n.members.AllDue()
	n.mu.Unlock()

	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// HeartbeatTo makes the heartbeats to hosts due at once, as far as this host exchanges heartbeats with them.
func (n *Network) HeartbeatTo(hosts []entity.HostID) {
	n.mu.Lock()
	n.members.Due(n.opts.Clock.Now(), hosts)
	n.mu.Unlock()

	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// digest returns a digest of this host, with a new sequence number, for the receiver to, which is empty if the receiver
// is not known.
func (n *Network) digest(to entity.HostID) *peer.Digest {
	d := n.ownDigest(to)
	n.opts.Digests.Fill(to, d)

	return d
}

// ownDigest returns a digest, with a new sequence number, of what the network knows, for the receiver to.
func (n *Network) ownDigest(to entity.HostID) *peer.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()

	now := n.opts.Clock.Now()

	d := &peer.Digest{
		Host: string(n.opts.Host), Address: n.opts.Address, DataCentre: string(n.opts.DataCentre), Sequence: n.sent.next(now),
		LocalHosts: uint32(n.members.HomeHosts(now)), Processor: uint32(n.opts.Processor),
	}
	n.introduce(to, d)

	if m, ok := n.members.Get(to); ok {
		d.Echo = m.Sequence
		d.EchoAge = uint32(min(max(0, now.Sub(m.ReceivedAt).Milliseconds()), math.MaxUint32))
	}

	return d
}

// introduce adds to d the members that this host introduces to the host to. The caller holds mu.
func (n *Network) introduce(to entity.HostID, d *peer.Digest) {
	for _, m := range n.members.Introductions(n.opts.Clock.Now(), to) {
		d.Known = append(d.Known, m.Address)
		d.KnownDataCentres = append(d.KnownDataCentres, string(m.DataCentre))
	}
}

// introducedIn returns the members that d introduces.
func introducedIn(d *peer.Digest) []members.Member {
	introduced := make([]members.Member, 0, members.MaxIntroduced)

	for i, address := range d.GetKnown()[:min(len(d.GetKnown()), members.MaxIntroduced)] {
		m := members.Member{Address: address}
		if i < len(d.GetKnownDataCentres()) {
			m.DataCentre = entity.DataCentre(d.GetKnownDataCentres()[i])
		}

		introduced = append(introduced, m)
	}

	return introduced
}

// receive updates the members and the local state from a digest of another host, which it has sent after began; zero means unknown.
func (n *Network) receive(d *peer.Digest, began time.Time) {
	addDelay(d, n.updateMember(d, began))
	n.opts.Digests.Receive(d)
}

// updateMember updates the members from a digest of another host, and returns the longest time for which it can have been under way.
func (n *Network) updateMember(d *peer.Digest, began time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()

	delay := n.sent.maxDelay(n.opts.Clock.Now(), began, d)

	n.members.Introduce(n.opts.Clock.Now(), entity.DataCentre(d.GetDataCentre()), introducedIn(d))
	n.members.Update(members.Member{
		Host: entity.HostID(d.GetHost()), Address: d.GetAddress(), DataCentre: entity.DataCentre(d.GetDataCentre()),
		Generation: entity.Generation(d.GetGeneration()), Ready: d.GetReady(), Stopping: d.GetStopping(),
		LocalHosts: int(d.GetLocalHosts()), Processor: int(d.GetProcessor()), Sequence: d.GetSequence(), ReceivedAt: n.opts.Clock.Now(),
	})

	return delay
}

// receiveExchange handles the digest in another host's heartbeat. The reply to a heartbeat carries this host's digest,
// so this host sends that host no heartbeat of its own until that host's next heartbeat is overdue.
func (n *Network) receiveExchange(d *peer.Digest) {
	n.receive(d, time.Time{})

	n.mu.Lock()
	defer n.mu.Unlock()

	n.members.Postpone(d.GetAddress(), n.opts.Clock.Now())
}

// Introduce makes the network try addresses that may be peers. An address is dropped after a minute without success.
func (n *Network) Introduce(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.members.AddCandidates(n.opts.Clock.Now(), addresses)
}

// Period returns the present time between two heartbeats to one member.
func (n *Network) Period() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Period()
}

// Live returns the live members, without this host.
func (n *Network) Live() []members.Member {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Live(n.opts.Clock.Now())
}

// HeartbeatPartners returns the live members with which this host exchanges heartbeats.
func (n *Network) HeartbeatPartners() []members.Member {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.HeartbeatPartners(n.opts.Clock.Now())
}

// Hosts returns the number of live hosts from which this host receives heartbeats, this one included.
func (n *Network) Hosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.LiveCount(n.opts.Clock.Now()) + 1
}

// HostCounts returns the number of entry hosts in each data centre, those included with which this host exchanges no
// heartbeats. A data centre that has fallen silent keeps its number for some minutes.
func (n *Network) HostCounts() map[entity.DataCentre]int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.HostCounts(n.opts.Clock.Now())
}

// Member returns the last known state of host, and whether it counts as alive.
func (n *Network) Member(host entity.HostID) (m members.Member, alive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	m, ok := n.members.Get(host)

	return m, ok && n.members.Alive(m, n.opts.Clock.Now())
}

// Alive reports whether host counts as a live peer.
func (n *Network) Alive(host entity.HostID) bool {
	_, alive := n.Member(host)

	return alive
}

// IsResponsible reports whether this host is among the count live hosts of its data centre that are responsible for key.
func (n *Network) IsResponsible(key string, count int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Responsible(n.opts.Clock.Now(), key, count)
}

// Rank returns the place of this host, from zero, in the order in which the live hosts of its data centre are responsible
// for key.
func (n *Network) Rank(key string) int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.members.Rank(n.opts.Clock.Now(), key)
}

// Reachable returns this data centre and those with a live host that can take forwarded requests.
func (n *Network) Reachable() map[entity.DataCentre]bool {
	reachable := map[entity.DataCentre]bool{n.opts.DataCentre: true}

	for _, m := range n.Live() {
		if m.Ready && !m.Stopping {
			reachable[m.DataCentre] = true
		}
	}

	return reachable
}
