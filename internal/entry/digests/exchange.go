// Package digests shares with the other entry hosts, in heartbeats, the state that packages placing and crashtracker
// need: the work in flight on each target, the speeds of targets, the targets that have a prompt prefix in their cache, those that are
// changing role, the demand for each service, and a checksum of the records of requests that crash targets. A digest also
// has the sender's readiness, its versions of the configuration and the target list, and the placer of its data
// centre.
package digests

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/speeds"
	"github.com/dotterelflow/dotterelflow/internal/control/targetlimits"
	"github.com/dotterelflow/dotterelflow/internal/control/usage"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// maxWork bounds the targets of which a digest's work and role changes are read; a fleet has a few hundred.
const maxWork = 4096

// maxPeers bounds the peers whose positions are kept, the most recent ones.
const maxPeers = 1024

// maxAge is the longest age that is sent; older state is hardly a confirmation.
const maxAge = time.Minute

// Options configure an Exchange. Board, CrashSum, Ready and Version are required.
type Options struct {
	Clock    clockwork.Clock // nil means the real clock
	Board    *placing.Board
	CrashSum func() uint64            // checksum of the records of requests that crash targets
	Ready    func() bool              // whether this host can serve callers
	Stopping func() bool              // nil means never
	Version  func() uint64            // version of the configuration in force
	Changing func() []entity.TargetID // replicas that are carrying out this host's orders; nil means none
	Revision func() uint64            // store revision up to which this host has the target list; nil means 0
	// Ages returns how long ago this host last knew its configuration and its target list to be current; negative means
	// unknown. Nil means that both are unknown.
	Ages func() (configuration, targets time.Duration)
	// HeardAge returns how long ago this host last knew that open connections to the store work; negative means unknown. Nil
	// means that it is unknown.
	HeardAge func() time.Duration
	// Served returns how long ago a span began and ended in which the store served any host without a pause in which entries of targets can
	// lapse; negative means unknown. Nil means that it is unknown.
	Served     func() (since, until time.Duration)
	ReadsStore func() bool // whether this host reads the store itself and the store answers; nil means no
	// Placer returns the address of the host that places the prompts of this data centre; nil means none.
	Placer func() string
	// Unreachable returns the services of which this host reaches no target; nil means none.
	Unreachable func() []entity.ServiceName
	Limits      *targetlimits.Table // limits that targets state; nil means that none are exchanged
	Usage       Usage               // requests that began to run; nil means that they are not counted
	// OnDigest is called with the state in each peer's digest; nil means no call.
	OnDigest func(PeerState)
}

// Usage has the requests that began to run, as counted by this host and by others.
type Usage interface {
	// Message returns what to tell the host to.
	Message(to entity.HostID) usage.Message
	// Merge adds what a peer tells.
	Merge(from usage.Peer, m usage.Message)
}

// PeerState is a peer's state as reported in its digest.
type PeerState struct {
	Host       entity.HostID
	Address    string // ip:port of its peer API
	DataCentre entity.DataCentre
	Version    uint64 // version of the peer's configuration
	Revision   uint64 // store revision up to which the peer has the target list
	// ConfigurationAge and TargetsAge are how long ago the peer last knew them to be current; negative for unknown.
	ConfigurationAge, TargetsAge time.Duration
	HeardAge                     time.Duration        // how long ago the peer last knew that connections to the store work; negative for unknown
	ServedSince, ServedUntil     time.Duration        // how long ago a span began and ended in which the store served any host; negative for unknown
	ReadsStore                   bool                 // the peer reads the store itself, and the store answers
	Unreachable                  []entity.ServiceName // services of which the peer reaches no target
	Placer                       string               // peer address of the host that places the prompts of DataCentre; "" for none
	CrashSum                     uint64               // checksum of the peer's records of requests that crash targets
}

// Exchange fills the digests of this host and merges those of peers. It implements peers.DigestHandler and is safe for
// concurrent use.
type Exchange struct {
	opts     Options
	received *lru.Cache[entity.HostID, uint64] // last position of held prefixes received from each peer
}

