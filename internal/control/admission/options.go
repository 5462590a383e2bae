package admission

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	defaultHorizon             = 250 * time.Millisecond
	defaultAccountBurst        = 2 * time.Second
	defaultMaxQueued           = 8192
	defaultMaxQueuedPerAccount = 256
	defaultUrgentWait          = 500 * time.Millisecond
	defaultOrdinaryWait        = 4 * time.Second
	defaultPatientWait         = 10 * time.Minute

	defaultTokenTime = 32 * time.Millisecond

	defaultUrgentShare   = 0.25
	defaultOrdinaryShare = 0.10
	defaultPatientShare  = 0.10

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Minute
	noTargetRetry = 2 * time.Second

	// rateTimeConstant is the time constant of decayedRate.
	rateTimeConstant = 5 * time.Second
	// minPromotion is the shortest promotion window: the time before its latest start within which patient work goes
	// ahead of ordinary work.
	minPromotion = 2 * time.Second
	// runTimeMargin scales the estimated run time of patient work, which must end within its deadline.
	runTimeMargin = 1.25
	// promotionMargin is the ratio of the promotion window to the time that the patient backlog needs.
	promotionMargin = 2.0
	// minCost is the lowest cost of work, in seconds.
	minCost = 1e-4
)

// Options set the bounds of a Controller. A zero field takes its default.
type Options struct {
	// Horizon bounds the started work that the targets have not absorbed yet, in time at their token rates.
	Horizon time.Duration
	// AccountBurst is the time over which an account's own token limits are averaged.
	AccountBurst time.Duration
	// MaxQueued bounds the queued work of one lane.
	MaxQueued int
	// MaxQueuedPerAccount bounds the queued work of one account in one lane.
	MaxQueuedPerAccount int
	// MaxWait bounds the time in the queue for work of an urgency; the deadline of the work may bound it
	// further. Patient work with a deadline is bound by the deadline alone.
	MaxWait [entity.UrgencyCount]time.Duration
	// TokenTime is the expected run time for each output token until the first work of the urgency has ended.
	TokenTime time.Duration
	// Share is the part of each resource that is guaranteed to an urgency. The sum must stay below 1.
	Share [entity.UrgencyCount]float64
}

func (o Options) withDefaults() Options {
	o.Horizon = orDefault(o.Horizon, defaultHorizon)
	o.AccountBurst = orDefault(o.AccountBurst, defaultAccountBurst)
	o.MaxQueued = orDefault(o.MaxQueued, defaultMaxQueued)
	o.MaxQueuedPerAccount = orDefault(o.MaxQueuedPerAccount, defaultMaxQueuedPerAccount)

	o.TokenTime = orDefault(o.TokenTime, defaultTokenTime)

	waits := [entity.UrgencyCount]time.Duration{
		entity.Urgent:   defaultUrgentWait,
		entity.Ordinary: defaultOrdinaryWait,
		entity.Patient:  defaultPatientWait,
	}
	shares := [entity.UrgencyCount]float64{
		entity.Urgent:   defaultUrgentShare,
		entity.Ordinary: defaultOrdinaryShare,
		entity.Patient:  defaultPatientShare,
	}

	for u := range entity.UrgencyCount {
		o.MaxWait[u] = orDefault(o.MaxWait[u], waits[u])
		o.Share[u] = orDefault(o.Share[u], shares[u])
	}

	return o
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}

	return v
}
