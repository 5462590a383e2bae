package experiment

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Admission is the admission controller of one entry host and one pool of targets.
type Admission interface {
	Offer(now time.Time, w admission.Work) admission.Decision
	SetCapacity(c admission.Capacity)
	Next(now time.Time) []admission.Grant
	Expired(now time.Time) []admission.Refusal
	Done(now time.Time, id entity.RequestID, used admission.Usage)
	Cancel(now time.Time, id entity.RequestID)
}

// admissionHorizon is how far ahead of its share of the targets' rate a host may start work. It is long enough for a
// host to start a long prompt. Engines process started work in order of urgency.
const admissionHorizon = 3 * time.Second

// newAdmission returns an admission controller for one entry host and pool: the baseline if fifo is set.
func newAdmission(fifo bool) Admission {
	if fifo {
		return newFIFOQueue()
	}

	return admission.New(admission.Options{Horizon: admissionHorizon})
}
