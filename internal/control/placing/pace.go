package placing

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/speeds"
)

const (
	// viewAge is the age from which on the speeds of the targets of a service are read again: a small part of the time in which
	// they become known.
	viewAge = 250 * time.Millisecond
	// lateLoad is the load added to a target on which the pauses of streams are expected to be longer than the request allows:
	// that of a third of the slots and of the KV cache. One of the others is preferred until it has so much more work; a full one would begin
	// streams late.
	lateLoad = 0.35
	// latePause and tolerablePause are the pauses, as fractions of the longest that the request allows, between which lateLoad
	// counts in part.
	tolerablePause = 0.6
	latePause      = 1.0
	// paceLoad is the load added to a target that takes twice as long as usual for an event. One that takes less is not preferred: all
	// hosts would choose the same few. lateLoad bounds it.
	paceLoad = 0.3
	// spreadFraction is the difference in load that is left to chance, as a multiple of the mean load, and maxSpread its bound. In a large
	// fleet, the reports of peers are older than many streams and leave out most hosts of other data centres, so hosts that took the
	// least load would all choose the same target.
	spreadFraction = 3
	maxSpread      = 0.35
	// spreadPeers is the number of peers from which on that holds.
	spreadPeers = 16
	// maxUnheard bounds the work of hosts that are not heard, as a multiple of that of the peers that are.
	maxUnheard = 3
)

// paceView is what is known of the speeds of the targets of one service.
type paceView struct {
	at     time.Time
	view   speeds.View
	spread float64 // difference in load that is left to chance
}

// Speeds returns the speeds of targets, to exchange them with other hosts.
func (b *Board) Speeds() *speeds.Table { return b.speeds }

// RecordPace records that a stream on t had pace between two events over a stretch of time that ended at now.
func (b *Board) RecordPace(now time.Time, t fleet.Target, pace time.Duration) {
	b.mu.Lock()
	total := b.total(t.ID)
	b.mu.Unlock()

	b.speeds.Record(now, t.Service, t.ID, slotLoad(&total, t), pace)
}

// SpeedOf returns the used fraction of the slots of t and how many times as long as usual it takes for an event, 1 if that is not
// known.
func (b *Board) SpeedOf(now time.Time, t fleet.Target) (load, slowness float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	total := b.total(t.ID)

	return slotLoad(&total, t), b.paces[t.Service].view.Slowness(t.ID)
}

// slotLoad returns the used fraction of the slots of t.
func slotLoad(w *TargetWork, t fleet.Target) float64 {
	if t.Slots <= 0 {
		return 0
	}

	return float64(w.Running) / float64(t.Slots)
}

// viewOf returns what is known of the speeds of the targets of a service, some of which are candidates. The caller holds mu.
func (b *Board) viewOf(now time.Time, candidates []fleet.Target) paceView {
	if len(candidates) == 0 {
		return paceView{}
	}

	service := candidates[0].Service

	v, ok := b.paces[service]
	if ok && now.Sub(v.at) < viewAge {
		return v
	}

	ids := make([]entity.TargetID, len(candidates))
	load := 0.0

	for i, t := range candidates {
		ids[i] = t.ID
		total := b.total(t.ID)
		load += slotLoad(&total, t) / float64(len(candidates))
	}

	v = paceView{at: now, view: b.speeds.View(now, service, ids)}
	if v.view.Uneven() && len(b.peers) >= spreadPeers {
		v.spread = min(spreadFraction*load, maxSpread)
	}

	b.paces[service] = v

	return v
}

// chance returns the part of the load of t that is left to chance. It is at its greatest for targets in other data centres, so that it
// favours none of them.
func (v *paceView) chance(job *Job, t fleet.Target) float64 {
	switch {
	case v.spread == 0:
		return 0
	case t.DataCentre != job.Near:
		return v.spread
	}

	return v.spread * jitter(job.ID, t.ID)
}

// paceCost returns the load that is added to t, with work w, for its speed: the pauses that a stream would have there against gap,
// the longest that the request allows. It is zero unless the targets differ.
func paceCost(view speeds.View, w *TargetWork, t fleet.Target, gap time.Duration) float64 {
	if gap <= 0 || !view.Uneven() {
		return 0
	}

	pause := view.Pause(t.ID, slotLoad(w, t)).Seconds() / gap.Seconds()
	late := min(max((pause-tolerablePause)/(latePause-tolerablePause), 0), 1)

	return max(lateLoad*late, min(paceLoad*(view.Slowness(t.ID)-1), lateLoad))
}

// SetHosts sets the number of hosts of the fleet. In large fleets, a host hears of the work of some of them only; where targets differ in
// speed, PlaceDecode takes the others to have as much on each target as these.
func (b *Board) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.hosts = n
}

// fleetWork returns the estimated work of all hosts on id, also of those that are not heard. The caller holds mu.
func (b *Board) fleetWork(id entity.TargetID) TargetWork {
	w := b.total(id)

	unheard := b.hosts - 1 - len(b.peers)
	if unheard <= 0 || len(b.peers) == 0 {
		return w
	}

	var own TargetWork
	if o, ok := b.own[id]; ok {
		own = *o
	}

	factor := min(float64(unheard)/float64(len(b.peers)), maxUnheard)
	w.Running += int(factor * float64(w.Running-own.Running))
	w.KVTokens += entity.Tokens(factor * float64(w.KVTokens-own.KVTokens))

	return w
}
