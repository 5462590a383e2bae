package host

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
	"github.com/dotterelflow/dotterelflow/internal/entry/crashguard"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/entry/router"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// pollersPerTarget is the number of hosts that poll the load of an engine. The other hosts receive the reports in
// heartbeats.
const pollersPerTarget = 2

// targets returns the configured targets, or nil before the first configuration.
func (h *Host) targets() []entity.Target {
	snapshot := h.config.Current()
	if snapshot == nil {
		return nil
	}

	return snapshot.Targets
}

// isPoller reports whether this host polls the load of t. It polls only targets of this data centre: its share of
// them, and each one that broke off a request of this host, until a load report shows whether that target was lost.
func (h *Host) isPoller(t entity.Target) bool {
	if t.DataCentre != h.opts.DataCentre {
		return false
	}

	return h.network.IsResponsible(string(t.ID), pollersPerTarget) || h.guard.MaybeLost(t.ID)
}

// newerConfiguration returns the generation in force and, if it is newer than known, the encoded configuration for a peer.
func (h *Host) newerConfiguration(known peers.KnownVersions) (entity.Generation, []byte) {
	g := h.config.Generation()
	if g <= known.Generation {
		return g, nil
	}

	return g, h.config.Export()
}

// copySource is a copies.Source of the configuration.
func (h *Host) copySource(targets bool, known uint64) (number uint64, encode func() ([]byte, error)) {
	g := h.config.Generation()
	if targets || uint64(g) <= known {
		return 0, nil
	}

	return uint64(g), func() ([]byte, error) { return h.config.Export(), nil }
}

// Fill implements peers.DigestHandler.
func (h *Host) Fill(to entity.HostID, d *peer.Digest) {
	d.Generation = uint64(h.config.Generation())
	d.Ready = h.Ready() == nil
	d.Stopping = h.stopping.Load()
	d.CrashSum = h.crashers.Sum()

	if m, alive := h.network.Member(to); alive && m.DataCentre == h.opts.DataCentre {
		d.Suspects = h.suspectsDigest(to)
		h.fleetControl.FillDigest(d)
	}

	h.appendDemand(d)

	for _, l := range h.loads.Polled() {
		d.Loads = append(d.Loads, &peer.Load{
			Target: string(l.Target), AtUnixMs: l.At.UnixMilli(), Running: uint32(max(l.Running, 0)),
			Queued: uint32(max(l.Queued, 0)), PrefillPending: uint64(max(l.PrefillPending, 0)),
			DecodePending: uint64(max(l.DecodePending, 0)), Role: uint32(l.Role), Changing: l.Changing, Boot: l.Boot,
		})
	}
}

// Receive implements peers.DigestHandler.
func (h *Host) Receive(d *peer.Digest) {
	h.config.ReportPeerGeneration(entity.HostID(d.GetHost()), entity.Generation(d.GetGeneration()))

	h.roleState.recordDemand(h.opts.Clock.Now(), d)
	h.crashSyncer.OnHeartbeat(d.GetAddress(), d.GetCrashSum())

	if d.GetDataCentre() == string(h.opts.DataCentre) {
		h.fleetControl.MergeDigest(d)
		h.mergeSuspects(d)
	}

	for _, l := range d.GetLoads() {
		h.loads.AddFromPeer(entity.Load{
			Target: entity.TargetID(l.GetTarget()), At: time.UnixMilli(l.GetAtUnixMs()), Running: int(l.GetRunning()),
			Queued: int(l.GetQueued()), PrefillPending: entity.Tokens(l.GetPrefillPending()),
			DecodePending: entity.Tokens(l.GetDecodePending()), Role: entity.Role(l.GetRole()), Changing: l.GetChanging(),
			Boot: l.GetBoot(),
		})
	}
}

// mergeSuspects adds the crash suspects in the digest of a peer to the guard.
func (h *Host) mergeSuspects(d *peer.Digest) {
	if len(d.GetSuspects()) == 0 {
		return
	}

	if err := h.guard.Merge(entity.HostID(d.GetHost()), d.GetSuspects()); err != nil {
		h.opts.Log.Warn().Str("peer", d.GetHost()).Err(err).Msg("cannot decode the digest of suspects")
	}
}

