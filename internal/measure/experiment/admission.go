package experiment

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Admission is the admission controller of one entry host and one pool of targets.
type Admission interface {
	Offer(now time.Time, w admission.Work) admission.Decision
	SetCapacity(c admission.Capacity)
	Next(now time.Time) []admission.Grant
	Expired(now time.Time) []admission.Refusal
	Done(now time.Time, id table.RequestID, used admission.Usage)
	Cancel(now time.Time, id table.RequestID)
}

// admissionHorizon lets a host start a long prompt at its share of the rate; engines order what
// has started by urgency.
const admissionHorizon = 3 * time.Second

// newAdmission makes the admission controller of each entry host and pool.
func newAdmission(fifo bool) Admission {
	if fifo {
		return newQueue()
	}

	return admission.New(admission.Options{Horizon: admissionHorizon})
}
