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
	// that of a full target, so that one of the others is preferred until it is full too.
	lateLoad = 1.0
	// latePause and tolerablePause are the pauses, as fractions of the longest that the request allows, between which lateLoad
	// counts in part.
	tolerablePause = 0.6
	latePause      = 1.0
	// paceLoad is the load added to a target that takes twice as long as usual for an event. One that takes less is not preferred: all
	// hosts would choose the same few.
	paceLoad = 0.3
	// spreadLoad is the greatest difference in load that is left to chance. In a large fleet, the reports of peers are older than many
	// streams and leave out most hosts of other data centres, so hosts that took the least load would all choose the same target.
	spreadLoad = 0.5
)

// paceView is what is known of the speeds of the targets of one service.
type paceView struct {
	at   time.Time
	view speeds.View
}

// Speeds returns the speeds of targets, to exchange them with other hosts.
func (b *Board) Speeds() *speeds.Table { return b.speeds }

// RecordPace records that a stream on t had pace between two events over a stretch of time that ended at now.
func (b *Board) RecordPace(now time.Time, t fleet.Target, pace time.Duration) {
	b.mu.Lock()
	total := b.total(t.ID)
	b.mu.Unlock()

	b.speeds.Record(now, t.ID, slotLoad(&total, t), pace)
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

// viewOf returns what is known of the speeds of candidates, which are targets of one service. The caller holds mu.
func (b *Board) viewOf(now time.Time, candidates []fleet.Target) speeds.View {
	if len(candidates) == 0 {
		return speeds.View{}
	}

	service := candidates[0].Service

	v, ok := b.paces[service]
	if ok && now.Sub(v.at) < viewAge {
		return v.view
	}

	ids := make([]entity.TargetID, len(candidates))
	for i, t := range candidates {
		ids[i] = t.ID
	}

	v = paceView{at: now, view: b.speeds.View(now, ids)}
	b.paces[service] = v

	return v.view
}

// paceCost returns the load that is added to t, with work w, for its speed: the pauses that a stream would have there against gap,
// the longest that the request allows. It is zero unless the targets differ.
func paceCost(view speeds.View, w *TargetWork, t fleet.Target, gap time.Duration) float64 {
	if gap <= 0 || !view.Uneven() {
		return 0
	}

	pause := view.Pause(t.ID, slotLoad(w, t)).Seconds() / gap.Seconds()
	late := min(max((pause-tolerablePause)/(latePause-tolerablePause), 0), 1)

	return lateLoad*late + paceLoad*max(view.Slowness(t.ID)-1, 0)
}

// spread returns the difference in load that is left to chance: less in a small fleet, whose hosts know each other's work better.
// The caller holds mu.
func (b *Board) spread() float64 {
	peers := float64(len(b.peers))

	return spreadLoad * peers / (peers + fewPeers)
}