// New returns an Exchange.
func New(opts Options) *Exchange {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Stopping == nil {
		opts.Stopping = func() bool { return false }
	}

	if opts.Revision == nil {
		opts.Revision = func() uint64 { return 0 }
	}

	if opts.Ages == nil {
		opts.Ages = func() (time.Duration, time.Duration) { return -1, -1 }
	}

	if opts.HeardAge == nil {
		opts.HeardAge = func() time.Duration { return -1 }
	}

	if opts.Served == nil {
		opts.Served = func() (time.Duration, time.Duration) { return -1, -1 }
	}

	if opts.OnDigest == nil {
		opts.OnDigest = func(PeerState) {}
	}

	if opts.ReadsStore == nil {
		opts.ReadsStore = func() bool { return false }
	}

	if opts.Placer == nil {
		opts.Placer = func() string { return "" }
	}

	if opts.Unreachable == nil {
		opts.Unreachable = func() []entity.ServiceName { return nil }
	}

	if opts.Changing == nil {
		opts.Changing = func() []entity.TargetID { return nil }
	}

	received, err := lru.New[entity.HostID, uint64](maxPeers)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Exchange{opts: opts, received: received}
}

// Fill implements peers.DigestHandler.
func (x *Exchange) Fill(to entity.HostID, d *peer.Digest) {
	d.Ready = x.opts.Ready()
	d.Stopping = x.opts.Stopping()
	d.Generation = x.opts.Version()
	d.TargetsRevision = x.opts.Revision()
	configurationAge, targetsAge := x.opts.Ages()
	d.ConfigurationAge, d.TargetsAge = encodeAge(configurationAge), encodeAge(targetsAge)
	d.HeardAge = encodeAge(x.opts.HeardAge())
	servedSince, servedUntil := x.opts.Served()
	d.ServedSince, d.ServedUntil = encodeAge(min(servedSince, maxAge)), encodeAge(servedUntil)
	d.ReadsStore = x.opts.ReadsStore()
	d.Placer = x.opts.Placer()
	d.CrashSum = x.opts.CrashSum()

	for _, u := range x.opts.Board.Export() {
		work := &peer.TargetWork{Target: string(u.Target), Runs: int64(u.Running), Held: int64(u.KVTokens)}
		for _, n := range u.PendingPrefill {
			work.Reading = append(work.Reading, int64(n))
		}

		d.Work = append(d.Work, work)
	}

	for _, name := range x.opts.Unreachable() {
		d.Unreachable = append(d.Unreachable, string(name))
	}

	for _, id := range x.opts.Changing() {
		d.Loads = append(d.Loads, &peer.Load{Target: string(id), Changing: true})
	}

	for _, o := range x.opts.Limits.Observations(x.now()) {
		d.Limits = append(d.Limits, &peer.TargetLimit{
			Target: string(o.Target), Limited: o.Statement.Limited, PerSecond: o.Statement.PerSecond, AgeMs: uint32(min(o.Age, maxAge).Milliseconds()), Number: o.Number,
		})
	}

	for _, o := range x.opts.Board.Speeds().Observations(x.now()) {
		d.Speeds = append(d.Speeds, &peer.TargetSpeed{
			Target: string(o.Target), PaceUs: uint32(o.Pace.Microseconds()), Weight: uint32(o.Weight), AgeMs: uint32(o.Age.Milliseconds()),
		})
	}

	for service, tokens := range x.opts.Board.LocalDemands(x.now()) {
		d.Demand = append(d.Demand, &peer.Demand{Model: string(service), Prefill: tokens})
	}

	if to == "" {
		return // what the receiver has confirmed is not known
	}

	if x.opts.Usage != nil {
		d.Usage = encodeUsage(x.opts.Usage.Message(to))
	}

	updates, position := x.opts.Board.PrefixUpdates(to)
	d.HeldPosition = position
	d.HeldConfirmed = x.receivedFrom(to)

	for _, n := range updates {
		d.Held = append(d.Held, &peer.HeldPrefix{Prefix: uint64(n.Prefix), Target: string(n.Target)})
	}
}