// refresh updates routing, the crash guard and admission from the configuration, the loads, the plans and the peers. It
// does nothing before the first configuration.
func (h *Host) refresh() {
	snapshot := h.config.Current()
	if snapshot == nil {
		return
	}

	reachable := h.network.Reachable()
	unreachable := map[entity.DataCentre]bool{}

	for _, t := range snapshot.Targets {
		if !reachable[t.DataCentre] {
			unreachable[t.DataCentre] = true
		}
	}

	undiscovered := h.undiscovered(snapshot.Targets, reachable)

	hosts := 0

	for dc, n := range h.network.HostCounts() {
		if reachable[dc] {
			hosts += n
		}
	}

	loads := h.loads.All()

	list := h.fleetControl.Plans()
	leaving := plans.LeavingTargets(list)

	h.router.Refresh(snapshot, router.RefreshInput{Hosts: hosts, Loads: loads, Leaving: leaving, Unreachable: unreachable, Undiscovered: undiscovered, Reserved: h.guard.Reserved})
	h.fleetControl.PlansApplied(list.Generation)

	if plans.LeavingHosts(list)[h.opts.ID] {
		h.stopping.Store(true)
	}

	h.crashers.Tick(h.opts.Clock.Now(), nil, func(entity.TargetID) bool { return false }) // load reports show which engines have ended
	h.guard.Tick(func(p crashguard.Pool) quarantine.View { return h.quarantineView(snapshot, p, loads) })
	h.admissionLoop.SetConfig(snapshot, hosts, func(t entity.Target) bool {
		return (reachable[t.DataCentre] || undiscovered[t.DataCentre]) && !leaving[t.ID]
	})

	if !h.configApplied.Swap(true) { // last, since the host is ready from here on
		h.network.HeartbeatNow() // peers that heard of this host before take it for one that cannot serve yet
	}
}

// undiscovered returns those data centres of targets that came into the configuration less than discoveryTime ago and had no reachable
// host since. Only the goroutine of run calls it.
func (h *Host) undiscovered(targets []entity.Target, reachable map[entity.DataCentre]bool) map[entity.DataCentre]bool {
	now := h.opts.Clock.Now()
	result := map[entity.DataCentre]bool{}

	for _, t := range targets {
		since, ok := h.lookingSince[t.DataCentre]

		switch {
		case reachable[t.DataCentre]:
			h.lookingSince[t.DataCentre] = time.Time{}
		case !ok:
			h.lookingSince[t.DataCentre] = now
			result[t.DataCentre] = true
		case !since.IsZero() && now.Sub(since) < discoveryTime:
			result[t.DataCentre] = true
		}
	}

	return result
}

// suspectsDigest returns the encoded crash suspects for the peer to, or nil if they cannot be encoded.
func (h *Host) suspectsDigest(to entity.HostID) []byte {
	encoded, err := h.guard.Export(to)
	if err != nil {
		h.opts.Log.Warn().Err(err).Msg("cannot encode the digest of suspects")

		return nil
	}

	return encoded
}

// quarantineView returns the live hosts of this data centre, and the pool's engines in it that can run a trial of a suspect
// request: neither leaving nor changing role, and with a recent load report.
func (h *Host) quarantineView(snapshot *entity.Snapshot, pool crashguard.Pool, loads map[entity.TargetID]entity.Load) quarantine.View {
	v := quarantine.View{Hosts: []entity.HostID{h.opts.ID}}

	for _, m := range h.network.Live() {
		if m.DataCentre == h.opts.DataCentre {
			v.Hosts = append(v.Hosts, m.Host)
		}
	}

	now := h.opts.Clock.Now()

	for _, t := range snapshot.Targets {
		l := loads[t.ID]
		if t.Model != pool.Model || !pool.Has(h.router.Role(t.ID)) || t.DataCentre != h.opts.DataCentre || t.Leaving || l.Changing || now.Sub(l.At) > staleLoadAge {
			continue
		}

		v.Candidates = append(v.Candidates, quarantine.Candidate{Target: t.ID, Running: l.Running})
	}

	return v
}

// onLoadReport forwards the load report of a target in this data centre to the crash guard. requestedAt is when this host
// sent the poll, or zero for a report received from a peer. Reports without a boot id are ignored.
func (h *Host) onLoadReport(l entity.Load, requestedAt time.Time) {
	snapshot := h.config.Current()
	if snapshot == nil || l.Boot == "" {
		return
	}

	if t, ok := snapshot.Target(l.Target); ok && t.DataCentre == h.opts.DataCentre {
		h.guard.OnLoadReport(t.Model, t.ID, l.Boot, requestedAt)
	}
}
