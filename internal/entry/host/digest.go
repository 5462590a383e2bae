package host

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/entry/routes"
	"github.com/dotterelflow/dotterelflow/internal/entry/suspects"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// pollersPerTarget is the number of hosts that ask an engine for its load; the others hear it by
// heartbeat.
const pollersPerTarget = 2

func (h *Host) targets() []table.Target {
	snapshot := h.config.Current()
	if snapshot == nil {
		return nil
	}

	return snapshot.Targets
}

// polls reports whether this host asks t for its load.
func (h *Host) polls(t table.Target) bool {
	if t.DataCentre != h.opts.DataCentre {
		return false
	}

	return h.network.Mine(string(t.ID), pollersPerTarget) || h.guard.Doubted(t.ID)
}

// exported returns the configuration in force for a peer.
func (h *Host) exported(known peers.Known) (table.Generation, []byte) {
	g := h.config.Generation()
	if g <= known.Generation {
		return g, nil
	}

	return g, h.config.Export()
}

// Fill implements peers.Local.
func (h *Host) Fill(to table.HostID, d *peer.Digest) {
	d.Generation = uint64(h.config.Generation())
	d.Ready = h.Ready() == nil
	d.Stopping = h.stopping.Load()

	if m, alive := h.network.Member(to); alive && m.DataCentre == h.opts.DataCentre {
		d.Suspects = h.suspectsFor(to)
		h.governor.Fill(d)
	}

	h.fillDemand(d)

	for _, l := range h.loads.Mine() {
		d.Loads = append(d.Loads, &peer.Load{
			Target: string(l.Target), AtUnixMs: l.At.UnixMilli(), Running: uint32(max(l.Running, 0)),
			Queued: uint32(max(l.Queued, 0)), PrefillPending: uint64(max(l.PrefillPending, 0)),
			DecodePending: uint64(max(l.DecodePending, 0)), Role: uint32(l.Role), Changing: l.Changing, Boot: l.Boot,
		})
	}
}

// Hear implements peers.Local.
func (h *Host) Hear(d *peer.Digest) {
	h.config.PeerGeneration(table.HostID(d.GetHost()), table.Generation(d.GetGeneration()))

	h.changes.hear(h.opts.Clock.Now(), d)

	if d.GetDataCentre() == string(h.opts.DataCentre) {
		h.governor.Hear(d)
		h.hearSuspects(d)
	}

	for _, l := range d.GetLoads() {
		h.loads.Note(table.Load{
			Target: table.TargetID(l.GetTarget()), At: time.UnixMilli(l.GetAtUnixMs()), Running: int(l.GetRunning()),
			Queued: int(l.GetQueued()), PrefillPending: table.Tokens(l.GetPrefillPending()),
			DecodePending: table.Tokens(l.GetDecodePending()), Role: table.Role(l.GetRole()), Changing: l.GetChanging(),
			Boot: l.GetBoot(),
		})
	}
}

func (h *Host) hearSuspects(d *peer.Digest) {
	if len(d.GetSuspects()) == 0 {
		return
	}

	if err := h.guard.Merge(table.HostID(d.GetHost()), d.GetSuspects()); err != nil {
		h.opts.Log.Warn().Str("peer", d.GetHost()).Err(err).Msg("unreadable digest of suspects")
	}
}

// refresh publishes what routing and admission need of the configuration, the loads and the peers.
func (h *Host) refresh() {
	snapshot := h.config.Current()
	if snapshot == nil {
		return
	}

	reachable := h.network.Reachable()
	unreachable := map[table.DataCentre]bool{}

	for _, t := range snapshot.Targets {
		if !reachable[t.DataCentre] {
			unreachable[t.DataCentre] = true
		}
	}

	// Of other data centres a host hears only a few hosts; they are taken to have as many as this one.
	hosts := max(h.network.Hosts(), h.network.Homes()*len(reachable))
	loads := h.loads.All()

	list := h.governor.Plans()
	leaving := plans.Leaving(list)

	h.router.Refresh(snapshot, routes.State{Hosts: hosts, Loads: loads, Leaving: leaving, Unreachable: unreachable, Reserved: h.guard.Reserved})
	h.governor.Obeyed(list.Generation)

	if plans.LeavingHosts(list)[h.opts.ID] {
		h.stopping.Store(true)
	}

	h.routed.Store(true)
	h.guard.Tick(func(p suspects.Pool) quarantine.View { return h.viewOf(snapshot, p, loads) })
	h.admit.SetConfig(snapshot, hosts, func(t table.Target) bool { return reachable[t.DataCentre] && !leaving[t.ID] })
}

func (h *Host) suspectsFor(to table.HostID) []byte {
	encoded, err := h.guard.Export(to)
	if err != nil {
		h.opts.Log.Warn().Err(err).Msg("cannot encode the digest of suspects")

		return nil
	}

	return encoded
}

// viewOf returns what this host sees of its data centre's engines in a pool.
func (h *Host) viewOf(snapshot *table.Snapshot, pool suspects.Pool, loads map[table.TargetID]table.Load) quarantine.View {
	v := quarantine.View{Hosts: []table.HostID{h.opts.ID}}

	for _, m := range h.network.Live() {
		if m.DataCentre == h.opts.DataCentre {
			v.Hosts = append(v.Hosts, m.Host)
		}
	}

	now := h.opts.Clock.Now()

	for _, t := range snapshot.Targets {
		l := loads[t.ID]
		if t.Model != pool.Model || !pool.Has(h.router.Role(t.ID)) || t.DataCentre != h.opts.DataCentre || t.Leaving || l.Changing || now.Sub(l.At) > staleLoad {
			continue
		}

		v.Candidates = append(v.Candidates, quarantine.Candidate{Target: t.ID, Running: l.Running})
	}

	return v
}

// reported passes a load report on to the guard.
func (h *Host) reported(l table.Load, asked time.Time) {
	snapshot := h.config.Current()
	if snapshot == nil || l.Boot == "" {
		return
	}

	if t, ok := snapshot.Target(l.Target); ok && t.DataCentre == h.opts.DataCentre {
		h.guard.Heard(t.Model, t.ID, l.Boot, asked)
	}
}