// Receive implements peers.DigestHandler.
func (x *Exchange) Receive(d *peer.Digest) {
	var unreachable []entity.ServiceName
	for _, name := range d.GetUnreachable() {
		unreachable = append(unreachable, entity.ServiceName(name))
	}

	x.opts.OnDigest(PeerState{
		Unreachable: unreachable,
		Host:        entity.HostID(d.GetHost()), Address: d.GetAddress(), DataCentre: entity.DataCentre(d.GetDataCentre()), Version: d.GetGeneration(),
		ConfigurationAge: decodeAge(d.GetConfigurationAge()), TargetsAge: decodeAge(d.GetTargetsAge()), HeardAge: decodeAge(d.GetHeardAge()),
		ServedSince: decodeAge(d.GetServedSince()), ServedUntil: decodeAge(d.GetServedUntil()),
		Revision: d.GetTargetsRevision(), ReadsStore: d.GetReadsStore(), Placer: d.GetPlacer(), CrashSum: d.GetCrashSum(),
	})
	x.opts.Board.Merge(x.now(), entity.HostID(d.GetHost()), workOf(d.GetWork()))

	for _, l := range d.GetLoads()[:min(len(d.GetLoads()), maxWork)] {
		if l.GetChanging() {
			x.opts.Board.PauseChanging(x.now(), entity.TargetID(l.GetTarget()))
		}
	}

	x.opts.Limits.Merge(x.now(), entity.HostID(d.GetHost()), observationsOf(d.GetLimits()))

	if u := d.GetUsage(); u != nil && x.opts.Usage != nil {
		x.opts.Usage.Merge(usage.Peer{Host: entity.HostID(d.GetHost()), DataCentre: entity.DataCentre(d.GetDataCentre())}, decodeUsage(u))
	}
	x.opts.Board.Speeds().Merge(x.now(), entity.HostID(d.GetHost()), speedsOf(d.GetSpeeds()))

	demands := make(map[entity.ServiceName]float64, len(d.GetDemand()))
	for _, demand := range d.GetDemand() {
		demands[entity.ServiceName(demand.GetModel())] = demand.GetPrefill()
	}

	x.opts.Board.MergeDemands(x.now(), entity.HostID(d.GetHost()), demands)

	updates := make([]placing.PrefixUpdate, 0, len(d.GetHeld()))
	for _, n := range d.GetHeld() {
		updates = append(updates, placing.PrefixUpdate{Prefix: placing.Prefix(n.GetPrefix()), Target: entity.TargetID(n.GetTarget())})
	}

	x.opts.Board.MergePrefixes(updates)
	x.opts.Board.ConfirmPrefixes(entity.HostID(d.GetHost()), d.GetHeldConfirmed())

	if d.GetHeldPosition() > 0 {
		x.received.Add(entity.HostID(d.GetHost()), d.GetHeldPosition())
	}
}

// receivedFrom returns the last position of held prefixes received from host, zero for none.
func (x *Exchange) receivedFrom(host entity.HostID) uint64 {
	position, _ := x.received.Get(host)

	return position
}

func (x *Exchange) now() time.Time { return x.opts.Clock.Now() }

// workOf decodes the first maxWork entries of work.
func workOf(work []*peer.TargetWork) []placing.TargetWork {
	work = work[:min(len(work), maxWork)]
	list := make([]placing.TargetWork, 0, len(work))

	for _, w := range work {
		u := placing.TargetWork{Target: entity.TargetID(w.GetTarget()), Running: int(w.GetRuns()), KVTokens: entity.Tokens(w.GetHeld())}

		for i := range min(len(u.PendingPrefill), len(w.GetReading())) {
			u.PendingPrefill[i] = entity.Tokens(w.GetReading()[i])
		}

		list = append(list, u)
	}

	return list
}

func observationsOf(limits []*peer.TargetLimit) []targetlimits.Observation {
	list := make([]targetlimits.Observation, 0, len(limits))

	for _, l := range limits {
		o := targetlimits.Observation{Target: entity.TargetID(l.GetTarget()), Age: time.Duration(l.GetAgeMs()) * time.Millisecond, Number: l.GetNumber()}
		if l.GetLimited() {
			o.Statement = targetlimits.Statement{Limited: true, PerSecond: l.GetPerSecond()}
		}

		list = append(list, o)
	}

	return list
}

// speedsOf decodes the first maxWork entries of list.
func speedsOf(list []*peer.TargetSpeed) []speeds.Observation {
	list = list[:min(len(list), maxWork)]
	observations := make([]speeds.Observation, 0, len(list))

	for _, s := range list {
		observations = append(observations, speeds.Observation{
			Target: entity.TargetID(s.GetTarget()), Pace: time.Duration(s.GetPaceUs()) * time.Microsecond,
			Weight: int(min(s.GetWeight(), maxWork)), Age: time.Duration(s.GetAgeMs()) * time.Millisecond,
		})
	}

	return observations
}

// encodeAge returns age as in a digest. An age beyond maxAge counts as unknown.
func encodeAge(age time.Duration) uint32 {
	if age < 0 || age > maxAge {
		return 0
	}

	return uint32(age.Milliseconds()) + 1
}

// decodeAge returns the age that n stands for in a digest, or a negative duration if it is unknown.
func decodeAge(n uint32) time.Duration {
	if n == 0 {
		return -1
	}

	return time.Duration(n-1) * time.Millisecond
}
