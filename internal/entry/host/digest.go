package host

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/routes"
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
	return t.DataCentre == h.opts.DataCentre && h.network.Mine(string(t.ID), pollersPerTarget)
}

// exported returns the configuration in force for a peer.
func (h *Host) exported() (table.Generation, []byte) {
	return h.config.Generation(), h.config.Export()
}

// Fill implements peers.Local.
func (h *Host) Fill(d *peer.Digest) {
	d.Generation = uint64(h.config.Generation())
	d.Ready = h.Ready() == nil
	d.Stopping = h.stopping.Load()

	for _, l := range h.loads.Mine() {
		d.Loads = append(d.Loads, &peer.Load{
			Target: string(l.Target), AtUnixMs: l.At.UnixMilli(), Running: uint32(max(l.Running, 0)),
			Queued: uint32(max(l.Queued, 0)), PrefillPending: uint64(max(l.PrefillPending, 0)),
			DecodePending: uint64(max(l.DecodePending, 0)), Role: uint32(l.Role), Changing: l.Changing,
		})
	}
}

// Hear implements peers.Local.
func (h *Host) Hear(d *peer.Digest) {
	h.config.PeerGeneration(table.HostID(d.GetHost()), table.Generation(d.GetGeneration()))

	for _, l := range d.GetLoads() {
		h.loads.Note(table.Load{
			Target: table.TargetID(l.GetTarget()), At: time.UnixMilli(l.GetAtUnixMs()), Running: int(l.GetRunning()),
			Queued: int(l.GetQueued()), PrefillPending: table.Tokens(l.GetPrefillPending()),
			DecodePending: table.Tokens(l.GetDecodePending()), Role: table.Role(l.GetRole()), Changing: l.GetChanging(),
		})
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

	hosts := 1 + len(h.network.Live())

	h.router.Refresh(snapshot, routes.State{Hosts: hosts, Loads: h.loads.All(), Unreachable: unreachable})
	h.admit.SetConfig(snapshot, hosts, func(t table.Target) bool { return reachable[t.DataCentre] })
}
